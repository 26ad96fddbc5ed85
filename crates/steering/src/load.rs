//! Load and liveness of endpoints, as observed by this VM and reported by the others.

use std::collections::{HashMap, HashSet};
use std::net::Ipv4Addr;

use slotmap::SecondaryMap;

use crate::catalog::EndpointKey;
use crate::prelude::*;

/// Unanswered opening packets from which an endpoint counts as silent: a single one may have
/// been lost in the network.
const SILENT_THRESHOLD: u32 = 2;

/// Time after an endpoint's answer to any VM during which unanswered packets that other VMs report
/// do not make the endpoint silent.
const ALIVE_WINDOW: Duration = Duration::from_millis(250);

/// Delay before a silent endpoint is retried with a new flow; doubles with each retry.
const INITIAL_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Longest delay between two retries of a silent endpoint.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(8);

/// Time after which unanswered packets count no longer: one more than the longest delay between two
/// retries. A VM whose flows are placed by an allocator makes no retries of its own.
const UNANSWERED_LIFETIME: Duration = Duration::from_secs(10);

/// Age above which a report of other VMs is ignored: several report intervals. Also the time for
/// which this VM reports an endpoint without flows after its last answer.
const REPORT_LIFETIME: Duration = Duration::from_secs(2);

/// Time for which a report that covers more VMs is preferred to those of other hubs.
const REPORT_PREFERENCE_TIME: Duration = Duration::from_millis(300);

/// Load that this VM causes at one endpoint, and the endpoint's liveness.
#[derive(Clone, Copy, Debug, Default)]
pub struct LocalLoad {
    /// Number of open flows.
    pub open: u32,
    /// Number of outstanding requests, but for those with a lease.
    pub busy: u32,
    /// Number of leases of this VM's allocator, whichever VM holds them.
    pub leased: u32,
    /// Number of unanswered opening packets since the endpoint's last answer.
    pub unanswered: u32,
    /// True when the endpoint is silent for this VM's allocator.
    is_silent_for_allocator: bool,
    unanswered_at: Moment,
    answered_at: Option<Moment>,
    retry_at: Moment,
    retry_delay: Duration,
}

/// Load at one endpoint that other VMs report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Number of open flows.
    pub open: u32,
    /// Number of outstanding requests.
    pub busy: u32,
    /// Number of unanswered opening packets since the endpoint's last answer to each VM.
    pub unanswered: u32,
    /// True when the endpoint answered one of the VMs within `ALIVE_WINDOW`.
    pub is_alive: bool,
}

impl ReportedLoad {
    /// Adds the load that further VMs report.
    pub fn add(&mut self, other: Self) {
        self.open += other.open;
        self.busy += other.busy;
        self.unanswered += other.unanswered;
        self.is_alive |= other.is_alive;
    }

    /// Subtracts the counts of `part`, saturating at 0; `is_alive` stays.
    pub fn subtract(&mut self, part: Self) {
        self.open = self.open.saturating_sub(part.open);
        self.busy = self.busy.saturating_sub(part.busy);
        self.unanswered = self.unanswered.saturating_sub(part.unanswered);
    }
}

/// Reported loads by endpoint tag.
pub type Loads = HashMap<u32, ReportedLoad>;

/// The report that is currently used, and the hub that sent it; `None` before the first one.
#[derive(Debug, Default)]
struct HubReport {
    hub: Option<Ipv4Addr>,
    contributors: u32,
    received_at: Moment,
    by_tag: Loads,
}

/// Local and reported load of all endpoints.
#[derive(Debug, Default)]
pub struct EndpointLoads {
    local: SecondaryMap<EndpointKey, LocalLoad>,
    report: HubReport,
    /// Endpoints that are silent by the report and answer this VM's packets or get none.
    silent_by_report: HashSet<EndpointKey>,
}

impl EndpointLoads {
    /// Returns the load that this VM causes at an endpoint.
    pub fn local_load(&self, key: EndpointKey) -> LocalLoad {
        self.local.get(key).copied().unwrap_or_default()
    }

