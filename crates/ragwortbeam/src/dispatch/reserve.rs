//! Reservation of non-idempotent requests at other VMs before dispatch, so that no two VMs run
//! the same request.

use std::time::Instant;

use metrics::counter;
use tokio::task::JoinSet;

use crate::flow::Key;
use crate::message::{Reservation, ReservationAnswer};
use crate::prelude::*;
use crate::refusal::{Reason, Refusal};

/// Time for which a reservation allows dispatch without renewal. It bounds how long this
/// process can have been paused between reservation and dispatch without noticing.
pub const RESERVATION_VALIDITY: Duration = Duration::from_secs(1);

/// Result of a reservation.
#[derive(Debug)]
pub enum Outcome {
    /// Only this VM may dispatch the request, until the given instant.
    Granted(Instant),
    /// A reservation peer already has this answer to the request.
    Answered(Arc<[u8]>),
    /// Another live process holds the request and will answer it.
    Elsewhere,
    /// This VM may not dispatch the request now, for this reason. The caller gets no answer,
    /// since another VM may run its retransmission, which would make any verdict of this VM
    /// wrong.
    Unsettled(Reason),
}

/// Reserves an exchange at all reservation peers of its flow: the replica, and the VMs that
/// may have served the flow under a recent membership view.
///
/// Two VMs that each consider themselves the owner under different views have a reservation
/// peer in common, or one is a reservation peer of the other, as long as each has seen the
/// other's view or the one before it. In a data centre with a single VM there is no
/// reservation peer; the VM grants the reservation to itself.
///
/// # Errors
///
/// Returns the refusal to send to the caller.
pub async fn reserve(node: &Arc<Node>, key: Key, message_id: u16) -> Result<Outcome, Refusal> {
    let requested_at = Instant::now();
    if !node.members.has_majority() {
        return Ok(abandon_unsettled(node, key, message_id, Reason::Minority));
    }
    let peers = node.members.reservation_peers(key.hash());
    let peers = peers.ok_or(Refusal::may_have_run(Reason::OwnerLost))?;
    if node.members.any_recently_lost(&peers.lost) {
        return Ok(abandon_unsettled(node, key, message_id, Reason::OwnerLost));
    }
    let reservation = Reservation {
        key: Some(key.to_message()),
        message_id: u32::from(message_id),
        holder: Some(node.members.process().to_message()),
    };
    let mut calls = JoinSet::new();
    for peer in peers.vms {
        let node = node.clone();
        let reservation = reservation.clone();
        calls.spawn(async move { node.peers.links.reserve(peer, reservation).await });
    }
    let mut outcome = Ok(Outcome::Granted(requested_at + RESERVATION_VALIDITY));
    while let Some(answer) = calls.join_next().await {
        let answer = answer.unwrap_or_else(|error| Err(Error::peer(error)));
        outcome = combine_outcomes(
            outcome,
            outcome_of_answer(node, key, message_id, answer, requested_at),
        );
    }
    count_outcome(&outcome);
    match outcome? {
        outcome @ Outcome::Granted(_) => Ok(confirm_grant(node, key, message_id, outcome)),
        Outcome::Unsettled(reason) => Ok(abandon_unsettled(node, key, message_id, reason)),
        outcome => Ok(outcome),
    }
}

/// Counts the refusal and removes the exchange, so that the caller's retransmission starts it
/// again.
fn abandon_unsettled(node: &Node, key: Key, message_id: u16, reason: Reason) -> Outcome {
    node.refusals.add(reason);
    node.flows
        .with(key, |record| record.remove_exchange(message_id));
    Outcome::Unsettled(reason)
}

/// Marks the exchange as held by this process and returns the outcome, or `Elsewhere` if this
/// process has yielded the exchange to another one in the meantime.
fn confirm_grant(node: &Node, key: Key, message_id: u16, outcome: Outcome) -> Outcome {
    let local = node.members.process();
    let granted = node
        .flows
        .with(key, |record| record.confirm_reservation(message_id, local));
    if granted == Some(true) {
        outcome
    } else {
        Outcome::Elsewhere
    }
}

/// Combines the outcomes of two reservation peers. An answer takes precedence over a live
/// holder, a live holder over a refusal, and a refusal over a peer that could not be reached;
/// a grant needs all peers.
fn combine_outcomes(
    first: Result<Outcome, Refusal>,
    second: Result<Outcome, Refusal>,
) -> Result<Outcome, Refusal> {
    let precedence = |outcome: &Result<Outcome, Refusal>| match outcome {
        Ok(Outcome::Answered(_)) => 4,
        Ok(Outcome::Elsewhere) => 3,
        Err(_) => 2,
        Ok(Outcome::Unsettled(_)) => 1,
        Ok(Outcome::Granted(_)) => 0,
    };
    if precedence(&second) > precedence(&first) {
        second
    } else {
        first
    }
}

fn count_outcome(outcome: &Result<Outcome, Refusal>) {
    let outcome = match outcome {
        Ok(Outcome::Granted(_)) => "granted",
        Ok(Outcome::Answered(_)) => "answered",
        Ok(Outcome::Elsewhere) => "elsewhere",
        Ok(Outcome::Unsettled(_)) => "unsettled",
        Err(_) => "refused",
    };
    counter!("ragwortbeam_reservations_total", "outcome" => outcome).increment(1);
}

/// Permission to dispatch one reserved request.
#[derive(Debug)]
pub struct Permit {
    key: Key,
    message_id: u16,
    valid_until: Instant,
}

impl Permit {
    /// Returns the permit of a reservation that was granted until `valid_until`.
    pub fn new(key: Key, message_id: u16, valid_until: Instant) -> Self {
        Self {
            key,
            message_id,
            valid_until,
        }
    }

    /// Renews the reservation if it has expired, so that a VM that was paused learns whether
    /// another VM has taken over or answered the request in the meantime.
    ///
    /// # Errors
    ///
    /// Returns the refusal to send to the caller; the request must not be dispatched then.
    pub async fn renew(&mut self, node: &Arc<Node>) -> Result<(), Refusal> {
        if Instant::now() < self.valid_until {
            return Ok(());
        }
        match reserve(node, self.key, self.message_id).await? {
            Outcome::Granted(valid_until) => {
                self.valid_until = valid_until;
                Ok(())
            }
            Outcome::Answered(_) | Outcome::Elsewhere | Outcome::Unsettled(_) => {
                Err(Refusal::may_have_run(Reason::OwnerLost))
            }
        }
    }
}

/// Returns the outcome for a request that another process holds: `Elsewhere` while the holder
/// is alive.
///
/// # Errors
///
/// Returns [`Reason::OwnerLost`] if the holder no longer runs, as it may have run the request.
pub fn holder_outcome(node: &Node, holder: id::Process) -> Result<Outcome, Refusal> {
    if node.members.view().is_running(holder) {
        Ok(Outcome::Elsewhere)
    } else {
        Err(Refusal::may_have_run(Reason::OwnerLost))
    }
}

/// Returns the outcome that one reservation peer's answer gives. If another process holds the
/// exchange, this VM yields to it.
fn outcome_of_answer(
    node: &Node,
    key: Key,
    message_id: u16,
    answer: Result<ReservationAnswer>,
    requested_at: Instant,
) -> Result<Outcome, Refusal> {
    let Ok(answer) = answer else {
        return Ok(Outcome::Unsettled(Reason::ReplicaUnreachable));
    };
    if answer.granted {
        return Ok(Outcome::Granted(requested_at + RESERVATION_VALIDITY));
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
    holder_outcome(node, holder)
}
