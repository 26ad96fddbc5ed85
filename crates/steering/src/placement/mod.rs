//! Placement of new flows by allocators, which count the requests at each endpoint exactly.
//!
//! Load answered: more openings than one VM sees, at a rate at which load reports are older than
//! the requests that they count. The VM that receives an opening packet sends a [`Claim`] to the
//! allocator of a shard of the service's endpoints. The allocator leases it a slot, lets it wait
//! or denies it. See `docs/design/placement.md`.

mod allocator;
mod claims;
mod ledger;
mod pace;
mod shard;
mod waiting;

use std::net::Ipv4Addr;

pub use allocator::{Allocator, Knowledge, Reply};
pub use claims::{Claims, Directory, Next, Opening};
pub use ledger::{Ledger, WarmupLimit};
pub use pace::{Change, Pace};
pub use shard::{Shard, ShardMap};
pub use waiting::Queue;

use crate::catalog::Traffic;
use crate::prelude::*;

/// Most endpoint tags that a claim excludes: those that earlier copies of the opening packet went
/// to.
pub const MAX_AVOIDED: usize = 2;

/// Identifies a claim, and the lease that answers it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ClaimId {
    /// VM that claims.
    pub vm: Ipv4Addr,
    /// Number that the VM gives to no other claim.
    pub number: u64,
}

/// Request of a VM for a slot at one of a shard's endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Identifier of the claim.
    pub id: ClaimId,
    /// Shard whose endpoints may be leased.
    pub shard: u64,
    /// Kind of traffic on the flow.
    pub traffic: Traffic,
    /// Urgency of the route; 0 is the most urgent.
    pub priority: u32,
    /// Time for which the caller can wait for the slot.
    pub patience: Duration,
    /// Tags of endpoints that must not be leased; 0 for none.
    pub avoid: [u32; MAX_AVOIDED],
    /// True when the claim may wait while no slot is free.
    pub may_wait: bool,
}

/// Reason why a claim gets no slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// No endpoint of the shard has room.
    Full,
    /// The claim would not get a slot within its patience.
    Overloaded,
    /// The allocator does not know the shard, or none of its endpoints can be used.
    NoEndpoint,
    /// The allocator is stopping.
    Stopping,
}

impl Denial {
    /// Returns the label of the reason in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Full => "full",
            Self::Overloaded => "overloaded",
            Self::NoEndpoint => "no_endpoint",
            Self::Stopping => "stopping",
        }
    }
}

/// Answer of an allocator to a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A slot at the endpoint with this tag is leased.
    Leased(u32),
    /// The claim waits; a further answer follows within this time.
    Waiting(Duration),
    /// The claim gets no slot from this allocator.
    Denied(Denial),
}

/// How a lease ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint answered the request.
    Answered,
    /// The endpoint left the opening packet unanswered.
    Unanswered,
    /// The lease was not used, or its end was not observed.
    Unused,
}

/// Message between a claiming VM and an allocator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Message {
    /// To an allocator: a claim.
    Claim(Claim),
    /// To the claiming VM: the answer to its claim with this number.
    Answer(u64, Answer),
    /// To an allocator: the end of the sender's claim with this number, or of its lease.
    Release(u64, Outcome),
}

/// A message and the VM that it is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Dispatch {
    /// Receiver.
    pub to: Ipv4Addr,
    /// Content.
    pub message: Message,
}
