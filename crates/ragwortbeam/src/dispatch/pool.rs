//! Concurrency limits of a service's endpoints, as this VM applies them, and the queue of
//! requests that wait for a free slot.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;

use metrics::gauge;
use rand::seq::IndexedRandom;
use tokio::sync::Notify;
use tokio::time::timeout_at;

use super::choice::{Candidate, Policy, policy};
use super::retry::RetryBudget;
use crate::prelude::*;
use crate::refusal::Reason;
use crate::release::Service;

/// Time for which an endpoint gets no new requests after it sheds or fails one; it doubles with
/// each further one in a row.
const INITIAL_BACKOFF: Duration = Duration::from_millis(20);

/// Maximum time for which an endpoint gets no new requests after it sheds or fails one.
const MAX_BACKOFF: Duration = Duration::from_millis(640);

/// Factor applied to an endpoint's window when it sheds or fails a request.
const WINDOW_DECREASE: f64 = 0.5;

/// Increase of an endpoint's window with each answered request, in slots.
const WINDOW_INCREASE: f64 = 0.25;

/// Answer rate with which the moving average of the intervals between answers starts.
const INITIAL_ANSWERS_PER_S: f64 = 20.0;

/// Weight of the newest interval in the moving average of the intervals between answers.
const NEWEST_INTERVAL_WEIGHT: f64 = 0.05;

/// Pools of all services, created on first use.
#[derive(Default)]
pub struct Pools {
    by_service: Mutex<HashMap<id::Service, Arc<Pool>>>,
}

impl Pools {
    /// Returns the pool of a service and creates it on the service's first request.
    pub fn get_or_create(&self, node: &Node, service: id::Service) -> Arc<Pool> {
        let limits = &node.settings.limits;
        let mut pools = self.by_service.lock().unwrap();
        let pool = pools.entry(service).or_insert_with(|| {
            let policy = policy(&limits.endpoint_choice)
                .expect("endpoint_choice is validated with the settings");
            Arc::new(Pool::new(
                policy,
                limits.queue_per_service,
                limits.retry_percent,
            ))
        });
        pool.clone()
    }
}

/// Endpoint slots, queue and retry budget of one service.
pub struct Pool {
    policy: Box<dyn Policy>,
    queue_limit: usize,
    /// Lock held by the request at the head of the queue. The lock is fair, so the others wait
    /// in order of arrival.
    queue_head: tokio::sync::Mutex<()>,
    /// Wakes the request at the head of the queue when a slot becomes free.
    slot_freed: Notify,
    /// Number of waiting requests, including the one at the head of the queue.
    queue_len: AtomicUsize,
    /// Budget for retries of this service's requests.
    pub retry_budget: RetryBudget,
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    loads: HashMap<id::Endpoint, EndpointLoad>,
    answer_interval: AnswerInterval,
}

/// Load that this VM puts on one endpoint.
#[derive(Debug)]
struct EndpointLoad {
    outstanding: u32,
    /// Limit on concurrent requests, between 1 and the endpoint's slots.
    window: f64,
    /// Requests that the endpoint shed or failed since its last answer.
    consecutive_failures: u32,
    /// End of the endpoint's backoff; `None` if it has never shed or failed a request.
    backoff_until: Option<Instant>,
}

/// Exponential moving average of the time between answers.
#[derive(Debug)]
struct AnswerInterval {
    interval_s: f64,
    last_answer_at: Option<Instant>,
}

impl Default for AnswerInterval {
    fn default() -> Self {
        Self {
            interval_s: 1.0 / INITIAL_ANSWERS_PER_S,
            last_answer_at: None,
        }
    }
}

/// Result of a request at an endpoint, which adapts the endpoint's window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// The endpoint answered.
    Served,
    /// The endpoint refused the request without running it.
    Shed,
    /// The endpoint gave no answer.
    Failed,
}

