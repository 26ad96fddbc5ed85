//! Load and signs of life of endpoints, as this VM and the others see them.

use std::collections::HashMap;
use std::net::Ipv4Addr;

use slotmap::SecondaryMap;

use crate::catalog::EndpointKey;
use crate::prelude::*;

/// Unanswered opening packets after which an endpoint counts as silent: one may be lost
/// on the way.
const SILENT_AFTER: u32 = 2;

/// Sign of life from any VM within which others' unanswered packets do not count.
const ALIVE_WINDOW: Duration = Duration::from_millis(250);

/// Pause before a silent endpoint is tried with another flow; doubles with each try.
const FIRST_RETRY: Duration = Duration::from_secs(1);

/// Longest pause between two tries of a silent endpoint.
const MAX_RETRY: Duration = Duration::from_secs(8);

/// Age of others' reports above which they are ignored: several report intervals.
const REPORT_LIFETIME: Duration = Duration::from_secs(2);

/// Age above which a report from a hub that knows more VMs is replaced by any other.
const REPORT_INTERVAL: Duration = Duration::from_millis(300);

/// Load that this VM causes at one endpoint, and what it has seen of it.
#[derive(Clone, Copy, Debug, Default)]
pub struct LocalLoad {
    /// Flows that are open.
    pub open: u32,
    /// Requests that wait for an answer.
    pub busy: u32,
    /// Opening packets without a sign of life after them.
    pub unanswered: u32,
    alive_at: Option<Moment>,
    retry_at: Moment,
    retry_pause: Duration,
}

/// What VMs other than this one report of one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Flows that are open.
    pub open: u32,
    /// Requests that wait for an answer.
    pub busy: u32,
    /// Opening packets without a sign of life after them.
    pub unanswered: u32,
    /// True when it answered one of the VMs within [`ALIVE_WINDOW`].
    pub is_alive: bool,
}

impl ReportedLoad {
    /// Adds what further VMs report.
    pub fn add(&mut self, other: Self) {
        self.open += other.open;
        self.busy += other.busy;
        self.unanswered += other.unanswered;
        self.is_alive |= other.is_alive;
    }

    /// Takes a part of the counts out again; signs of life stay.
    pub fn subtract(&mut self, part: Self) {
        self.open = self.open.saturating_sub(part.open);
        self.busy = self.busy.saturating_sub(part.busy);
        self.unanswered = self.unanswered.saturating_sub(part.unanswered);
    }
}

/// Reports by endpoint tag.
pub type Loads = HashMap<u32, ReportedLoad>;

/// The report in use.
#[derive(Debug, Default)]
struct Report {
    hub: Option<Ipv4Addr>,
    contributors: u32,
    at: Moment,
    by_tag: Loads,
}

/// Load of all endpoints.
#[derive(Debug, Default)]
pub struct EndpointLoads {
    own: SecondaryMap<EndpointKey, LocalLoad>,
    report: Report,
}

impl EndpointLoads {
    /// Returns what this VM causes at an endpoint.
    pub fn local_load(&self, key: EndpointKey) -> LocalLoad {
        self.own.get(key).copied().unwrap_or_default()
    }

    /// Returns what the other VMs report of an endpoint.
    pub fn reported_load(&self, endpoint: &Endpoint, now: Moment) -> ReportedLoad {
        if now.since(self.report.at) > REPORT_LIFETIME {
            return ReportedLoad::default();
        }
        let reported = self.report.by_tag.get(&endpoint.tag);
        reported.copied().unwrap_or_default()
    }

    /// Returns the VMs whose load the report in use includes.
    pub fn contributors(&self) -> u32 {
        self.report.contributors
    }

    /// Counts a new flow with its first request.
    pub fn add_flow(&mut self, key: EndpointKey) {
        if let Some(own) = self.entry(key) {
            own.open += 1;
            own.busy += 1;
        }
    }

    /// Replaces the counts of open flows and waiting requests.
    pub fn set_counts(&mut self, counts: &HashMap<EndpointKey, (u32, u32)>) {
        for own in self.own.values_mut() {
            (own.open, own.busy) = (0, 0);
        }
        for (key, (open, busy)) in counts {
            if let Some(own) = self.entry(*key) {
                (own.open, own.busy) = (*open, *busy);
            }
        }
    }

