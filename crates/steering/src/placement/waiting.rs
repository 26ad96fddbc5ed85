//! Claims that wait for a slot.
//!
//! Load answered: a crest above what the slots of a shard bear. Claims are served by priority and,
//! among those of one priority, by the time that they have left. A claim that would not get a slot
//! within its patience is not admitted, so that none waits in vain.

use std::collections::{BTreeMap, HashMap};

use super::{Claim, ClaimId};
use crate::prelude::*;

/// Most claims that wait for one shard, whatever their patience; bounds memory.
const MAX_WAITING: usize = 512;

/// Position in the queue: priority, deadline and identifier, which makes it unique.
type Position = (u32, Moment, ClaimId);

/// Claims that wait for a slot of one shard, the one to serve next first.
#[derive(Debug, Default)]
pub struct Queue {
    claims: BTreeMap<Position, Claim>,
    positions: HashMap<ClaimId, Position>,
}

impl Queue {
    /// Returns the number of waiting claims.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns whether no claim waits.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Adds a claim unless it would not get a slot within its patience, when one slot becomes free
    /// every `interval`; returns whether it was added.
    pub fn push(&mut self, claim: Claim, interval: Duration, now: Moment) -> bool {
        let position = (claim.priority, now + claim.patience, claim.id);
        let ahead = self.claims.range(..position).count() as u32;
        if self.claims.len() >= MAX_WAITING || interval * (ahead + 1) > claim.patience {
            return false;
        }
        self.claims.insert(position, claim);
        self.positions.insert(claim.id, position);
        true
    }

    /// Returns the claim to serve next.
    pub fn first(&self) -> Option<&Claim> {
        self.claims.values().next()
    }

    /// Removes the claim to serve next.
    pub fn pop(&mut self) -> Option<Claim> {
        let (position, claim) = self.claims.pop_first()?;
        self.positions.remove(&position.2);
        Some(claim)
    }

    /// Removes a claim; returns whether it was waiting.
    pub fn remove(&mut self, id: ClaimId) -> bool {
        let Some(position) = self.positions.remove(&id) else {
            return false;
        };
        self.claims.remove(&position).is_some()
    }

    /// Removes and returns the claims whose patience has ended, and those that more urgent ones
    /// that came later have moved so far back that it would end before their turn.
    pub fn take_hopeless(&mut self, interval: Duration, now: Moment) -> Vec<Claim> {
        let mut kept: u32 = 0;
        let mut hopeless = Vec::new();
        for (position, claim) in &self.claims {
            if now + interval * kept >= position.1 {
                hopeless.push(*claim);
            } else {
                kept += 1;
            }
        }
        for claim in &hopeless {
            self.remove(claim.id);
        }
        hopeless
    }
}