    /// Drops unanswered packets that are too old to count.
    pub fn forget_unanswered(&mut self, now: Moment) {
        for local in self.local.values_mut() {
            if local.unanswered > 0 && now.since(local.unanswered_at) > UNANSWERED_LIFETIME {
                local.unanswered = 0;
                local.retry_delay = Duration::ZERO;
            }
        }
    }

    /// Returns the load at an endpoint that the other VMs report; 0 when the report is too old.
    pub fn reported_load(&self, endpoint: &Endpoint, now: Moment) -> ReportedLoad {
        if now.since(self.report.received_at) > REPORT_LIFETIME {
            return ReportedLoad::default();
        }
        let reported = self.report.by_tag.get(&endpoint.tag);
        reported.copied().unwrap_or_default()
    }

    /// Returns the number of VMs whose load the current report includes.
    pub fn contributors(&self) -> u32 {
        self.report.contributors
    }

    /// Adds a new flow with one outstanding request to the counts; the request of a flow with a
    /// lease is counted by the allocator.
    pub fn add_flow(&mut self, key: EndpointKey, is_leased: bool) {
        if let Some(local) = self.local_load_mut(key) {
            local.open += 1;
            local.busy += u32::from(!is_leased);
        }
    }

    /// Adds an outstanding request of a known flow to the counts.
    pub fn begin_request(&mut self, key: EndpointKey) {
        if let Some(local) = self.local_load_mut(key) {
            local.busy += 1;
        }
    }

    /// Removes an outstanding request from the counts.
    pub fn end_request(&mut self, key: EndpointKey) {
        if let Some(local) = self.local_load_mut(key) {
            local.busy = local.busy.saturating_sub(1);
        }
    }

    /// Sets the number of leases that this VM's allocator has for an endpoint, and whether the
    /// endpoint is silent for it.
    pub fn set_leases(&mut self, key: EndpointKey, leased: u32, is_silent: bool) {
        if let Some(local) = self.local_load_mut(key) {
            local.leased = leased;
            local.is_silent_for_allocator = is_silent;
        }
    }

    /// Replaces the counts of open flows and outstanding requests, in this order, of all endpoints.
    pub fn set_counts(&mut self, counts: &HashMap<EndpointKey, (u32, u32)>) {
        for local in self.local.values_mut() {
            (local.open, local.busy) = (0, 0);
        }
        for (key, (open, busy)) in counts {
            if let Some(local) = self.local_load_mut(*key) {
                (local.open, local.busy) = (*open, *busy);
            }
        }
    }

    /// Records that an endpoint answered, which ends its silence.
    pub fn record_answer(&mut self, key: EndpointKey, now: Moment) {
        if let Some(local) = self.local_load_mut(key) {
            local.unanswered = 0;
            local.answered_at = Some(now);
            local.retry_delay = Duration::ZERO;
        }
    }

    /// Records that a packet sent to an endpoint at `sent_at` is unanswered; returns whether this
    /// made the endpoint silent. Ignored when the endpoint has answered since `sent_at`.
    pub fn record_unanswered(&mut self, key: EndpointKey, sent_at: Moment, now: Moment) -> bool {
        let Some(local) = self.local_load_mut(key) else {
            return false;
        };
        if local
            .answered_at
            .is_some_and(|answered_at| answered_at >= sent_at)
        {
            return false;
        }
        local.unanswered += 1;
        local.unanswered_at = now;
        if local.unanswered == SILENT_THRESHOLD {
            local.retry_at = now + INITIAL_RETRY_DELAY;
        }
        local.unanswered == SILENT_THRESHOLD
    }

    /// Returns whether an endpoint answered within `window`.
    pub fn answered_within(&self, key: EndpointKey, window: Duration, now: Moment) -> bool {
        let answered_at = self.local_load(key).answered_at;
        answered_at.is_some_and(|answered_at| now.since(answered_at) <= window)
    }

