//! Checks the history of a run against the guarantees of the load balancer.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use ragwortbeam::verdict::Verdict;

use crate::history::{Entry, Event, OperationId, RequestKind};

/// Longest time after a drain is published in which the backend server may still run new requests.
pub const MAX_DRAIN_TIME: Duration = Duration::from_secs(3);

/// Longest time from a caller's first registration to the first notification:
/// MAX_TRANSMIT_SPAN of RFC 7252, section 4.8.2. The fabric may lose a registration several
/// times.
pub const MAX_FEED_OPENING_TIME: Duration = Duration::from_secs(45);

/// Property that the load balancer has to satisfy in every run, whatever fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Guarantee {
    /// A non-idempotent request is executed at most once.
    AtMostOnce,
    /// A request with the verdict `not_run` was not executed.
    NoFalseNotRun,
    /// A request with the verdict `ran` was executed.
    NoFalseRan,
    /// Each request is executed by a backend server of the service that it was sent to.
    RightService,
    /// Each caller receives the complete response to its own request.
    OwnCompleteResponse,
    /// A datagram flow stays with one backend server and receives only its own datagrams.
    DatagramAffinity,
    /// A feed opens within [`MAX_FEED_OPENING_TIME`], in which its caller retransmits the
    /// registration.
    FeedOpening,
    /// The time between two notifications of a feed does not exceed their freshness (Max-Age).
    FeedContinuity,
    /// A draining backend server runs no new request after [`MAX_DRAIN_TIME`].
    NoWorkAfterDrain,
    /// The release number of a VM's process never decreases.
    MonotonicRelease,
}

impl fmt::Display for Guarantee {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = match self {
            Self::AtMostOnce => "at most once",
            Self::NoFalseNotRun => "not run means not run",
            Self::NoFalseRan => "ran means ran",
            Self::RightService => "right service",
            Self::OwnCompleteResponse => "own and whole answer",
            Self::DatagramAffinity => "datagram affinity",
            Self::FeedOpening => "feed opening",
            Self::FeedContinuity => "feed continuity",
            Self::NoWorkAfterDrain => "no work after leaving",
            Self::MonotonicRelease => "release never reverts",
        };
        formatter.pad(name)
    }
}

/// Result of checking one guarantee.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct Outcome {
    /// Number of times that the guarantee was checked.
    pub checks: u64,
    /// Description of each violation; empty if the guarantee was not violated.
    pub violations: Vec<String>,
}

/// Outcomes by guarantee; a guarantee that was never checked is absent.
pub type Outcomes = BTreeMap<Guarantee, Outcome>;

/// Checks all guarantees on a history; `freshness` is the longest time that a feed may go without
/// a notification.
pub fn check(entries: &[Entry], freshness: Duration) -> Outcomes {
    let mut outcomes = Outcomes::new();
    check_requests(entries, &mut outcomes);
    check_services(entries, &mut outcomes);
    check_datagrams(entries, &mut outcomes);
    check_feeds(entries, freshness, &mut outcomes);
    check_drains(entries, &mut outcomes);
    check_releases(entries, &mut outcomes);
    outcomes
}

/// Adds the outcomes of one run to the totals of several runs.
pub fn merge(total: &mut Outcomes, run: Outcomes) {
    for (guarantee, outcome) in run {
        let merged = total.entry(guarantee).or_default();
        merged.checks += outcome.checks;
        merged.violations.extend(outcome.violations);
    }
}

/// Counts one check of a guarantee and records its violation, if any.
fn record_check(outcomes: &mut Outcomes, guarantee: Guarantee, violation: Option<String>) {
    let outcome = outcomes.entry(guarantee).or_default();
    outcome.checks += 1;
    outcome.violations.extend(violation);
}

fn check_requests(entries: &[Entry], outcomes: &mut Outcomes) {
    let mut executions: HashMap<OperationId, u64> = HashMap::new();
    let mut post_ids = HashSet::new();
    for entry in entries {
        match &entry.event {
            Event::Executed { id, .. } => *executions.entry(*id).or_default() += 1,
            Event::Invoked {
                id,
                kind: RequestKind::Post,
                ..
            } => {
                post_ids.insert(*id);
            }
            _ => {}
        }
    }
    for id in &post_ids {
        let runs = executions.get(id).copied().unwrap_or(0);
        let violation = (runs > 1).then(|| format!("{id:?} ran {runs} times"));
        record_check(outcomes, Guarantee::AtMostOnce, violation);
    }
    for entry in entries {
        let Event::Answered {
            id,
            verdict,
            is_correct,
        } = &entry.event
        else {
            continue;
        };
        let runs = executions.get(id).copied().unwrap_or(0);
        let violation =
            (!is_correct).then(|| format!("{id:?} received a wrong or incomplete response"));
        record_check(outcomes, Guarantee::OwnCompleteResponse, violation);
        match verdict {
            Verdict::NotRun => {
                let violation =
                    (runs > 0).then(|| format!("{id:?} was answered as not run but ran"));
                record_check(outcomes, Guarantee::NoFalseNotRun, violation);
            }
            Verdict::Ran => {
                let violation =
                    (runs == 0).then(|| format!("{id:?} was answered as run but did not run"));
                record_check(outcomes, Guarantee::NoFalseRan, violation);
            }
            Verdict::MayHaveRun => {}
        }
    }
}

