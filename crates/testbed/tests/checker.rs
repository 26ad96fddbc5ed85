//! The checker reports each violated guarantee, and nothing for a history without violations.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use ragwortbeam::verdict::Verdict;
use ragwortbeam_testbed::checker::{Guarantee, check};
use ragwortbeam_testbed::history::{Entry, Event, OperationId, RequestKind};

const FRESHNESS: Duration = Duration::from_secs(8);

struct Case {
    violated: Guarantee,
    /// Events that are added to a valid history, with their times in milliseconds.
    events: Vec<(u64, Event)>,
}

fn entries(events: Vec<(u64, Event)>) -> Vec<Entry> {
    let start = Instant::now();
    let entries = events.into_iter().map(|(at_ms, event)| Entry {
        at: start + Duration::from_millis(at_ms),
        event,
    });
    entries.collect()
}

fn server_address() -> SocketAddr {
    "127.0.0.1:4000".parse().unwrap()
}

fn invoked(id: u64, kind: RequestKind) -> Event {
    Event::Invoked {
        id: OperationId(id),
        kind,
        service: "ledger",
    }
}

fn executed(id: u64, kind: RequestKind) -> Event {
    Event::Executed {
        id: OperationId(id),
        kind,
        service: "ledger",
        requested_service: "ledger".to_owned(),
        endpoint: server_address(),
    }
}

fn answered(id: u64, verdict: Verdict) -> Event {
    Event::Answered {
        id: OperationId(id),
        verdict,
        is_correct: true,
    }
}

fn notified(id: u64, value: u64) -> Event {
    Event::Notified {
        id: OperationId(id),
        value,
    }
}

fn echoed(id: u64, server_port: u16, is_own_payload: bool) -> Event {
    Event::Echoed {
        id: OperationId(id),
        server_port,
        is_own_payload,
    }
}

fn release(incarnation: u64, number: u64) -> Event {
    Event::Release {
        vm: 1,
        incarnation,
        number,
    }
}

/// Returns events without a violation that check every guarantee at least once.
fn valid_events() -> Vec<(u64, Event)> {
    vec![
        (0, invoked(1, RequestKind::Post)),
        (1, executed(1, RequestKind::Post)),
        (2, answered(1, Verdict::Ran)),
        (3, invoked(2, RequestKind::Post)),
        (4, answered(2, Verdict::NotRun)),
        (5, invoked(3, RequestKind::Post)),
        (6, answered(3, Verdict::MayHaveRun)),
        (7, invoked(4, RequestKind::Feed)),
        (8, notified(4, 1)),
        (9, echoed(5, 4000, true)),
        (9, echoed(6, 4001, true)),
        (9, release(1, 5)),
        (10, release(1, 6)),
        (11, release(2, 5)),
        (7000, notified(4, 2)),
        (
            7001,
            Event::Drained {
                endpoint: server_address(),
            },
        ),
        (9000, executed(9, RequestKind::Fetch)),
        (14_000, Event::Closing),
    ]
}

#[test]
fn a_valid_history_has_no_violations() {
    let outcomes = check(&entries(valid_events()), FRESHNESS);
    for (guarantee, outcome) in outcomes {
        assert!(
            outcome.violations.is_empty(),
            "{guarantee}: {:?}",
            outcome.violations
        );
        assert!(outcome.checks > 0, "{guarantee}");
    }
}

#[test]
fn a_feed_that_does_not_open_within_the_limit_is_a_violation() {
    let events = vec![(0, invoked(1, RequestKind::Feed)), (45_001, Event::Closing)];
    let outcomes = check(&entries(events), FRESHNESS);
    assert_eq!(outcomes[&Guarantee::FeedOpening].violations.len(), 1);
    let events = vec![(0, invoked(1, RequestKind::Feed)), (44_999, Event::Closing)];
    let outcomes = check(&entries(events), FRESHNESS);
    assert!(outcomes[&Guarantee::FeedOpening].violations.is_empty());
}

#[test]
fn each_violation_is_reported_for_its_guarantee_only() {
    let wrong_service = Event::Executed {
        id: OperationId(8),
        kind: RequestKind::Fetch,
        service: "ledger",
        requested_service: "certificates".to_owned(),
        endpoint: "127.0.0.1:4001".parse().unwrap(),
    };
    let incomplete = Event::Answered {
        id: OperationId(1),
        verdict: Verdict::Ran,
        is_correct: false,
    };
    let cases = [
        Case {
            violated: Guarantee::AtMostOnce,
            events: vec![(1, executed(1, RequestKind::Post))],
        },
        Case {
            violated: Guarantee::NoFalseNotRun,
            events: vec![(20, executed(2, RequestKind::Post))],
        },
        Case {
            violated: Guarantee::NoFalseRan,
            events: vec![(20, answered(3, Verdict::Ran))],
        },
        Case {
            violated: Guarantee::RightService,
            events: vec![(20, wrong_service)],
        },
        Case {
            violated: Guarantee::OwnCompleteResponse,
            events: vec![(20, incomplete)],
        },
        Case {
            violated: Guarantee::DatagramAffinity,
            events: vec![(20, echoed(5, 4001, true))],
        },
        Case {
            violated: Guarantee::DatagramAffinity,
            events: vec![(20, echoed(5, 4000, false))],
        },
        Case {
            violated: Guarantee::FeedContinuity,
            events: vec![(20, notified(5, 1))],
        },
        Case {
            violated: Guarantee::NoWorkAfterDrain,
            events: vec![(10_100, executed(10, RequestKind::Fetch))],
        },
        Case {
            violated: Guarantee::MonotonicRelease,
            events: vec![(20, release(1, 4))],
        },
    ];
    for case in cases {
        let mut events = valid_events();
        events.extend(case.events);
        events.sort_by_key(|(at_ms, _)| *at_ms);
        let outcomes = check(&entries(events), FRESHNESS);
        for (guarantee, outcome) in outcomes {
            assert_eq!(
                !outcome.violations.is_empty(),
                guarantee == case.violated,
                "{guarantee} in the case that violates {}",
                case.violated
            );
        }
    }
}