    /// Notes that an endpoint answered.
    pub fn record_answer(&mut self, key: EndpointKey, now: Moment) {
        if let Some(own) = self.entry(key) {
            own.unanswered = 0;
            own.alive_at = Some(now);
            own.retry_pause = Duration::ZERO;
        }
    }

    /// Notes that a packet sent to an endpoint at `sent_at` has no answer by now; returns
    /// whether this made the endpoint silent.
    pub fn record_unanswered(&mut self, key: EndpointKey, sent_at: Moment, now: Moment) -> bool {
        let Some(own) = self.entry(key) else {
            return false;
        };
        if own.alive_at.is_some_and(|alive_at| alive_at >= sent_at) {
            return false;
        }
        own.unanswered += 1;
        if own.unanswered == SILENT_AFTER {
            own.retry_at = now + FIRST_RETRY;
        }
        own.unanswered == SILENT_AFTER
    }

    /// Returns whether an endpoint answered within `window`.
    pub fn answered_within(&self, key: EndpointKey, window: Duration, now: Moment) -> bool {
        let alive_at = self.local_load(key).alive_at;
        alive_at.is_some_and(|alive_at| now.since(alive_at) <= window)
    }

    /// Returns whether an endpoint is silent: packets to it stay without an answer.
    pub fn is_silent(&self, key: EndpointKey, endpoint: &Endpoint, now: Moment) -> bool {
        let own = self.local_load(key);
        if own.unanswered >= SILENT_AFTER {
            return true;
        }
        let reported = self.reported_load(endpoint, now);
        let is_reported =
            own.unanswered + reported.unanswered >= SILENT_AFTER && !reported.is_alive;
        is_reported && !self.answered_within(key, ALIVE_WINDOW, now)
    }

    /// Returns whether a silent endpoint may be tried with a new flow.
    pub fn is_retry_due(&self, key: EndpointKey, now: Moment) -> bool {
        let own = self.local_load(key);
        own.unanswered >= SILENT_AFTER && now >= own.retry_at
    }

    /// Notes that a silent endpoint is tried.
    pub fn record_retry(&mut self, key: EndpointKey, now: Moment) {
        if let Some(own) = self.entry(key) {
            own.retry_pause = (own.retry_pause * 2).clamp(FIRST_RETRY, MAX_RETRY);
            own.retry_at = now + own.retry_pause;
        }
    }

    /// Drops what is held of endpoints that are gone.
    pub fn remove(&mut self, keys: &[EndpointKey]) {
        for key in keys {
            self.own.remove(*key);
        }
    }

    /// Returns this VM's part; endpoints that it left alone lately are omitted.
    pub fn local_loads(&self, catalog: &Catalog, now: Moment) -> Loads {
        let loads = self.own.iter().filter_map(|(key, own)| {
            let endpoint = catalog.endpoint(key)?;
            let is_idle = own.open == 0 && own.busy == 0 && own.unanswered == 0;
            if is_idle && !self.answered_within(key, REPORT_LIFETIME, now) {
                return None;
            }
            let reported = ReportedLoad {
                open: own.open,
                busy: own.busy,
                unanswered: own.unanswered,
                is_alive: self.answered_within(key, ALIVE_WINDOW, now),
            };
            Some((endpoint.tag, reported))
        });
        loads.collect()
    }

    /// Takes a hub's sum over `contributors` other VMs, unless one from a hub that knows
    /// more is recent. Endpoints that a partial one lacks keep what is held of them.
    pub fn apply_report(
        &mut self,
        hub: Ipv4Addr,
        contributors: u32,
        loads: Loads,
        is_partial: bool,
        now: Moment,
    ) {
        let held = &mut self.report;
        let is_better = held.hub == Some(hub)
            || contributors > held.contributors
            || now.since(held.at) > REPORT_INTERVAL;
        if !is_better {
            return;
        }
        held.hub = Some(hub);
        held.contributors = contributors;
        held.at = now;
        if !is_partial {
            held.by_tag.clear();
        }
        held.by_tag.extend(loads);
    }

    fn entry(&mut self, key: EndpointKey) -> Option<&mut LocalLoad> {
        self.own.entry(key).map(|entry| entry.or_default())
    }
}
