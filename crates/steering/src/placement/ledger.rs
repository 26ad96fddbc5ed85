//! Leases of an allocator and the endpoint that the next one goes to.
//!
//! Load answered: many openings a second for endpoints that take unequal time for a request. The
//! choice goes by the expected end of the request, from the exact number of requests that wait
//! before it and the endpoint's own service time.

use std::collections::{HashMap, VecDeque};

use metrics::counter;
use ragwortbeam_base::logging::RateLimiter;
use rand::RngExt;
use slotmap::SecondaryMap;
use spdlog::info;

use super::pace::MAX_PER_SLOT;
use super::{Change, Claim, ClaimId, Denial, Outcome, Pace, Shard};
use crate::catalog::{EndpointKey, Traffic};
use crate::choice;
use crate::load::EndpointLoads;
use crate::prelude::*;

/// Shortest and longest time after which a lease ends whose release was lost, whose flow other VMs
/// carry now, or whose caller acknowledges the answer only with its next request.
const LEASE_TIMEOUTS: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(5));

/// Time of a lease in multiples of a shard's fastest requests, for each service time that the
/// request is expected to take. Stragglers take a few times the usual time.
const LEASE_TIME_FACTOR: u32 = 10;

/// Factor by which each sample lets the time of the fastest requests grow.
const FASTEST_GROWTH: f64 = 1.02;

/// Time after which a service time without a new sample is forgotten, and an endpoint without
/// leases with it.
const MEMORY: Duration = Duration::from_secs(10);

/// Service time that is assumed while no endpoint of a shard has a sample.
const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(30);

/// Divisors of the difference by which a sample below or above the service time moves it. The end of
/// a request may be seen late, with the caller's next packet, but never early.
const SAMPLE_DIVISORS: (f64, f64) = (4.0, 16.0);

/// Multiple of the service time to which longer samples are shortened.
const MAX_SAMPLE: f64 = 4.0;

/// Divisor of the difference by which the end of a lease moves the share of unobserved ends.
const UNOBSERVED_DIVISOR: f64 = 64.0;

/// Share of leases without a release above which the counts are useless: packets of one flow then
/// arrive at many VMs, and the one that has the lease does not see the end.
const MAX_UNOBSERVED: f64 = 0.5;

/// Number of claims of which one gets a lease while the counts are useless, to notice when they are
/// not any more.
const PROBE_EVERY_CLAIMS: u64 = 16;

/// Share of the usual service time below which an endpoint probably fails its requests.
const SUSPICIOUS_SHARE: f64 = 0.4;

/// Slowness, in multiples of the usual service time, from which an endpoint holds fewer requests.
const NOTABLE_SLOWNESS: f64 = 2.0;

/// Cost of a request that an endpoint holds without a wait, in service times: of two endpoints with
/// a free slot, the one with more free slots is chosen.
const RUNNING_COST: f64 = 0.05;

/// Upper bound of the random part of the cost, as a share of the cost.
const MAX_JITTER: f64 = 0.1;

/// Part of a warm-up limit that one allocator uses: two VMs may take themselves for the allocator
/// of a shard while members come and go.
const WARMUP_LIMIT_DIVISOR: f64 = 2.0;

/// Length of the window in which openings count towards a warm-up limit: a second, and the
/// variation of the packets' time in the network.
const WARMUP_WINDOW: Duration = Duration::from_millis(1100);

/// Limit for lines about endpoints' paces, 20 a second.
static PACE_LIMITER: RateLimiter = RateLimiter::new(20);

/// Part of a deployment's limit for endpoints that warm up; it completes the rates that the
/// configuration has for services.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmupLimit {
    /// Factor for the configured rate.
    pub overrun: f64,
    /// Openings a second beyond the multiplied rate.
    pub slack: f64,
}

impl Default for WarmupLimit {
    fn default() -> Self {
        Self {
            overrun: 1.0,
            slack: 0.0,
        }
    }
}

