//! Claims of this VM: which allocator to ask for a slot, and what to do with its answer or silence.
//!
//! Load answered: bursts of openings while allocators come and go. An opening packet is kept until
//! its claim is answered. It asks at most two shards, then another data centre, then waits, and no
//! allocator holds it for longer than it answers.

use std::collections::HashMap;
use std::net::Ipv4Addr;

use metrics::counter;
use rand::RngExt;

use super::{Answer, Claim, ClaimId, Denial, Dispatch, MAX_AVOIDED, Message, Outcome, Shard};
use crate::catalog::Traffic;
use crate::flow::AddressPair;
use crate::packet::Packet;
use crate::prelude::*;

/// Time within which an allocator answers: many round trips within a data centre.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(30);

/// Time for which an allocator that left a claim unanswered is not asked.
const SUSPECT_TIME: Duration = Duration::from_secs(1);

/// Claims in a row that no allocator answered from which the fault is probably this VM's.
const MAX_UNANSWERED: u32 = 4;

/// Time for which a VM whose claims get no answer makes none.
const SUSPENSION: Duration = Duration::from_secs(1);

/// Allocators of one shard that are asked in turn.
const MAX_ALLOCATORS: usize = 2;

/// Shards that are asked before a claim waits.
const MAX_SHARDS: usize = 2;

/// Time for which a shard that was full is passed over.
const FULL_TIME: Duration = Duration::from_millis(20);

/// Most opening packets that are kept; further ones are placed without a claim.
const MAX_PENDING: usize = 4096;

/// Opening packet that a claim is made for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Opening {
    /// The decoded packet.
    pub packet: Packet,
    /// The packet as received; empty until [`Claims::keep`].
    pub datagram: Vec<u8>,
    /// Time at which it was received.
    pub received_at: Moment,
    /// Name of the service.
    pub service: Arc<str>,
    /// Kind of traffic on the flow.
    pub traffic: Traffic,
    /// Urgency of the route; 0 is the most urgent.
    pub priority: u32,
    /// Time for which the caller can wait for a slot.
    pub patience: Duration,
    /// Tags of endpoints that earlier copies of the packet went to; 0 for none.
    pub avoid: [u32; MAX_AVOIDED],
}

/// What happens to an opening packet next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// Its claim with this number is being answered.
    Pending(u64),
    /// A slot at the endpoint with this tag is leased by this allocator, under this number.
    Leased(Opening, u32, Ipv4Addr, u64),
    /// This VM chooses an endpoint by itself.
    Place(Opening),
    /// The shards of this data centre are full. Another data centre may have room; otherwise the
    /// claim goes on with [`Claims::wait`].
    Spill(Opening),
    /// The flow is reset: no slot becomes free in time.
    Refuse(Opening),
}

#[derive(Clone, Debug)]
struct Pending {
    opening: Opening,
    attempt: Attempt,
    allocator: Ipv4Addr,
    deadline: Moment,
}

/// Attempt to get a slot from one shard.
#[derive(Clone, Debug)]
struct Attempt {
    shard: u64,
    /// Shards that were full.
    tried: Vec<u64>,
    /// Position among the shard's allocators from which they are asked.
    rank: usize,
    may_wait: bool,
}

impl Attempt {
    fn first(shard: u64) -> Self {
        Self {
            shard,
            tried: Vec::new(),
            rank: 0,
            may_wait: false,
        }
    }
}

/// What is known of the data centre at one moment.
#[derive(Clone, Copy)]
pub struct Directory<'a> {
    /// Shards of the opening packet's service.
    pub shards: &'a [Shard],
    /// Returns the allocators of a shard, the one to ask first first.
    pub allocators: &'a dyn Fn(u64) -> Vec<Ipv4Addr>,
    /// The moment.
    pub now: Moment,
}

/// Pending claims of this VM, and what it knows about the allocators.
#[derive(Debug)]
pub struct Claims {
    vm: Ipv4Addr,
    next_number: u64,
    pending: HashMap<u64, Pending>,
    by_flow: HashMap<AddressPair, u64>,
    /// Allocators that left a claim unanswered, until when they are not asked.
    suspects: HashMap<Ipv4Addr, Moment>,
    /// Shards that were full, until when they are passed over.
    full: HashMap<u64, Moment>,
    unanswered: u32,
    suspended_until: Moment,
    outbox: Vec<Dispatch>,
}

