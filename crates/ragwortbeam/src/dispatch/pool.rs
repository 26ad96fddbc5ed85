//! Slots of a service's endpoints as one VM sees them, and the queue for them.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;

use metrics::gauge;
use rand::seq::IndexedRandom;
use tokio::sync::Notify;
use tokio::time::timeout_at;

use super::choice::{Candidate, Policy, policy};
use super::retry::Budget;
use crate::prelude::*;
use crate::refusal::Reason;
use crate::release::Service;

/// Time an endpoint is left out after it shed a request, doubled with each further one.
const SHED_BACKOFF: Duration = Duration::from_millis(20);

/// Longest time an endpoint is left out.
const MAX_BACKOFF: Duration = Duration::from_millis(640);

/// Factor by which a shed request narrows an endpoint's window.
const WINDOW_DECREASE: f64 = 0.5;

/// Share of a slot by which a served request widens it.
const WINDOW_INCREASE: f64 = 0.25;

/// Answers per second assumed before any was measured.
const INITIAL_RATE: f64 = 20.0;

/// Weight of the newest interval in the answer rate.
const RATE_WEIGHT: f64 = 0.05;

/// Pools of all services.
#[derive(Default)]
pub struct Pools {
    by_service: Mutex<HashMap<id::Service, Arc<Pool>>>,
}

impl Pools {
    /// Returns the pool of a service.
    pub fn of(&self, node: &Node, service: id::Service) -> Arc<Pool> {
        let limits = &node.settings.limits;
        let mut pools = self.by_service.lock().unwrap();
        let pool = pools.entry(service).or_insert_with(|| {
            let policy = policy(&limits.endpoint_choice).expect("settings are checked");
            Arc::new(Pool::new(
                policy,
                limits.queue_per_service,
                limits.retry_percent,
            ))
        });
        pool.clone()
    }
}

/// Slots and queue of one service.
pub struct Pool {
    policy: Box<dyn Policy>,
    queue_limit: usize,
    /// Held by the request whose turn it is; the lock is fair, so the others wait in
    /// order of arrival.
    turn: tokio::sync::Mutex<()>,
    /// Wakes the request whose turn it is.
    freed: Notify,
    /// Requests that wait, the one whose turn it is included.
    queued: AtomicUsize,
    /// Budget for retries of this service's requests.
    pub retries: Budget,
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    loads: HashMap<id::Endpoint, Load>,
    rate: Rate,
}

/// One endpoint's load from this VM.
#[derive(Debug)]
struct Load {
    outstanding: u32,
    /// Between 1 and the endpoint's slots.
    window: f64,
    sheds_in_a_row: u32,
    closed_until: Option<Instant>,
}

/// Moving average of the time between answers.
#[derive(Debug)]
struct Rate {
    interval_s: f64,
    last: Option<Instant>,
}

impl Default for Rate {
    fn default() -> Self {
        Self {
            interval_s: 1.0 / INITIAL_RATE,
            last: None,
        }
    }
}

/// How a request at an endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Answered.
    Served,
    /// Refused by the endpoint as not run.
    Shed,
    /// No answer.
    Failed,
}

/// One request's slot at an endpoint; dropping it frees the slot and learns nothing.
pub struct Lease {
    pool: Arc<Pool>,
    /// Endpoint.
    pub endpoint: id::Endpoint,
    slots: u32,
    end: Option<End>,
}

impl Lease {
    /// Frees the slot and learns from how the request ended.
    pub fn finish(mut self, end: End) {
        self.end = Some(end);
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.pool.free(self.endpoint, self.slots, self.end);
    }
}

