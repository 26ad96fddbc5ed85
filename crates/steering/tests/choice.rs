//! Choice of endpoints, and what silence and load mean for it.

mod common;

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use common::{HERE, THERE, at, entry, removed, written};
use ragwortbeam_steering::catalog::{Catalog, EndpointKey, Traffic};
use ragwortbeam_steering::choice::{PlacementRequest, choose};
use ragwortbeam_steering::load::{EndpointLoads, Loads, ReportedLoad};
use ragwortbeam_steering::subset::Subset;

const VM: Ipv4Addr = Ipv4Addr::new(10, 1, 0, 1);

/// Returns a report about one endpoint.
fn report(tag: u32, reported: ReportedLoad) -> Loads {
    Loads::from([(tag, reported)])
}

fn busy(busy: u32) -> ReportedLoad {
    ReportedLoad {
        busy,
        ..ReportedLoad::default()
    }
}

fn catalog(endpoints: &[(u64, &str)]) -> Catalog {
    let mut catalog = Catalog::default();
    for (id, data_centre) in endpoints {
        let item = written(*id, *id, entry("ledger", *id as u8, data_centre));
        catalog.apply_update(item, at(0), Duration::ZERO);
    }
    catalog
}

fn key(catalog: &Catalog, id: u64) -> EndpointKey {
    let (key, _) = catalog.endpoints().find(|(_, it)| it.id == id).unwrap();
    key
}

fn wish(traffic: Traffic) -> PlacementRequest<'static> {
    PlacementRequest {
        service: "ledger",
        traffic,
        data_centre: HERE,
        avoid: [None, None],
    }
}

/// Returns how often each endpoint is chosen in 400 tries that change nothing.
fn shares(
    catalog: &Catalog,
    board: &EndpointLoads,
    wish: &PlacementRequest<'_>,
    now: u64,
) -> HashMap<u64, usize> {
    let mut shares = HashMap::new();
    let mut random = rand::rng();
    let subset = Subset::select(VM, HERE, catalog, at(now));
    for _ in 0..400 {
        let chosen = choose(wish, &subset, catalog, board, at(now), &mut random).unwrap();
        let id = catalog.endpoint(chosen).unwrap().id;
        *shares.entry(id).or_default() += 1;
    }
    shares
}

fn loaded(catalog: &Catalog, loads: &[(u64, u32)]) -> EndpointLoads {
    let mut board = EndpointLoads::default();
    let counts = loads
        .iter()
        .map(|(id, busy)| (key(catalog, *id), (0, *busy)))
        .collect();
    board.set_counts(&counts);
    board
}

#[test]
fn load_and_distance_decide() {
    struct Case {
        name: &'static str,
        traffic: Traffic,
        /// Waiting requests by endpoint; 1 and 2 are here, 3 is there.
        loads: [(u64, u32); 3],
        never: &'static [u64],
    }
    let cases = [
        Case {
            name: "idle endpoints here",
            traffic: Traffic::NonIdempotent,
            loads: [(1, 0), (2, 0), (3, 0)],
            never: &[3],
        },
        Case {
            name: "the less loaded one here",
            traffic: Traffic::Idempotent,
            loads: [(1, 4), (2, 0), (3, 0)],
            never: &[1, 3],
        },
        Case {
            name: "single requests leave full endpoints",
            traffic: Traffic::NonIdempotent,
            loads: [(1, 4), (2, 4), (3, 0)],
            never: &[1, 2],
        },
        Case {
            name: "lasting flows stay longer",
            traffic: Traffic::Idempotent,
            loads: [(1, 4), (2, 4), (3, 0)],
            never: &[3],
        },
        Case {
            name: "large answers stay",
            traffic: Traffic::Bulk,
            loads: [(1, 6), (2, 6), (3, 0)],
            never: &[3],
        },
    ];
    let catalog = catalog(&[(1, HERE), (2, HERE), (3, THERE)]);
    for case in cases {
        let board = loaded(&catalog, &case.loads);
        let shares = shares(&catalog, &board, &wish(case.traffic), 10);
        for id in case.never {
            assert!(!shares.contains_key(id), "{}: {shares:?}", case.name);
        }
    }
}

#[test]
fn vms_with_equal_counts_do_not_all_choose_the_same_endpoint() {
    let ids: Vec<(u64, &str)> = (1..=10).map(|id| (id, HERE)).collect();
    let catalog = catalog(&ids);
    let shares = shares(
        &catalog,
        &EndpointLoads::default(),
        &wish(Traffic::Idempotent),
        10,
    );
    let most = shares.values().max().unwrap();
    assert!(*most < 100, "{shares:?}");
}