impl Claims {
    /// Returns the claims of a VM, none at first.
    pub fn new(vm: Ipv4Addr) -> Self {
        Self {
            vm,
            // A restarted VM must not take the answers to claims of its predecessor for its own.
            next_number: rand::rng().random(),
            pending: HashMap::new(),
            by_flow: HashMap::new(),
            suspects: HashMap::new(),
            full: HashMap::new(),
            unanswered: 0,
            suspended_until: Moment::default(),
            outbox: Vec::new(),
        }
    }

    /// Returns the number of pending claims.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Returns whether no claim is pending.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Removes and returns the messages to send.
    pub fn take_outbox(&mut self) -> Vec<Dispatch> {
        std::mem::take(&mut self.outbox)
    }

    /// Returns the number of the pending claim for a flow.
    pub fn pending_number(&self, addresses: AddressPair) -> Option<u64> {
        self.by_flow.get(&addresses).copied()
    }

    /// Returns the service of a pending claim.
    pub fn service_of(&self, number: u64) -> Option<Arc<str>> {
        Some(self.pending.get(&number)?.opening.service.clone())
    }

    /// Keeps the bytes of the opening packet of a pending claim; a later copy replaces an earlier
    /// one.
    pub fn keep(&mut self, number: u64, packet: &Packet, datagram: &[u8], now: Moment) {
        if let Some(pending) = self.pending.get_mut(&number) {
            pending.opening.packet = *packet;
            pending.opening.datagram = datagram.to_vec();
            pending.opening.received_at = now;
        }
    }

    /// Begins the claim for an opening packet.
    pub fn begin(&mut self, opening: Opening, directory: Directory<'_>) -> Next {
        let is_suspended = directory.now < self.suspended_until;
        if directory.shards.is_empty() || is_suspended || self.pending.len() >= MAX_PENDING {
            return Next::Place(opening);
        }
        self.try_shards(opening, Vec::new(), directory)
    }

    /// Lets a claim wait for a slot, after [`Next::Spill`].
    pub fn wait(&mut self, opening: Opening, directory: Directory<'_>) -> Next {
        let all: Vec<&Shard> = directory.shards.iter().collect();
        match select(&all) {
            Some(shard) => {
                let attempt = Attempt {
                    may_wait: true,
                    ..Attempt::first(shard.id)
                };
                self.ask(opening, attempt, directory)
            }
            None => Next::Place(opening),
        }
    }

    /// Applies an answer of an allocator; `None` when the claim is no longer pending, or waits.
    pub fn answer(
        &mut self,
        allocator: Ipv4Addr,
        number: u64,
        answer: Answer,
        directory: Directory<'_>,
    ) -> Option<Next> {
        let now = directory.now;
        self.unanswered = 0;
        self.suspects.remove(&allocator);
        let is_known = self
            .pending
            .get(&number)
            .is_some_and(|it| it.allocator == allocator);
        if !is_known {
            if let Answer::Leased(_) = answer {
                counter!("ragwortbeam_claims_late_total").increment(1);
                self.send(allocator, Message::Release(number, Outcome::Unused));
            }
            return None;
        }
        if let Answer::Waiting(limit) = answer {
            let pending = self.pending.get_mut(&number)?;
            pending.deadline = now + limit + ANSWER_TIMEOUT;
            return None;
        }
        let mut pending = self.remove(number)?;
        let next = match answer {
            Answer::Leased(tag) => Next::Leased(pending.opening, tag, allocator, number),
            Answer::Denied(Denial::Stopping) => {
                self.suspects.insert(allocator, now + SUSPECT_TIME);
                pending.attempt.rank += 1;
                self.ask(pending.opening, pending.attempt, directory)
            }
            Answer::Denied(Denial::NoEndpoint) => Next::Place(pending.opening),
            _ if pending.attempt.may_wait => Next::Refuse(pending.opening),
            _ => {
                let mut tried = pending.attempt.tried;
                tried.push(pending.attempt.shard);
                self.full.insert(pending.attempt.shard, now + FULL_TIME);
                self.try_shards(pending.opening, tried, directory)
            }
        };
        Some(next)
    }