impl WarmupLimit {
    /// Returns the openings that one allocator may send to an endpoint in a window, where the
    /// service's rate is `rate_per_s`.
    pub fn openings(&self, rate_per_s: f64) -> usize {
        ((rate_per_s * self.overrun + self.slack) / WARMUP_LIMIT_DIVISOR) as usize
    }
}

#[derive(Debug)]
struct Account {
    leases: u32,
    pace: Pace,
    /// Mean time of requests that found a free slot, and the time of the last sample.
    service_time: Option<(Duration, Moment)>,
    /// Time of the fastest requests; it grows slowly while there are slower ones only.
    fastest: Option<Duration>,
    /// Times of the openings in the last [`WARMUP_WINDOW`]; only of an endpoint with a limit.
    openings: VecDeque<Moment>,
    opened_at: Moment,
    used_at: Moment,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    endpoint: EndpointKey,
    granted_at: Moment,
    /// Expected duration in service times: above 1 when the request had to wait.
    rounds: f64,
    expires_at: Moment,
}

/// Leases by claim, and an account for each endpoint in use.
#[derive(Debug, Default)]
pub struct Ledger {
    warmup_limit: WarmupLimit,
    leases: HashMap<ClaimId, Lease>,
    accounts: SecondaryMap<EndpointKey, Account>,
    /// Share of leases that ended without a release.
    unobserved: f64,
    /// Number of claims while that share is too large.
    blind_claims: u64,
}

/// An endpoint that a claim may be leased, with what the choice depends on.
struct Candidate<'a> {
    key: EndpointKey,
    endpoint: &'a Endpoint,
    /// Requests that it holds, leased here or not.
    outstanding: u32,
    /// Most requests that it may hold by its pace, or by its limit while it warms up.
    limit: u32,
    /// Most requests that it may hold whatever its pace; 0 when a limit is used up.
    most: u32,
    is_silent: bool,
    is_proven: bool,
}

impl Ledger {
    /// Returns a ledger without leases.
    pub fn new(warmup_limit: WarmupLimit) -> Self {
        Self {
            warmup_limit,
            ..Self::default()
        }
    }

    /// Returns the number of leases of an endpoint.
    pub fn leases_of(&self, endpoint: EndpointKey) -> u32 {
        self.accounts.get(endpoint).map_or(0, |it| it.leases)
    }

    /// Returns the number of endpoints without their full pace.
    pub fn paced_endpoints(&self) -> usize {
        let accounts = self.accounts.values();
        accounts.filter(|it| !it.pace.is_proven()).count()
    }

    /// Leases a slot of a shard; returns the tag of the endpoint. A claim that has a lease gets it
    /// again, as its answer may have been lost.
    ///
    /// # Errors
    ///
    /// [`Denial::NoEndpoint`] when no endpoint of the shard can be used, [`Denial::Full`] when each
    /// of them holds as many requests as it may.
    pub fn lease(
        &mut self,
        claim: &Claim,
        shard: &Shard,
        catalog: &Catalog,
        loads: &mut EndpointLoads,
        now: Moment,
    ) -> std::result::Result<u32, Denial> {
        let known = self.leases.get(&claim.id).map(|it| it.endpoint);
        if let Some(endpoint) = known.and_then(|key| catalog.endpoint(key)) {
            return Ok(endpoint.tag);
        }
        if self.unobserved > MAX_UNOBSERVED {
            self.blind_claims += 1;
            if !self.blind_claims.is_multiple_of(PROBE_EVERY_CLAIMS) {
                return Err(Denial::NoEndpoint);
            }
        }
        for key in &shard.endpoints {
            self.open_account(*key, catalog, loads, now);
        }
        let usual = self.usual_service_time(shard);
        let candidates = self.candidates(claim, shard, catalog, loads, usual, now);
        if candidates.is_empty() {
            return Err(Denial::NoEndpoint);
        }
        let chosen = self
            .cheapest(&candidates, usual, claim.traffic, loads, now)
            .ok_or(Denial::Full)?;
        let (key, tag) = (chosen.key, chosen.endpoint.tag);
        let rounds = rounds(chosen.outstanding, chosen.endpoint.entry.slots);
        let is_limited = catalog.warmup_rate(chosen.endpoint, now).is_some();
        let lease_timeout = self.lease_timeout(shard, rounds);
        let account = &mut self.accounts[key];
        account.leases += 1;
        account.pace.record_sent(now);
        if is_limited {
            account.openings.push_back(now);
        }
        let lease = Lease {
            endpoint: key,
            granted_at: now,
            rounds,
            expires_at: now + lease_timeout,
        };
        self.leases.insert(claim.id, lease);
        loads.set_leases(key, account.leases, account.pace.is_silent());
        Ok(tag)
    }