#[test]
fn others_counts_matter_while_they_are_fresh() {
    let catalog = catalog(&[(1, HERE), (2, HERE)]);
    let mut board = EndpointLoads::default();
    let tag = catalog.endpoint(key(&catalog, 1)).unwrap().tag;
    board.apply_report(Ipv4Addr::LOCALHOST, 3, report(tag, busy(6)), false, at(0));
    let chosen = shares(&catalog, &board, &wish(Traffic::Idempotent), 100);
    assert!(!chosen.contains_key(&1), "{chosen:?}");
    let chosen = shares(&catalog, &board, &wish(Traffic::Idempotent), 5000);
    assert!(chosen.contains_key(&1), "{chosen:?}");
}

#[test]
fn a_report_of_fewer_vms_replaces_a_recent_one_only_when_that_is_late() {
    let catalog = catalog(&[(1, HERE)]);
    let (_, endpoint) = catalog.endpoints().next().unwrap();
    let load = |count| report(endpoint.tag, busy(count));
    let mut board = EndpointLoads::default();
    board.apply_report(Ipv4Addr::new(10, 0, 0, 1), 9, load(9), false, at(0));
    board.apply_report(Ipv4Addr::new(10, 0, 0, 2), 1, load(1), false, at(100));
    assert_eq!(board.reported_load(endpoint, at(100)).busy, 9);
    board.apply_report(Ipv4Addr::new(10, 0, 0, 2), 1, load(1), false, at(700));
    assert_eq!(board.reported_load(endpoint, at(700)).busy, 1);
}

#[test]
fn a_silent_endpoint_is_left_out_and_tried_again() {
    let catalog = catalog(&[(1, HERE), (2, HERE), (3, HERE)]);
    let mut board = EndpointLoads::default();
    let first = key(&catalog, 1);
    board.record_unanswered(first, at(0), at(60));
    assert!(board.record_unanswered(first, at(10), at(70)));
    let chosen = shares(&catalog, &board, &wish(Traffic::Idempotent), 100);
    assert!(!chosen.contains_key(&1), "{chosen:?}");
    assert!(!board.is_retry_due(first, at(1000)));
    assert!(board.is_retry_due(first, at(1070)));
    board.record_retry(first, at(1070));
    assert!(!board.is_retry_due(first, at(1900)));
    board.record_answer(first, at(2000));
    let chosen = shares(&catalog, &board, &wish(Traffic::Idempotent), 2000);
    assert!(chosen.contains_key(&1), "{chosen:?}");
}

#[test]
fn silence_of_most_endpoints_is_not_taken_as_theirs() {
    let catalog = catalog(&[(1, HERE), (2, HERE), (3, HERE)]);
    let mut board = EndpointLoads::default();
    for id in [1, 2] {
        let key = key(&catalog, id);
        board.record_unanswered(key, at(0), at(60));
        board.record_unanswered(key, at(0), at(60));
    }
    let mut wish = wish(Traffic::Idempotent);
    wish.avoid = [Some(key(&catalog, 3)), None];
    let chosen = shares(&catalog, &board, &wish, 100);
    assert!(
        chosen.contains_key(&1) && chosen.contains_key(&2),
        "{chosen:?}"
    );
}

#[test]
fn others_evidence_counts_unless_someone_sees_the_endpoint_alive() {
    struct Case {
        name: &'static str,
        unanswered: u32,
        is_alive: bool,
        is_silent: bool,
    }
    let cases = [
        Case {
            name: "two packets unanswered elsewhere",
            unanswered: 2,
            is_alive: false,
            is_silent: true,
        },
        Case {
            name: "one may be lost",
            unanswered: 1,
            is_alive: false,
            is_silent: false,
        },
        Case {
            name: "one VM's bad link",
            unanswered: 5,
            is_alive: true,
            is_silent: false,
        },
    ];
    let catalog = catalog(&[(1, HERE), (2, HERE)]);
    let first = key(&catalog, 1);
    let endpoint = catalog.endpoint(first).unwrap();
    for case in cases {
        let mut board = EndpointLoads::default();
        let reported = ReportedLoad {
            unanswered: case.unanswered,
            is_alive: case.is_alive,
            ..ReportedLoad::default()
        };
        let loads = report(endpoint.tag, reported);
        board.apply_report(Ipv4Addr::LOCALHOST, 3, loads, false, at(0));
        let is_silent = board.is_silent(first, endpoint, at(10));
        assert_eq!(is_silent, case.is_silent, "{}", case.name);
    }
}