fn check_services(entries: &[Entry], outcomes: &mut Outcomes) {
    for entry in entries {
        if let Event::Executed {
            id,
            service,
            requested_service,
            ..
        } = &entry.event
        {
            let is_misrouted = requested_service != service;
            let violation = is_misrouted
                .then(|| format!("{id:?} for {requested_service} ran at a server of {service}"));
            record_check(outcomes, Guarantee::RightService, violation);
        }
    }
}

fn check_datagrams(entries: &[Entry], outcomes: &mut Outcomes) {
    let mut server_ports: HashMap<OperationId, u16> = HashMap::new();
    for entry in entries {
        let Event::Echoed {
            id,
            server_port,
            is_own_payload,
        } = entry.event
        else {
            continue;
        };
        let first_port = *server_ports.entry(id).or_insert(server_port);
        let violation = if !is_own_payload {
            Some(format!("{id:?} received another flow's datagram"))
        } else if first_port != server_port {
            Some(format!(
                "{id:?} moved from echo server {first_port} to {server_port}"
            ))
        } else {
            None
        };
        record_check(outcomes, Guarantee::DatagramAffinity, violation);
    }
}

fn check_feeds(entries: &[Entry], freshness: Duration, outcomes: &mut Outcomes) {
    let end = entries
        .iter()
        .find(|entry| entry.event == Event::Closing)
        .or(entries.last())
        .map(|entry| entry.at);
    let notified = notification_times(entries);
    for (id, registered_at) in feed_registration_times(entries) {
        let first = notified.get(&id).and_then(|times| times.first()).copied();
        let opening_time = first.or(end).map(|until| until - registered_at);
        let is_late = opening_time.is_some_and(|time| time > MAX_FEED_OPENING_TIME);
        let violation = is_late.then(|| format!("{id:?} took {opening_time:?} to open"));
        record_check(outcomes, Guarantee::FeedOpening, violation);
    }
    for (id, times) in notified {
        let gap = longest_gap(&times, end);
        let is_interrupted = gap > freshness;
        let violation =
            is_interrupted.then(|| format!("{id:?} received no notification for {gap:?}"));
        record_check(outcomes, Guarantee::FeedContinuity, violation);
    }
}

/// Returns the time of each feed's first registration, up to the end of the run.
fn feed_registration_times(entries: &[Entry]) -> BTreeMap<OperationId, Instant> {
    let invoked = entries
        .iter()
        .take_while(|entry| entry.event != Event::Closing)
        .filter_map(|entry| match entry.event {
            Event::Invoked {
                id,
                kind: RequestKind::Feed,
                ..
            } => Some((id, entry.at)),
            _ => None,
        });
    invoked.collect()
}

/// Returns the times of each feed's notifications, up to the end of the run.
pub fn notification_times(entries: &[Entry]) -> BTreeMap<OperationId, Vec<Instant>> {
    let mut feeds: BTreeMap<OperationId, Vec<Instant>> = BTreeMap::new();
    for entry in entries {
        match entry.event {
            Event::Notified { id, .. } => feeds.entry(id).or_default().push(entry.at),
            Event::Closing => break,
            _ => {}
        }
    }
    feeds
}

/// Returns the longest time between two notifications or from the last one to `end`; zero without
/// notifications.
pub fn longest_gap(times: &[Instant], end: Option<Instant>) -> Duration {
    let gaps_between = times.windows(2).map(|pair| pair[1] - pair[0]);
    let last = times.last().zip(end);
    let gap_after_last = last.map(|(last, end)| end.saturating_duration_since(*last));
    gaps_between.chain(gap_after_last).max().unwrap_or_default()
}

fn check_drains(entries: &[Entry], outcomes: &mut Outcomes) {
    let mut drain_times: HashMap<SocketAddr, Instant> = HashMap::new();
    for entry in entries {
        match &entry.event {
            Event::Drained { endpoint } => {
                drain_times.insert(*endpoint, entry.at);
            }
            Event::Executed { id, endpoint, .. } => {
                if let Some(drain_time) = drain_times.get(endpoint) {
                    let elapsed = entry.at - *drain_time;
                    let violation = (elapsed > MAX_DRAIN_TIME).then(|| {
                        format!(
                            "{id:?} ran at {endpoint} {elapsed:?} after its drain was published"
                        )
                    });
                    record_check(outcomes, Guarantee::NoWorkAfterDrain, violation);
                }
            }
            _ => {}
        }
    }
    // Each drain counts as a check, so that one after which its server runs nothing is counted too.
    for _ in drain_times {
        record_check(outcomes, Guarantee::NoWorkAfterDrain, None);
    }
}

fn check_releases(entries: &[Entry], outcomes: &mut Outcomes) {
    let mut latest_numbers: HashMap<(usize, u64), u64> = HashMap::new();
    for entry in entries {
        if let Event::Release {
            vm,
            incarnation,
            number,
        } = entry.event
        {
            let previous = latest_numbers
                .insert((vm, incarnation), number)
                .unwrap_or(0);
            let violation =
                (number < previous).then(|| format!("VM {vm} went from {previous} to {number}"));
            record_check(outcomes, Guarantee::MonotonicRelease, violation);
        }
    }
}
