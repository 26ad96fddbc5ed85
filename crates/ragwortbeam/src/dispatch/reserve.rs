//! Reservation of non-idempotent requests at the replica before their dispatch.

use std::time::Instant;

use metrics::counter;

use crate::flow::Key;
use crate::message::{ExchangeRecord, Reservation};
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
    /// The replica knows the answer.
    Answered(Arc<[u8]>),
    /// Another VM that runs holds the request; it will answer.
    Elsewhere,
}

/// Reserves an exchange at the replica.
///
/// A data centre with one VM has no replica, and its VM grants to itself.
///
/// # Errors
///
/// The refusal to answer with.
pub async fn reserve(node: &Arc<Node>, key: Key, message_id: u16) -> Result<Outcome, Refusal> {
    let asked_at = Instant::now();
    let view = node.members.view();
    let Some(replica) = view.replica(key.hash()) else {
        counter!("ragwortbeam_reservations_total", "outcome" => "alone").increment(1);
        return Ok(Outcome::Granted(asked_at + VALIDITY));
    };
    let reservation = Reservation {
        key: Some(key.to_message()),
        message_id: u32::from(message_id),
        holder: view.me.0,
    };
    let answer = node.peers.links.reserve(replica, reservation).await;
    let outcome = match answer {
        Err(_) => "unreachable",
        Ok(ref answer) if answer.granted => "granted",
        Ok(_) => "known",
    };
    counter!("ragwortbeam_reservations_total", "outcome" => outcome).increment(1);
    let answer = answer.map_err(|_| Refusal::not_run(Reason::ReplicaUnreachable))?;
    if answer.granted {
        return Ok(Outcome::Granted(asked_at + VALIDITY));
    }
    match answer.known {
        Some(known) => judge(node, &known),
        None => Err(Refusal::not_run(Reason::ReplicaUnreachable)),
    }
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
            Outcome::Answered(_) | Outcome::Elsewhere => {
                Err(Refusal::may_have_run(Reason::OwnerLost))
            }
        }
    }
}

/// Says what a request that another VM holds means here.
///
/// # Errors
///
/// [`Reason::OwnerLost`] when the holder runs no more.
pub fn judge_holder(node: &Node, holder: id::Vm) -> Result<Outcome, Refusal> {
    if node.members.view().runs(holder) {
        Ok(Outcome::Elsewhere)
    } else {
        Err(Refusal::may_have_run(Reason::OwnerLost))
    }
}

fn judge(node: &Node, known: &ExchangeRecord) -> Result<Outcome, Refusal> {
    if known.answer.is_empty() {
        judge_holder(node, id::Vm(known.holder))
    } else {
        Ok(Outcome::Answered(known.answer.clone().into()))
    }
}