/// One request's slot at an endpoint. Dropping the lease frees the slot and leaves the
/// endpoint's window unchanged.
pub struct Lease {
    pool: Arc<Pool>,
    /// Id of the endpoint.
    pub endpoint: id::Endpoint,
    /// Slots of the endpoint, the upper limit of its window.
    slots: u32,
    completion: Option<Completion>,
}

impl Lease {
    /// Frees the slot and adapts the endpoint's window to the result of the request.
    pub fn finish(mut self, completion: Completion) {
        self.completion = Some(completion);
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.pool
            .release(self.endpoint, self.slots, self.completion);
    }
}

/// One request's entry in the queue, removed when dropped.
struct QueueEntry<'a> {
    pool: &'a Pool,
}

impl Drop for QueueEntry<'_> {
    fn drop(&mut self) {
        self.pool.queue_len.fetch_sub(1, Ordering::AcqRel);
        gauge!("ragwortbeam_queued_requests").decrement(1.0);
    }
}

impl Pool {
    /// Returns a pool without load. At most `queue_limit` requests wait at a time;
    /// `retry_percent` is the number of retries allowed per hundred requests.
    pub fn new(policy: Box<dyn Policy>, queue_limit: usize, retry_percent: u32) -> Self {
        Self {
            policy,
            queue_limit,
            queue_head: tokio::sync::Mutex::default(),
            slot_freed: Notify::new(),
            queue_len: AtomicUsize::new(0),
            retry_budget: RetryBudget::new(retry_percent),
            inner: Mutex::default(),
        }
    }

    /// Waits for a slot at an endpoint of `data_centre` that is open, which means that it takes
    /// new requests, and not in `excluded`.
    ///
    /// # Errors
    ///
    /// Returns the reason for the refusal if there is no open endpoint, the queue is full or
    /// the deadline passes; nothing has been dispatched then.
    pub async fn acquire(
        self: &Arc<Self>,
        service: &Service,
        data_centre: &str,
        excluded: &[id::Endpoint],
        deadline: Instant,
    ) -> Result<Lease, Reason> {
        let is_queue_empty = self.queue_len.load(Ordering::Acquire) == 0;
        if is_queue_empty && let Some(lease) = self.try_acquire(service, data_centre, excluded)? {
            return Ok(lease);
        }
        let _queue_entry = self.enqueue()?;
        let queue_head = timeout_at(deadline.into(), self.queue_head.lock()).await;
        let _queue_head = queue_head.map_err(|_| Reason::DeadlineQueued)?;
        loop {
            let slot_freed = self.slot_freed.notified();
            if let Some(lease) = self.try_acquire(service, data_centre, excluded)? {
                return Ok(lease);
            }
            // The end of an endpoint's backoff does not notify the waiting request, so the wait is
            // bounded.
            let wake_at = (Instant::now() + INITIAL_BACKOFF).min(deadline);
            let _ = timeout_at(wake_at.into(), slot_freed).await;
            if Instant::now() >= deadline {
                return Err(Reason::DeadlineQueued);
            }
        }
    }

    /// Takes a slot at a random open endpoint at once, bypassing the queue and the endpoint's
    /// window. For feeds that were admitted before and move to another endpoint.
    ///
    /// # Errors
    ///
    /// Returns [`Reason::NoEndpoint`] if no endpoint is open.
    pub fn acquire_any_unlimited(
        self: &Arc<Self>,
        service: &Service,
        data_centre: &str,
        excluded: &[id::Endpoint],
    ) -> Result<Lease, Reason> {
        let open_endpoints = service.open_endpoints(data_centre);
        let open_endpoints: Vec<_> = open_endpoints
            .filter(|endpoint| !excluded.contains(&endpoint.id))
            .collect();
        let chosen = open_endpoints
            .choose(&mut rand::rng())
            .ok_or(Reason::NoEndpoint)?;
        Ok(self.acquire_unlimited(chosen.id, chosen.slots))
    }