/// One request's place in the queue.
struct Place<'a> {
    pool: &'a Pool,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.pool.queued.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Pool {
    /// Returns a pool with no load.
    pub fn new(policy: Box<dyn Policy>, queue_limit: usize, retry_percent: u32) -> Self {
        Self {
            policy,
            queue_limit,
            turn: tokio::sync::Mutex::default(),
            freed: Notify::new(),
            queued: AtomicUsize::new(0),
            retries: Budget::new(retry_percent),
            inner: Mutex::default(),
        }
    }

    /// Waits for a slot at an open endpoint of `data_centre` other than `excluded`.
    ///
    /// # Errors
    ///
    /// The reason of the refusal; nothing was dispatched.
    pub async fn acquire(
        self: &Arc<Self>,
        service: &Service,
        data_centre: &str,
        excluded: &[id::Endpoint],
        deadline: Instant,
    ) -> Result<Lease, Reason> {
        let is_queue_empty = self.queued.load(Ordering::Acquire) == 0;
        if is_queue_empty && let Some(lease) = self.take(service, data_centre, excluded)? {
            return Ok(lease);
        }
        let _place = self.enqueue()?;
        let turn = timeout_at(deadline.into(), self.turn.lock()).await;
        let _turn = turn.map_err(|_| Reason::DeadlineQueued)?;
        loop {
            let freed = self.freed.notified();
            if let Some(lease) = self.take(service, data_centre, excluded)? {
                return Ok(lease);
            }
            // An endpoint that was left out for a time opens again without a sign.
            let wake = (Instant::now() + SHED_BACKOFF).min(deadline);
            let _ = timeout_at(wake.into(), freed).await;
            if Instant::now() >= deadline {
                return Err(Reason::DeadlineQueued);
            }
        }
    }

    /// Takes a slot at any open endpoint, whatever its load, ahead of the queue. For work
    /// that was admitted before and only moves.
    ///
    /// # Errors
    ///
    /// [`Reason::NoEndpoint`] when none is open.
    pub fn take_any(
        self: &Arc<Self>,
        service: &Service,
        data_centre: &str,
        excluded: &[id::Endpoint],
    ) -> Result<Lease, Reason> {
        let open = service.open_endpoints(data_centre);
        let open: Vec<_> = open
            .filter(|endpoint| !excluded.contains(&endpoint.id))
            .collect();
        let chosen = open.choose(&mut rand::rng()).ok_or(Reason::NoEndpoint)?;
        Ok(self.take_at(chosen.id, chosen.slots))
    }

    /// Takes a slot at this endpoint, whatever its load.
    pub fn take_at(self: &Arc<Self>, endpoint: id::Endpoint, slots: u32) -> Lease {
        let mut inner = self.inner.lock().unwrap();
        inner.load(endpoint, slots).outstanding += 1;
        self.lease(endpoint, slots)
    }

    /// Returns the whole seconds after which a refused caller may try again.
    pub fn retry_after_s(&self) -> u32 {
        let inner = self.inner.lock().unwrap();
        let drain_s = self.queued.load(Ordering::Acquire) as f64 * inner.rate.interval_s;
        drain_s.ceil().clamp(1.0, 30.0) as u32
    }

    /// Returns the requests in progress at each endpoint.
    pub fn outstanding(&self) -> Vec<(id::Endpoint, u32)> {
        let inner = self.inner.lock().unwrap();
        let loads = inner.loads.iter();
        loads
            .map(|(endpoint, load)| (*endpoint, load.outstanding))
            .collect()
    }

    fn take(
        self: &Arc<Self>,
        service: &Service,
        data_centre: &str,
        excluded: &[id::Endpoint],
    ) -> Result<Option<Lease>, Reason> {
        let now = Instant::now();
        let mut inner = self.inner.lock().unwrap();
        let mut is_any_open = false;
        let mut candidates = Vec::new();
        let mut slots = Vec::new();
        for endpoint in service.open_endpoints(data_centre) {
            if excluded.contains(&endpoint.id) {
                continue;
            }
            is_any_open = true;
            let load = inner.load(endpoint.id, endpoint.slots);
            if !load.has_room(now) {
                continue;
            }
            slots.push(endpoint.slots);
            candidates.push(Candidate {
                endpoint: endpoint.id,
                outstanding: load.outstanding,
                window: load.window,
            });
        }
        if !is_any_open {
            return Err(Reason::NoEndpoint);
        }
        if candidates.is_empty() {
            return Ok(None);
        }
        let index = self.policy.choose(&candidates);
        let endpoint = candidates[index].endpoint;
        inner.load(endpoint, slots[index]).outstanding += 1;
        Ok(Some(self.lease(endpoint, slots[index])))
    }

    fn lease(self: &Arc<Self>, endpoint: id::Endpoint, slots: u32) -> Lease {
        Lease {
            pool: self.clone(),
            endpoint,
            slots,
            end: None,
        }
    }

    /// Takes a place in the queue until the returned value is dropped.
    fn enqueue(&self) -> Result<Place<'_>, Reason> {
        let place = Place { pool: self };
        let before = self.queued.fetch_add(1, Ordering::AcqRel);
        gauge!("ragwortbeam_queued_requests").set((before + 1) as f64);
        if before >= self.queue_limit {
            return Err(Reason::QueueFull);
        }
        Ok(place)
    }

    fn free(&self, endpoint: id::Endpoint, slots: u32, end: Option<End>) {
        let mut inner = self.inner.lock().unwrap();
        inner.load(endpoint, slots).end(slots, end);
        if end == Some(End::Served) {
            inner.rate.note(Instant::now());
        }
        self.freed.notify_one();
    }
}

impl Inner {
    fn load(&mut self, endpoint: id::Endpoint, slots: u32) -> &mut Load {
        self.loads.entry(endpoint).or_insert_with(|| Load {
            outstanding: 0,
            window: f64::from(slots),
            sheds_in_a_row: 0,
            closed_until: None,
        })
    }
}

impl Load {
    fn has_room(&self, now: Instant) -> bool {
        let is_open = self.closed_until.is_none_or(|until| until <= now);
        is_open && f64::from(self.outstanding) < self.window.floor()
    }

    fn end(&mut self, slots: u32, end: Option<End>) {
        self.outstanding = self.outstanding.saturating_sub(1);
        match end {
            // Nothing was dispatched.
            None => {}
            Some(End::Served) => {
                self.sheds_in_a_row = 0;
                self.window = (self.window + WINDOW_INCREASE).min(f64::from(slots));
            }
            Some(End::Shed | End::Failed) => {
                self.window = (self.window * WINDOW_DECREASE).max(1.0);
                let backoff = SHED_BACKOFF * 2u32.saturating_pow(self.sheds_in_a_row.min(5));
                self.sheds_in_a_row += 1;
                self.closed_until = Some(Instant::now() + backoff.min(MAX_BACKOFF));
            }
        }
    }
}

impl Rate {
    fn note(&mut self, now: Instant) {
        if let Some(last) = self.last {
            let interval_s = now.duration_since(last).as_secs_f64();
            self.interval_s += (interval_s - self.interval_s) * RATE_WEIGHT;
        }
        self.last = Some(now);
    }
}