    /// Returns whether an endpoint is silent: it leaves opening packets of this VM, or of all VMs
    /// together, unanswered.
    pub fn is_silent(&self, key: EndpointKey, endpoint: &Endpoint, now: Moment) -> bool {
        let local = self.local_load(key);
        if local.unanswered >= SILENT_THRESHOLD {
            return true;
        }
        let reported = self.reported_load(endpoint, now);
        let is_reported =
            local.unanswered + reported.unanswered >= SILENT_THRESHOLD && !reported.is_alive;
        is_reported && !self.answered_within(key, ALIVE_WINDOW, now)
    }

    /// Returns the endpoints that have become silent by the report of other VMs, and not by this
    /// VM's own packets, since the last call.
    pub fn take_silent_by_report(&mut self, catalog: &Catalog, now: Moment) -> Vec<EndpointKey> {
        let unanswered = self.report.by_tag.iter().filter(|it| it.1.unanswered > 0);
        let silent: HashSet<EndpointKey> = unanswered
            .filter_map(|(tag, _)| {
                let key = catalog.by_tag(*tag)?;
                let is_reported = self.local_load(key).unanswered < SILENT_THRESHOLD
                    && self.is_silent(key, catalog.endpoint(key)?, now);
                is_reported.then_some(key)
            })
            .collect();
        let new = silent.difference(&self.silent_by_report).copied().collect();
        self.silent_by_report = silent;
        new
    }

    /// Returns whether a silent endpoint may be retried with a new flow.
    pub fn is_retry_due(&self, key: EndpointKey, now: Moment) -> bool {
        let local = self.local_load(key);
        local.unanswered >= SILENT_THRESHOLD && now >= local.retry_at
    }

    /// Records a retry of a silent endpoint and schedules the next one.
    pub fn record_retry(&mut self, key: EndpointKey, now: Moment) {
        if let Some(local) = self.local_load_mut(key) {
            local.retry_delay = (local.retry_delay * 2).clamp(INITIAL_RETRY_DELAY, MAX_RETRY_DELAY);
            local.retry_at = now + local.retry_delay;
        }
    }

    /// Drops the local load of these endpoints.
    pub fn remove(&mut self, keys: &[EndpointKey]) {
        for key in keys {
            self.local.remove(*key);
        }
    }

    /// Returns this VM's load for a report; endpoints without load or a recent answer are omitted.
    pub fn local_loads(&self, catalog: &Catalog, now: Moment) -> Loads {
        let loads = self.local.iter().filter_map(|(key, local)| {
            let endpoint = catalog.endpoint(key)?;
            let busy = local.busy + local.leased;
            let unanswered = if local.is_silent_for_allocator {
                local.unanswered.max(SILENT_THRESHOLD)
            } else {
                local.unanswered
            };
            let is_idle = local.open == 0 && busy == 0 && unanswered == 0;
            if is_idle && !self.answered_within(key, REPORT_LIFETIME, now) {
                return None;
            }
            let reported = ReportedLoad {
                open: local.open,
                busy,
                unanswered,
                is_alive: self.answered_within(key, ALIVE_WINDOW, now),
            };
            Some((endpoint.tag, reported))
        });
        loads.collect()
    }

    /// Replaces the current report by a hub's sum over `contributors` other VMs.
    ///
    /// The sum is ignored while a recent report of another hub covers at least as many VMs. After
    /// a partial report, the endpoints that it lacks keep their previous load.
    pub fn apply_report(
        &mut self,
        hub: Ipv4Addr,
        contributors: u32,
        loads: Loads,
        is_partial: bool,
        now: Moment,
    ) {
        let current = &mut self.report;
        let is_preferred = current.hub == Some(hub)
            || contributors > current.contributors
            || now.since(current.received_at) > REPORT_PREFERENCE_TIME;
        if !is_preferred {
            return;
        }
        current.hub = Some(hub);
        current.contributors = contributors;
        current.received_at = now;
        if !is_partial {
            current.by_tag.clear();
        }
        current.by_tag.extend(loads);
    }

    /// Returns the local load of an endpoint, which is 0 at first; `None` when the key is outdated.
    fn local_load_mut(&mut self, key: EndpointKey) -> Option<&mut LocalLoad> {
        self.local.entry(key).map(|entry| entry.or_default())
    }
}
