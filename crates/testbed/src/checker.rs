//! Decides from a history whether each guarantee was kept.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use ragwortbeam::verdict::Verdict;

use crate::history::{Entry, Event, Id, RequestKind};

/// Time within which new work to a leaving backend server has to stop.
pub const DRAIN_BOUND: Duration = Duration::from_secs(3);

/// Time within which a feed opens: MAX_TRANSMIT_SPAN of RFC 7252, section 4.8.2. The
/// fabric may lose a registration several times.
pub const OPENING_BOUND: Duration = Duration::from_secs(45);

/// A guarantee of the brief.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Guarantee {
    /// A non-idempotent request runs at most once.
    AtMostOnce,
    /// A request that a caller is told was not run was not run.
    NoFalseNotRun,
    /// A request answered as run was run.
    NoFalseRan,
    /// No request reaches another service's backend server.
    RightService,
    /// Each caller gets the whole answer to its own request.
    OwnCompleteResponse,
    /// A datagram flow stays with one backend server and gets its own answers.
    DatagramAffinity,
    /// A feed opens while its caller retransmits the registration.
    FeedOpening,
    /// No feed has a gap longer than its freshness allows.
    FeedContinuity,
    /// A leaving backend server gets no new work after the bound.
    NoWorkAfterDrain,
    /// A VM's release number never goes back.
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

/// Outcome for one guarantee.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct Outcome {
    /// Events that the guarantee was checked on.
    pub checks: u64,
    /// Descriptions of violations.
    pub violations: Vec<String>,
}

/// Outcomes by guarantee.
pub type Outcomes = BTreeMap<Guarantee, Outcome>;

/// Checks a history; `freshness` is the longest gap a feed may have.
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

/// Adds the outcomes of one run to those of others.
pub fn merge(total: &mut Outcomes, run: Outcomes) {
    for (guarantee, outcome) in run {
        let sum = total.entry(guarantee).or_default();
        sum.checks += outcome.checks;
        sum.violations.extend(outcome.violations);
    }
}

fn note(outcomes: &mut Outcomes, guarantee: Guarantee, violation: Option<String>) {
    let outcome = outcomes.entry(guarantee).or_default();
    outcome.checks += 1;
    outcome.violations.extend(violation);
}