    /// Returns the endpoint of a lease; `None` when there is no such lease.
    pub fn endpoint_of(&self, id: ClaimId) -> Option<EndpointKey> {
        self.leases.get(&id).map(|it| it.endpoint)
    }

    /// Ends a lease, where `usual` is the mean service time of the endpoint's shard. It is ignored
    /// when there is no such lease.
    pub fn release(
        &mut self,
        id: ClaimId,
        outcome: Outcome,
        usual: Duration,
        catalog: &Catalog,
        loads: &mut EndpointLoads,
        now: Moment,
    ) {
        let Some(lease) = self.leases.remove(&id) else {
            return;
        };
        self.unobserved -= self.unobserved / UNOBSERVED_DIVISOR;
        let key = lease.endpoint;
        let Some(account) = self.accounts.get_mut(key) else {
            return;
        };
        account.leases -= 1;
        if let Some(endpoint) = catalog.endpoint(key) {
            let taken = now.since(lease.granted_at);
            let change = match outcome {
                Outcome::Answered => {
                    if lease.rounds <= 1.0 {
                        account.add_sample(taken, now);
                    }
                    let expected = usual.mul_f64(lease.rounds);
                    account
                        .pace
                        .record_answer(taken, expected, endpoint.entry.slots)
                }
                Outcome::Unanswered => account.pace.record_unanswered(now),
                Outcome::Unused => None,
            };
            if let Some(change) = change {
                log_change(endpoint, change, taken, usual);
            }
        }
        loads.set_leases(key, account.leases, account.pace.is_silent());
    }

    /// Ends leases without a release in time and forgets endpoints that are not in use.
    pub fn expire(&mut self, loads: &mut EndpointLoads, now: Moment) {
        let (accounts, unobserved) = (&mut self.accounts, &mut self.unobserved);
        self.leases.retain(|_, lease| {
            if now < lease.expires_at {
                return true;
            }
            counter!("ragwortbeam_leases_expired_total").increment(1);
            *unobserved += (1.0 - *unobserved) / UNOBSERVED_DIVISOR;
            if let Some(account) = accounts.get_mut(lease.endpoint) {
                account.leases -= 1;
                loads.set_leases(lease.endpoint, account.leases, account.pace.is_silent());
            }
            false
        });
        self.accounts.retain(|key, account| {
            let is_used = account.leases > 0 || now.since(account.used_at) < MEMORY;
            if !is_used {
                loads.set_leases(key, 0, false);
            }
            is_used
        });
    }

    /// Returns the mean service time of a shard's endpoints.
    pub fn usual_service_time(&self, shard: &Shard) -> Duration {
        let accounts = shard
            .endpoints
            .iter()
            .filter_map(|it| self.accounts.get(*it));
        let known: Vec<Duration> = accounts.filter_map(|it| Some(it.service_time?.0)).collect();
        match known.len() as u32 {
            0 => DEFAULT_SERVICE_TIME,
            count => known.iter().sum::<Duration>() / count,
        }
    }

    /// Returns the time after which a lease ends without a release.
    fn lease_timeout(&self, shard: &Shard, rounds: f64) -> Duration {
        let accounts = shard
            .endpoints
            .iter()
            .filter_map(|it| self.accounts.get(*it));
        let fastest = accounts.filter_map(|it| it.fastest).min();
        let (shortest, longest) = LEASE_TIMEOUTS;
        let one_round = (fastest.unwrap_or_default() * LEASE_TIME_FACTOR).max(shortest);
        one_round.mul_f64(rounds).min(longest)
    }

