//! Reservation of non-idempotent requests at other VMs before their dispatch.

use std::time::Instant;

use metrics::counter;
use tokio::task::JoinSet;

use crate::flow::Key;
use crate::message::{Reservation, ReservationAnswer};
use crate::prelude::*;
use crate::refusal::{Reason, Refusal};

/// Time after which a reservation has to be renewed before dispatch: longer pauses of
/// this process must not pass unnoticed between the two.
pub const VALIDITY: Duration = Duration::from_secs(1);

/// Outcome of a reservation.
#[derive(Debug)]
pub enum Outcome {
    /// This VM alone may dispatch the request until the instant.
    Granted(Instant),
    /// A witness knows the answer.
    Answered(Arc<[u8]>),
    /// Another process that runs holds the request; it will answer.
    Elsewhere,
    /// Nobody may dispatch now. The caller gets no answer, as another VM may run its
    /// retransmission, and no verdict of this VM would be true then.
    Unsettled(Reason),
}

/// Reserves an exchange at all witnesses of its flow: the replica, and whoever may have
/// served the flow under a recent view.
///
/// Two VMs that take themselves for the owner under different views have a witness in
/// common, or one is the other's witness, as long as each has seen the other's view or
/// the one before. A data centre with one VM has no witness, and its VM grants to itself.
///
/// # Errors
///
/// The refusal to answer with.
pub async fn reserve(node: &Arc<Node>, key: Key, message_id: u16) -> Result<Outcome, Refusal> {
    let asked_at = Instant::now();
    if !node.members.has_majority() {
        return Ok(unsettled(node, key, message_id, Reason::Minority));
    }
    let witnesses = node.members.reservation_peers(key.hash());
    let witnesses = witnesses.ok_or(Refusal::may_have_run(Reason::OwnerLost))?;
    if node.members.any_recently_lost(&witnesses.lost) {
        return Ok(unsettled(node, key, message_id, Reason::OwnerLost));
    }
    let reservation = Reservation {
        key: Some(key.to_message()),
        message_id: u32::from(message_id),
        holder: Some(node.members.process().to_message()),
    };
    let mut calls = JoinSet::new();
    for witness in witnesses.vms {
        let node = node.clone();
        let reservation = reservation.clone();
        calls.spawn(async move { node.peers.links.reserve(witness, reservation).await });
    }
    let mut outcome = Ok(Outcome::Granted(asked_at + VALIDITY));
    while let Some(answer) = calls.join_next().await {
        let answer = answer.unwrap_or_else(|error| Err(Error::peer(error)));
        outcome = join(outcome, judge(node, key, message_id, answer, asked_at));
    }
    count(&outcome);
    match outcome? {
        outcome @ Outcome::Granted(_) => Ok(grant(node, key, message_id, outcome)),
        Outcome::Unsettled(reason) => Ok(unsettled(node, key, message_id, reason)),
        outcome => Ok(outcome),
    }
}

/// Forgets the exchange, so that the caller's retransmission starts it again.
fn unsettled(node: &Node, key: Key, message_id: u16, reason: Reason) -> Outcome {
    node.refusals.add(reason);
    node.flows
        .with(key, |record| record.remove_exchange(message_id));
    Outcome::Unsettled(reason)
}

/// Returns the outcome unless this process has yielded to another in the meantime.
fn grant(node: &Node, key: Key, message_id: u16, outcome: Outcome) -> Outcome {
    let me = node.members.process();
    let granted = node
        .flows
        .with(key, |record| record.confirm_reservation(message_id, me));
    if granted == Some(true) {
        outcome
    } else {
        Outcome::Elsewhere
    }
}

/// Joins what two witnesses say: an answer goes before a holder, a holder before a
/// witness that did not answer, and a grant needs all of them.
fn join(
    one: Result<Outcome, Refusal>,
    other: Result<Outcome, Refusal>,
) -> Result<Outcome, Refusal> {
    let weight = |outcome: &Result<Outcome, Refusal>| match outcome {
        Ok(Outcome::Answered(_)) => 4,
        Ok(Outcome::Elsewhere) => 3,
        Err(_) => 2,
        Ok(Outcome::Unsettled(_)) => 1,
        Ok(Outcome::Granted(_)) => 0,
    };
    if weight(&other) > weight(&one) {
        other
    } else {
        one
    }
}

fn count(outcome: &Result<Outcome, Refusal>) {
    let outcome = match outcome {
        Ok(Outcome::Granted(_)) => "granted",
        Ok(Outcome::Answered(_)) => "answered",
        Ok(Outcome::Elsewhere) => "elsewhere",
        Ok(Outcome::Unsettled(_)) => "unsettled",
        Err(_) => "refused",
    };
    counter!("ragwortbeam_reservations_total", "outcome" => outcome).increment(1);
}

/// Right to dispatch one reserved request.
#[derive(Debug)]
pub struct Permit {
    key: Key,
    message_id: u16,
    valid_until: Instant,
}

impl Permit {
    /// Returns the permit that a granted reservation gives.
    pub fn new(key: Key, message_id: u16, valid_until: Instant) -> Self {
        Self {
            key,
            message_id,
            valid_until,
        }
    }

    /// Renews the reservation when it is old, so that a VM that was paused learns what
    /// its replica has told the caller in the meantime.
    ///
    /// # Errors
    ///
    /// The refusal to answer with; the request must not be dispatched.
    pub async fn renew(&mut self, node: &Arc<Node>) -> Result<(), Refusal> {
        if Instant::now() < self.valid_until {
            return Ok(());
        }
        match reserve(node, self.key, self.message_id).await? {
            Outcome::Granted(until) => {
                self.valid_until = until;
                Ok(())
            }
            Outcome::Answered(_) | Outcome::Elsewhere | Outcome::Unsettled(_) => {
                Err(Refusal::may_have_run(Reason::OwnerLost))
            }
        }
    }
}

/// Says what a request that another process holds means here.
///
/// # Errors
///
/// [`Reason::OwnerLost`] when the holder runs no more.
pub fn judge_holder(node: &Node, holder: id::Process) -> Result<Outcome, Refusal> {
    if node.members.view().is_running(holder) {
        Ok(Outcome::Elsewhere)
    } else {
        Err(Refusal::may_have_run(Reason::OwnerLost))
    }
}

fn judge(
    node: &Node,
    key: Key,
    message_id: u16,
    answer: Result<ReservationAnswer>,
    asked_at: Instant,
) -> Result<Outcome, Refusal> {
    let Ok(answer) = answer else {
        return Ok(Outcome::Unsettled(Reason::ReplicaUnreachable));
    };
    if answer.granted {
        return Ok(Outcome::Granted(asked_at + VALIDITY));
    }
    let Some(known) = answer.known else {
        return Ok(Outcome::Unsettled(Reason::ReplicaUnreachable));
    };
    if !known.answer.is_empty() {
        return Ok(Outcome::Answered(known.answer.into()));
    }
    let holder = id::Process::from_message(known.holder.unwrap_or_default());
    node.flows
        .with(key, |record| record.yield_to(message_id, holder));
    judge_holder(node, holder)
}