#[test]
fn reports_add_up_and_keep_any_sign_of_life() {
    let reported = |busy, is_alive| ReportedLoad {
        open: 1,
        busy,
        unanswered: 1,
        is_alive,
    };
    let mut sum = reported(1, false);
    sum.add(reported(2, true));
    assert_eq!((sum.open, sum.busy, sum.unanswered), (2, 3, 2));
    assert!(sum.is_alive);
    sum.subtract(reported(5, true));
    assert_eq!((sum.open, sum.busy, sum.unanswered), (1, 0, 1));
    assert!(sum.is_alive);
}

#[test]
fn a_cold_endpoint_gets_less() {
    let mut catalog = catalog(&[(1, HERE)]);
    let mut cold = entry("ledger", 2, HERE);
    cold.warmup_left = Duration::from_secs(2);
    catalog.apply_update(written(2, 2, cold), at(0), Duration::ZERO);
    let board = EndpointLoads::default();
    let chosen = shares(&catalog, &board, &wish(Traffic::Idempotent), 10);
    assert!(!chosen.contains_key(&2), "{chosen:?}");
    let chosen = shares(&catalog, &board, &wish(Traffic::Idempotent), 2000);
    assert!(chosen.contains_key(&2), "{chosen:?}");
}

#[test]
fn a_partial_report_keeps_what_it_does_not_cover() {
    let catalog = catalog(&[(1, HERE), (2, THERE)]);
    let endpoint = |id| catalog.endpoint(key(&catalog, id)).unwrap();
    let load = |id, count| (endpoint(id).tag, busy(count));
    let hub = Ipv4Addr::LOCALHOST;
    let mut board = EndpointLoads::default();
    board.apply_report(hub, 3, Loads::from([load(1, 5), load(2, 6)]), false, at(0));
    board.apply_report(hub, 3, Loads::from([load(1, 1)]), true, at(50));
    let held = |board: &EndpointLoads, id| board.reported_load(endpoint(id), at(60)).busy;
    assert_eq!((held(&board, 1), held(&board, 2)), (1, 6));
    board.apply_report(hub, 3, Loads::from([load(1, 2)]), false, at(100));
    assert_eq!((held(&board, 1), held(&board, 2)), (2, 0));
}

#[test]
fn a_service_without_entries_uses_those_that_may_have_lapsed() {
    struct Case {
        name: &'static str,
        /// Removed endpoints of three.
        removed: &'static [u64],
        is_draining: bool,
        after_ms: u64,
        chosen: &'static [u64],
    }
    let cases = [
        Case {
            name: "all lapsed",
            removed: &[1, 2, 3],
            is_draining: false,
            after_ms: 1000,
            chosen: &[1, 2, 3],
        },
        Case {
            name: "they do not come back",
            removed: &[1, 2, 3],
            is_draining: false,
            after_ms: 1300,
            chosen: &[],
        },
        Case {
            name: "they were leaving",
            removed: &[1, 2, 3],
            is_draining: true,
            after_ms: 100,
            chosen: &[],
        },
        Case {
            name: "one is left",
            removed: &[1, 2],
            is_draining: false,
            after_ms: 100,
            chosen: &[3],
        },
    ];
    for case in cases {
        let mut catalog = catalog(&[(1, HERE), (2, HERE), (3, HERE)]);
        for id in case.removed {
            let mut entry = entry("ledger", *id as u8, HERE);
            entry.is_draining = case.is_draining;
            catalog.apply_update(written(*id, 10 + id, entry), at(0), Duration::ZERO);
            catalog.apply_update(removed(*id, 20 + id), at(10), Duration::ZERO);
        }
        let now = at(10 + case.after_ms);
        let subset = Subset::select(VM, HERE, &catalog, now);
        let mut chosen = Vec::new();
        for _ in 0..200 {
            let wish = wish(Traffic::Idempotent);
            let board = EndpointLoads::default();
            let key = choose(&wish, &subset, &catalog, &board, now, &mut rand::rng());
            chosen.extend(key.map(|key| catalog.endpoint(key).unwrap().id));
        }
        chosen.sort_unstable();
        chosen.dedup();
        assert_eq!(chosen, case.chosen, "{}", case.name);
    }
}