fn check_requests(entries: &[Entry], outcomes: &mut Outcomes) {
    let mut executions: HashMap<Id, u64> = HashMap::new();
    let mut posts = HashSet::new();
    for entry in entries {
        match &entry.event {
            Event::Executed { id, .. } => *executions.entry(*id).or_default() += 1,
            Event::Invoked {
                id,
                kind: RequestKind::Post,
                ..
            } => {
                posts.insert(*id);
            }
            _ => {}
        }
    }
    for id in &posts {
        let count = executions.get(id).copied().unwrap_or(0);
        let violation = (count > 1).then(|| format!("{id:?} ran {count} times"));
        note(outcomes, Guarantee::AtMostOnce, violation);
    }
    for entry in entries {
        let Event::Answered {
            id,
            verdict,
            is_whole,
        } = &entry.event
        else {
            continue;
        };
        let count = executions.get(id).copied().unwrap_or(0);
        let violation = (!is_whole).then(|| format!("{id:?} got a wrong or partial answer"));
        note(outcomes, Guarantee::OwnCompleteResponse, violation);
        match verdict {
            Verdict::NotRun => {
                let violation = (count > 0).then(|| format!("{id:?} was told not run, ran"));
                note(outcomes, Guarantee::NoFalseNotRun, violation);
            }
            Verdict::Ran => {
                let violation = (count == 0).then(|| format!("{id:?} was told ran, did not"));
                note(outcomes, Guarantee::NoFalseRan, violation);
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
            meant_for,
            ..
        } = &entry.event
        {
            let is_wrong = meant_for != service;
            let violation = is_wrong.then(|| format!("{id:?} for {meant_for} ran at {service}"));
            note(outcomes, Guarantee::RightService, violation);
        }
    }
}

fn check_datagrams(entries: &[Entry], outcomes: &mut Outcomes) {
    let mut servers: HashMap<Id, u16> = HashMap::new();
    for entry in entries {
        let Event::Echoed { id, server, is_own } = entry.event else {
            continue;
        };
        let first = *servers.entry(id).or_insert(server);
        let violation = if !is_own {
            Some(format!("{id:?} got another flow's datagram"))
        } else if first != server {
            Some(format!("{id:?} moved from server {first} to {server}"))
        } else {
            None
        };
        note(outcomes, Guarantee::DatagramAffinity, violation);
    }
}

fn check_feeds(entries: &[Entry], freshness: Duration, outcomes: &mut Outcomes) {
    let end = entries
        .iter()
        .find(|entry| entry.event == Event::Closing)
        .or(entries.last())
        .map(|entry| entry.at);
    let notified = notification_times(entries);
    for (id, asked_at) in feeds_asked(entries) {
        let first = notified.get(&id).and_then(|times| times.first()).copied();
        let opening = first.or(end).map(|until| until - asked_at);
        let is_late = opening.is_some_and(|opening| opening > OPENING_BOUND);
        let violation = is_late.then(|| format!("{id:?} took {opening:?} to open"));
        note(outcomes, Guarantee::FeedOpening, violation);
    }
    for (id, times) in notified {
        let gap = longest_gap(&times, end);
        let is_broken = gap > freshness;
        let violation = is_broken.then(|| format!("{id:?} was silent for {gap:?}"));
        note(outcomes, Guarantee::FeedContinuity, violation);
    }
}

/// Returns when each feed was first asked for, up to the end of the run.
fn feeds_asked(entries: &[Entry]) -> BTreeMap<Id, Instant> {
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
pub fn notification_times(entries: &[Entry]) -> BTreeMap<Id, Vec<Instant>> {
    let mut feeds: BTreeMap<Id, Vec<Instant>> = BTreeMap::new();
    for entry in entries {
        match entry.event {
            Event::Notified { id, .. } => feeds.entry(id).or_default().push(entry.at),
            Event::Closing => break,
            _ => {}
        }
    }
    feeds
}

/// Returns the longest time between two notifications, or after the last one.
pub fn longest_gap(times: &[Instant], end: Option<Instant>) -> Duration {
    let between = times.windows(2).map(|pair| pair[1] - pair[0]);
    let last = times.last().zip(end);
    let after = last.map(|(last, end)| end.saturating_duration_since(*last));
    between.chain(after).max().unwrap_or_default()
}

fn check_drains(entries: &[Entry], outcomes: &mut Outcomes) {
    let mut drained: HashMap<SocketAddr, Instant> = HashMap::new();
    for entry in entries {
        match &entry.event {
            Event::Drained { endpoint } => {
                drained.insert(*endpoint, entry.at);
            }
            Event::Executed { id, endpoint, .. } => {
                if let Some(since) = drained.get(endpoint) {
                    let late = entry.at - *since;
                    let violation = (late > DRAIN_BOUND)
                        .then(|| format!("{id:?} ran at {endpoint} {late:?} after its drain"));
                    note(outcomes, Guarantee::NoWorkAfterDrain, violation);
                }
            }
            _ => {}
        }
    }
    for _ in drained {
        note(outcomes, Guarantee::NoWorkAfterDrain, None);
    }
}

fn check_releases(entries: &[Entry], outcomes: &mut Outcomes) {
    let mut numbers: HashMap<(usize, u64), u64> = HashMap::new();
    for entry in entries {
        if let Event::Release {
            vm,
            incarnation,
            number,
        } = entry.event
        {
            let before = numbers.insert((vm, incarnation), number).unwrap_or(0);
            let violation =
                (number < before).then(|| format!("VM {vm} went from {before} to {number}"));
            note(outcomes, Guarantee::MonotonicRelease, violation);
        }
    }
}