    /// Takes a slot at the given endpoint at once, bypassing the queue and the window.
    pub fn acquire_unlimited(self: &Arc<Self>, endpoint: id::Endpoint, slots: u32) -> Lease {
        let mut inner = self.inner.lock().unwrap();
        inner.load(endpoint, slots).outstanding += 1;
        self.lease(endpoint, slots)
    }

    /// Returns the delay after which a refused caller may retry, from 1 to 30 seconds: the
    /// estimated time to drain the queue.
    pub fn retry_after_s(&self) -> u32 {
        let inner = self.inner.lock().unwrap();
        let drain_s =
            self.queue_len.load(Ordering::Acquire) as f64 * inner.answer_interval.interval_s;
        drain_s.ceil().clamp(1.0, 30.0) as u32
    }

    /// Returns the number of this VM's requests in progress at each endpoint.
    pub fn outstanding(&self) -> Vec<(id::Endpoint, u32)> {
        let inner = self.inner.lock().unwrap();
        let loads = inner.loads.iter();
        loads
            .map(|(endpoint, load)| (*endpoint, load.outstanding))
            .collect()
    }

    /// Takes a slot at once; returns `Ok(None)` if every open endpoint has a full window or is in
    /// its backoff.
    fn try_acquire(
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
            completion: None,
        }
    }

    /// Adds a request to the queue until the returned entry is dropped.
    fn enqueue(&self) -> Result<QueueEntry<'_>, Reason> {
        let entry = QueueEntry { pool: self };
        let previous_len = self.queue_len.fetch_add(1, Ordering::AcqRel);
        gauge!("ragwortbeam_queued_requests").increment(1.0);
        if previous_len >= self.queue_limit {
            return Err(Reason::QueueFull);
        }
        Ok(entry)
    }

    fn release(&self, endpoint: id::Endpoint, slots: u32, completion: Option<Completion>) {
        let mut inner = self.inner.lock().unwrap();
        inner.load(endpoint, slots).complete(slots, completion);
        if completion == Some(Completion::Served) {
            inner.answer_interval.record_answer(Instant::now());
        }
        self.slot_freed.notify_one();
    }
}

impl Inner {
    fn load(&mut self, endpoint: id::Endpoint, slots: u32) -> &mut EndpointLoad {
        self.loads.entry(endpoint).or_insert_with(|| EndpointLoad {
            outstanding: 0,
            window: f64::from(slots),
            consecutive_failures: 0,
            backoff_until: None,
        })
    }
}

impl EndpointLoad {
    /// Returns whether the endpoint may get a request now: it has a free slot in its window and
    /// is not in its backoff.
    fn has_room(&self, now: Instant) -> bool {
        let is_available = self.backoff_until.is_none_or(|until| until <= now);
        is_available && f64::from(self.outstanding) < self.window.floor()
    }

    fn complete(&mut self, slots: u32, completion: Option<Completion>) {
        self.outstanding = self.outstanding.saturating_sub(1);
        match completion {
            // The request was not dispatched.
            None => {}
            Some(Completion::Served) => {
                self.consecutive_failures = 0;
                self.window = (self.window + WINDOW_INCREASE).min(f64::from(slots));
            }
            Some(Completion::Shed | Completion::Failed) => {
                self.window = (self.window * WINDOW_DECREASE).max(1.0);
                let backoff =
                    INITIAL_BACKOFF * 2u32.saturating_pow(self.consecutive_failures.min(5));
                self.consecutive_failures += 1;
                self.backoff_until = Some(Instant::now() + backoff.min(MAX_BACKOFF));
            }
        }
    }
}

impl AnswerInterval {
    fn record_answer(&mut self, now: Instant) {
        if let Some(last) = self.last_answer_at {
            let interval_s = now.duration_since(last).as_secs_f64();
            self.interval_s += (interval_s - self.interval_s) * NEWEST_INTERVAL_WEIGHT;
        }
        self.last_answer_at = Some(now);
    }
}