    fn open_account(
        &mut self,
        key: EndpointKey,
        catalog: &Catalog,
        loads: &EndpointLoads,
        now: Moment,
    ) {
        let Some(endpoint) = catalog.endpoint(key) else {
            return;
        };
        if let Some(account) = self.accounts.get_mut(key) {
            account.used_at = now;
            account.forget_old(endpoint.warmup_ends_at, now);
            return;
        }
        let pace = if endpoint.is_warming_up(now) || loads.is_silent(key, endpoint, now) {
            if let Some(suppressed) = PACE_LIMITER.try_acquire() {
                info!(
                    "event=pace_began endpoint={:x} service={} is_warming_up={} left_out={suppressed}",
                    endpoint.id,
                    endpoint.entry.service,
                    endpoint.is_warming_up(now)
                );
            }
            Pace::starting()
        } else {
            Pace::proven()
        };
        let account = Account {
            leases: 0,
            pace,
            service_time: None,
            fastest: None,
            openings: VecDeque::new(),
            opened_at: now,
            used_at: now,
        };
        self.accounts.insert(key, account);
    }

    fn candidates<'a>(
        &self,
        claim: &Claim,
        shard: &Shard,
        catalog: &'a Catalog,
        loads: &EndpointLoads,
        usual: Duration,
        now: Moment,
    ) -> Vec<Candidate<'a>> {
        // Another VM may have leased endpoints that warm up until this one became the allocator.
        let accounts = shard
            .endpoints
            .iter()
            .filter_map(|it| self.accounts.get(*it));
        let opened_at = accounts.map(|it| it.opened_at).min();
        let is_established = opened_at.is_some_and(|it| now.since(it) >= WARMUP_WINDOW);
        let candidates = shard.endpoints.iter().filter_map(|key| {
            let endpoint = catalog.endpoint(*key)?;
            let account = self.accounts.get(*key)?;
            if !catalog.is_available(endpoint, now) || claim.avoid.contains(&endpoint.tag) {
                return None;
            }
            let elsewhere = loads.local_load(*key).busy + loads.reported_load(endpoint, now).busy;
            let slots = endpoint.entry.slots;
            let mut most = self.most_by_time(*key, slots, usual);
            let mut limit = account.pace.limit(slots, now).min(most);
            if let Some(rate) = catalog.warmup_rate(endpoint, now) {
                let openings = account.openings.iter();
                let recent = openings
                    .filter(|at| now.since(**at) < WARMUP_WINDOW)
                    .count();
                if !is_established || recent >= self.warmup_limit.openings(rate) {
                    (limit, most) = (0, 0);
                }
            }
            Some(Candidate {
                key: *key,
                endpoint,
                outstanding: account.leases + elsewhere,
                limit,
                most,
                is_silent: account.pace.is_silent(),
                is_proven: account.pace.is_proven(),
            })
        });
        candidates.collect()
    }

    /// Returns the candidate with the earliest expected end of a further request; `None` when none
    /// has room. When most candidates are silent, the fault is probably not theirs, and they are
    /// used like others. When most are without their full pace, there are none
    /// to spare them, and the paces do not count.
    fn cheapest<'a, 'b>(
        &self,
        candidates: &'b [Candidate<'a>],
        usual: Duration,
        traffic: Traffic,
        loads: &EndpointLoads,
        now: Moment,
    ) -> Option<&'b Candidate<'a>> {
        let silent_count = candidates.iter().filter(|it| it.is_silent).count();
        let uses_silent = silent_count * 2 > candidates.len();
        let paced_count = candidates.iter().filter(|it| !it.is_proven).count();
        let ignores_pace = paced_count * 2 > candidates.len();
        let has_room = |it: &&Candidate<'_>| {
            let limit = match (it.is_silent, uses_silent, ignores_pace) {
                (true, true, _) | (false, _, true) => it.most,
                _ => it.limit,
            };
            it.outstanding < limit
        };
        let mut random = rand::rng();
        let costed = candidates.iter().filter(has_room).map(|it| {
            let open = loads.local_load(it.key).open + loads.reported_load(it.endpoint, now).open;
            let slots = f64::from(it.endpoint.entry.slots);
            let load = f64::from(open) * choice::open_weight(traffic) / slots;
            let running = f64::from(it.outstanding) * RUNNING_COST;
            let rounds = rounds(it.outstanding, it.endpoint.entry.slots) + load + running;
            let jitter = random.random_range(1.0..1.0 + MAX_JITTER);
            (it, rounds * self.slowness(it.key, usual) * jitter)
        });
        let cheapest = costed.min_by(|left, right| left.1.total_cmp(&right.1));
        cheapest.map(|(candidate, _)| candidate)
    }

    /// Returns the most requests that an endpoint may hold: a slow one holds fewer, so that those
    /// that wait there end about as soon as elsewhere.
    fn most_by_time(&self, key: EndpointKey, slots: u32, usual: Duration) -> u32 {
        let full = slots * MAX_PER_SLOT;
        let slowness = self.slowness(key, usual);
        if slowness < NOTABLE_SLOWNESS {
            return full;
        }
        ((f64::from(full) / slowness) as u32).max(1)
    }

    /// Returns the factor for the cost of an endpoint whose service time differs from the usual
    /// one.
    fn slowness(&self, key: EndpointKey, usual: Duration) -> f64 {
        let sample = self.accounts.get(key).and_then(|it| it.service_time);
        let Some((service_time, _)) = sample else {
            return 1.0;
        };
        let share = service_time.as_secs_f64() / usual.as_secs_f64().max(f64::EPSILON);
        if share < SUSPICIOUS_SHARE {
            1.0 / share.max(0.01)
        } else {
            share.max(1.0)
        }
    }
}

