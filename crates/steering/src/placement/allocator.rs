//! Answers to the claims for the shards of which this VM is the allocator.

use std::collections::HashMap;

use metrics::counter;

use super::{Answer, Claim, ClaimId, Denial, Ledger, Outcome, Queue, Shard, ShardMap, WarmupLimit};
use crate::catalog::EndpointKey;
use crate::load::EndpointLoads;
use crate::prelude::*;

/// What an allocator knows besides its own leases.
pub struct Knowledge<'a> {
    /// Endpoints and configuration.
    pub catalog: &'a Catalog,
    /// Load that is not leased here; gets the numbers of leases for this VM's reports.
    pub loads: &'a mut EndpointLoads,
}

/// Answer to a claim, which may be one that has waited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reply {
    /// Claim that is answered.
    pub claim: ClaimId,
    /// Its answer.
    pub answer: Answer,
}

/// State of an allocator.
#[derive(Debug)]
pub struct Allocator {
    data_centre: String,
    ledger: Ledger,
    shards: Arc<ShardMap>,
    /// Waiting claims by shard.
    queues: HashMap<u64, Queue>,
    is_stopping: bool,
}

impl Allocator {
    /// Returns an allocator in `data_centre` without leases.
    pub fn new(data_centre: &str, warmup_limit: WarmupLimit) -> Self {
        Self {
            data_centre: data_centre.to_owned(),
            ledger: Ledger::new(warmup_limit),
            shards: Arc::default(),
            queues: HashMap::new(),
            is_stopping: false,
        }
    }

    /// Returns the leases.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns the number of waiting claims.
    pub fn waiting_claims(&self) -> usize {
        self.queues.values().map(Queue::len).sum()
    }

    /// Returns the shards of the data centre, as the catalog has them now.
    pub fn shards(&mut self, catalog: &Catalog, now: Moment) -> Arc<ShardMap> {
        if !self.shards.is_current(catalog, now) {
            self.shards = Arc::new(ShardMap::split(&self.data_centre, catalog, now));
        }
        self.shards.clone()
    }

    /// Answers a claim.
    pub fn claim(&mut self, claim: Claim, knowledge: &mut Knowledge<'_>, now: Moment) -> Reply {
        let answer = self.answer(claim, knowledge, now);
        let label = match answer {
            Answer::Leased(_) => "leased",
            Answer::Waiting(_) => "waiting",
            Answer::Denied(denial) => denial.label(),
        };
        counter!("ragwortbeam_claims_answered_total", "answer" => label).increment(1);
        Reply {
            claim: claim.id,
            answer,
        }
    }

    fn answer(&mut self, claim: Claim, knowledge: &mut Knowledge<'_>, now: Moment) -> Answer {
        if self.is_stopping {
            return Answer::Denied(Denial::Stopping);
        }
        let shards = self.shards(knowledge.catalog, now);
        let Some(shard) = shards.get(claim.shard) else {
            return Answer::Denied(Denial::NoEndpoint);
        };
        let has_queue = self
            .queues
            .get(&claim.shard)
            .is_some_and(|it| !it.is_empty());
        if !has_queue {
            match self.lease(&claim, shard, knowledge, now) {
                Ok(tag) => return Answer::Leased(tag),
                Err(denial) if denial != Denial::Full => return Answer::Denied(denial),
                Err(_) => {}
            }
        }
        if !claim.may_wait {
            return Answer::Denied(Denial::Full);
        }
        let interval = self.slot_interval(shard);
        let queue = self.queues.entry(claim.shard).or_default();
        if queue.push(claim, interval, now) {
            Answer::Waiting(claim.patience)
        } else {
            Answer::Denied(Denial::Overloaded)
        }
    }

    /// Ends a claim or its lease; returns the answers to waiting claims that become due.
    pub fn release(
        &mut self,
        id: ClaimId,
        outcome: Outcome,
        knowledge: &mut Knowledge<'_>,
        now: Moment,
    ) -> Vec<Reply> {
        for queue in self.queues.values_mut() {
            queue.remove(id);
        }
        if let Some(endpoint) = self.ledger.endpoint_of(id) {
            let shards = self.shards(knowledge.catalog, now);
            let shard = shard_of(&shards, endpoint, knowledge.catalog);
            let usual = shard.map_or(Duration::ZERO, |it| self.ledger.usual_service_time(it));
            let (catalog, loads) = (knowledge.catalog, &mut *knowledge.loads);
            self.ledger.release(id, outcome, usual, catalog, loads, now);
        }
        self.serve_waiting(knowledge, now)
    }

    /// Ends leases that have timed out; returns the answers to waiting claims that become due.
    pub fn expire(&mut self, knowledge: &mut Knowledge<'_>, now: Moment) -> Vec<Reply> {
        self.ledger.expire(knowledge.loads, now);
        self.serve_waiting(knowledge, now)
    }

    /// Denies all claims from now on; returns the answers to those that wait.
    pub fn stop(&mut self) -> Vec<Reply> {
        self.is_stopping = true;
        let mut replies = Vec::new();
        for queue in self.queues.values_mut() {
            while let Some(claim) = queue.pop() {
                replies.push(Reply {
                    claim: claim.id,
                    answer: Answer::Denied(Denial::Stopping),
                });
            }
        }
        replies
    }

    /// Leases slots to waiting claims while there are any, and denies those without a chance.
    fn serve_waiting(&mut self, knowledge: &mut Knowledge<'_>, now: Moment) -> Vec<Reply> {
        let mut replies = Vec::new();
        let mut queues = std::mem::take(&mut self.queues);
        let shards = self.shards(knowledge.catalog, now);
        for (id, queue) in &mut queues {
            let found = shards.get(*id);
            while let Some(claim) = queue.first().copied() {
                let answer = match found {
                    Some(shard) => match self.lease(&claim, shard, knowledge, now) {
                        Ok(tag) => Answer::Leased(tag),
                        Err(Denial::Full) => break,
                        Err(denial) => Answer::Denied(denial),
                    },
                    None => Answer::Denied(Denial::NoEndpoint),
                };
                queue.pop();
                replies.push(Reply {
                    claim: claim.id,
                    answer,
                });
            }
            let Some(shard) = found else {
                continue;
            };
            let interval = self.slot_interval(shard);
            let hopeless = queue.take_hopeless(interval, now).into_iter();
            replies.extend(hopeless.map(|claim| Reply {
                claim: claim.id,
                answer: Answer::Denied(Denial::Overloaded),
            }));
        }
        queues.retain(|_, queue| !queue.is_empty());
        self.queues = queues;
        replies
    }

    fn lease(
        &mut self,
        claim: &Claim,
        shard: &Shard,
        knowledge: &mut Knowledge<'_>,
        now: Moment,
    ) -> std::result::Result<u32, Denial> {
        let (catalog, loads) = (knowledge.catalog, &mut *knowledge.loads);
        self.ledger.lease(claim, shard, catalog, loads, now)
    }

    /// Returns the mean time until a further slot of a fully loaded shard becomes free.
    fn slot_interval(&self, shard: &Shard) -> Duration {
        self.ledger.usual_service_time(shard) / shard.slots.max(1)
    }
}

/// Returns the shard that has an endpoint.
fn shard_of<'a>(
    shards: &'a ShardMap,
    endpoint: EndpointKey,
    catalog: &Catalog,
) -> Option<&'a Shard> {
    let service = &catalog.endpoint(endpoint)?.entry.service;
    let mut shards = shards.of_service(service).iter();
    shards.find(|shard| shard.endpoints.contains(&endpoint))
}