    /// Ends the claims whose allocators have not answered in time; returns what happens to their
    /// packets.
    pub fn expire(&mut self, directory: Directory<'_>) -> Vec<Next> {
        let now = directory.now;
        self.suspects.retain(|_, until| now < *until);
        self.full.retain(|_, until| now < *until);
        let due = self.pending.iter().filter(|(_, it)| now >= it.deadline);
        let mut due: Vec<u64> = due.map(|(number, _)| *number).collect();
        due.sort_unstable();
        let mut next = Vec::new();
        for number in due {
            let Some(mut pending) = self.remove(number) else {
                continue;
            };
            counter!("ragwortbeam_claims_unanswered_total").increment(1);
            // The answer may have been lost.
            self.send(pending.allocator, Message::Release(number, Outcome::Unused));
            self.suspects.insert(pending.allocator, now + SUSPECT_TIME);
            self.unanswered += 1;
            if self.unanswered >= MAX_UNANSWERED {
                self.unanswered = 0;
                self.suspended_until = now + SUSPENSION;
            }
            next.push(if now < self.suspended_until || pending.attempt.may_wait {
                Next::Place(pending.opening)
            } else {
                pending.attempt.rank += 1;
                self.ask(pending.opening, pending.attempt, directory)
            });
        }
        next
    }

    /// Sends the release of a lease.
    pub fn release(&mut self, allocator: Ipv4Addr, number: u64, outcome: Outcome) {
        self.send(allocator, Message::Release(number, outcome));
    }

    fn try_shards(&mut self, opening: Opening, tried: Vec<u64>, directory: Directory<'_>) -> Next {
        let is_full = |shard: &Shard| {
            let until = self.full.get(&shard.id);
            until.is_some_and(|until| directory.now < *until)
        };
        let shards = directory.shards.iter();
        let untried = shards.filter(|shard| !tried.contains(&shard.id) && !is_full(shard));
        let untried: Vec<&Shard> = untried.collect();
        match select(&untried) {
            Some(shard) if tried.len() < MAX_SHARDS => {
                let attempt = Attempt {
                    tried,
                    ..Attempt::first(shard.id)
                };
                self.ask(opening, attempt, directory)
            }
            _ => Next::Spill(opening),
        }
    }

    /// Asks the first of a shard's allocators, from the attempt's rank on, that is not suspected.
    fn ask(&mut self, opening: Opening, attempt: Attempt, directory: Directory<'_>) -> Next {
        let now = directory.now;
        let is_suspected = |vm: &Ipv4Addr| self.suspects.get(vm).is_some_and(|until| now < *until);
        let allocators = (directory.allocators)(attempt.shard);
        let ranked = allocators.iter().enumerate().take(MAX_ALLOCATORS);
        let mut candidates = ranked.skip(attempt.rank);
        let Some((rank, allocator)) = candidates.find(|(_, vm)| !is_suspected(vm)) else {
            return Next::Place(opening);
        };
        let number = self.next_number;
        self.next_number = self.next_number.wrapping_add(1);
        let claim = Claim {
            id: ClaimId {
                vm: self.vm,
                number,
            },
            shard: attempt.shard,
            traffic: opening.traffic,
            priority: opening.priority,
            patience: opening.patience,
            avoid: opening.avoid,
            may_wait: attempt.may_wait,
        };
        self.send(*allocator, Message::Claim(claim));
        self.by_flow
            .insert(AddressPair::of(&opening.packet), number);
        let pending = Pending {
            opening,
            attempt: Attempt { rank, ..attempt },
            allocator: *allocator,
            deadline: now + ANSWER_TIMEOUT,
        };
        self.pending.insert(number, pending);
        Next::Pending(number)
    }

    fn remove(&mut self, number: u64) -> Option<Pending> {
        let pending = self.pending.remove(&number)?;
        self.by_flow
            .remove(&AddressPair::of(&pending.opening.packet));
        Some(pending)
    }

    fn send(&mut self, to: Ipv4Addr, message: Message) {
        self.outbox.push(Dispatch { to, message });
    }
}

/// Selects a shard at random, in proportion to its slots.
fn select<'a>(shards: &[&'a Shard]) -> Option<&'a Shard> {
    let total: u64 = shards.iter().map(|shard| u64::from(shard.slots)).sum();
    if total == 0 {
        return None;
    }
    let mut remainder = rand::rng().random_range(0..total);
    for shard in shards {
        let slots = u64::from(shard.slots);
        if remainder < slots {
            return Some(shard);
        }
        remainder -= slots;
    }
    None
}