impl Account {
    fn add_sample(&mut self, taken: Duration, now: Moment) {
        let mean = match self.service_time {
            None => taken,
            Some((mean, _)) => {
                let taken = taken.min(mean.mul_f64(MAX_SAMPLE)).as_secs_f64();
                let difference = taken - mean.as_secs_f64();
                let (below, above) = SAMPLE_DIVISORS;
                let divisor = if difference < 0.0 { below } else { above };
                Duration::from_secs_f64((mean.as_secs_f64() + difference / divisor).max(0.0))
            }
        };
        self.service_time = Some((mean, now));
        let fastest = self.fastest.unwrap_or(taken).mul_f64(FASTEST_GROWTH);
        self.fastest = Some(fastest.min(taken));
    }

    /// Forgets what is too old, and after the warm-up what was sampled during it.
    fn forget_old(&mut self, warmup_ends_at: Moment, now: Moment) {
        self.service_time = self.service_time.filter(|(_, sampled_at)| {
            let is_recent = now.since(*sampled_at) < MEMORY;
            is_recent && (now < warmup_ends_at || *sampled_at >= warmup_ends_at)
        });
        while self
            .openings
            .front()
            .is_some_and(|at| now.since(*at) >= WARMUP_WINDOW)
        {
            self.openings.pop_front();
        }
    }
}

/// Returns the expected duration of a further request in service times, where an endpoint holds
/// `outstanding` requests.
fn rounds(outstanding: u32, slots: u32) -> f64 {
    let waiting = (outstanding + 1).saturating_sub(slots);
    1.0 + f64::from(waiting) / f64::from(slots)
}

fn log_change(endpoint: &Endpoint, change: Change, taken: Duration, usual: Duration) {
    let (event, limit) = match change {
        Change::Silenced => ("endpoint_silenced", 0),
        Change::Recovered => ("pace_began", 1),
        Change::Cut(limit) => ("pace_cut", limit),
        Change::Reached => ("pace_reached", endpoint.entry.slots * MAX_PER_SLOT),
    };
    counter!("ragwortbeam_pace_changes_total", "event" => event).increment(1);
    if let Some(suppressed) = PACE_LIMITER.try_acquire() {
        info!(
            "event={event} endpoint={:x} service={} limit={limit} taken_ms={} usual_ms={} left_out={suppressed}",
            endpoint.id,
            endpoint.entry.service,
            taken.as_millis(),
            usual.as_millis(),
        );
    }
}
