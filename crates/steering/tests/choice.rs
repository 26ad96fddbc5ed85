//! Tests of the choice of endpoints by load, data centre and liveness.

mod common;

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use common::{DC_A, DC_B, at, entry, removed, written};
use ragwortbeam_steering::catalog::{Catalog, EndpointKey, Traffic};
use ragwortbeam_steering::choice::{PlacementRequest, choose};
use ragwortbeam_steering::load::{EndpointLoads, Loads, ReportedLoad};
use ragwortbeam_steering::subset::Subset;

const VM: Ipv4Addr = Ipv4Addr::new(10, 1, 0, 1);

/// Returns the reported loads of a single endpoint.
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
        let update = written(*id, *id, entry("ledger", *id as u8, data_centre));
        catalog.apply_update(update, at(0), Duration::ZERO);
    }
    catalog
}

fn key(catalog: &Catalog, id: u64) -> EndpointKey {
    let (key, _) = catalog.endpoints().find(|(_, it)| it.id == id).unwrap();
    key
}

fn request(traffic: Traffic) -> PlacementRequest<'static> {
    PlacementRequest {
        service: "ledger",
        traffic,
        data_centre: DC_A,
        avoid: [None, None],
    }
}

/// Returns how often each endpoint is chosen in 400 independent choices.
fn shares(
    catalog: &Catalog,
    endpoint_loads: &EndpointLoads,
    request: &PlacementRequest<'_>,
    now: u64,
) -> HashMap<u64, usize> {
    let mut shares = HashMap::new();
    let mut random = rand::rng();
    let subset = Subset::select(VM, DC_A, catalog, at(now));
    for _ in 0..400 {
        let chosen = choose(
            request,
            &subset,
            catalog,
            endpoint_loads,
            at(now),
            &mut random,
        )
        .unwrap();
        let id = catalog.endpoint(chosen).unwrap().id;
        *shares.entry(id).or_default() += 1;
    }
    shares
}

/// Returns loads with a number of outstanding requests for each endpoint id.
fn loaded(catalog: &Catalog, loads: &[(u64, u32)]) -> EndpointLoads {
    let mut endpoint_loads = EndpointLoads::default();
    let counts = loads
        .iter()
        .map(|(id, busy)| (key(catalog, *id), (0, *busy)))
        .collect();
    endpoint_loads.set_counts(&counts);
    endpoint_loads
}

#[test]
fn the_choice_depends_on_load_and_data_centre() {
    struct Case {
        name: &'static str,
        traffic: Traffic,
        /// Endpoints with their outstanding requests; endpoint 3 is in another data centre.
        loads: [(u64, u32); 3],
        /// Endpoints that are never chosen.
        never: &'static [u64],
    }
    let cases = [
        Case {
            name: "idle endpoints in the same data centre are preferred",
            traffic: Traffic::NonIdempotent,
            loads: [(1, 0), (2, 0), (3, 0)],
            never: &[3],
        },
        Case {
            name: "the less loaded endpoint in the same data centre is preferred",
            traffic: Traffic::Idempotent,
            loads: [(1, 4), (2, 0), (3, 0)],
            never: &[1, 3],
        },
        Case {
            name: "single requests leave a fully loaded data centre",
            traffic: Traffic::NonIdempotent,
            loads: [(1, 4), (2, 4), (3, 0)],
            never: &[1, 2],
        },
        Case {
            name: "flows of many requests stay in a fully loaded data centre",
            traffic: Traffic::Idempotent,
            loads: [(1, 4), (2, 4), (3, 0)],
            never: &[3],
        },
        Case {
            name: "large responses stay in a fully loaded data centre",
            traffic: Traffic::Bulk,
            loads: [(1, 6), (2, 6), (3, 0)],
            never: &[3],
        },
    ];
    let catalog = catalog(&[(1, DC_A), (2, DC_A), (3, DC_B)]);
    for case in cases {
        let endpoint_loads = loaded(&catalog, &case.loads);
        let shares = shares(&catalog, &endpoint_loads, &request(case.traffic), 10);
        for id in case.never {
            assert!(!shares.contains_key(id), "{}: {shares:?}", case.name);
        }
    }
}

#[test]
fn vms_with_equal_loads_choose_different_endpoints() {
    let ids: Vec<(u64, &str)> = (1..=10).map(|id| (id, DC_A)).collect();
    let catalog = catalog(&ids);
    let shares = shares(
        &catalog,
        &EndpointLoads::default(),
        &request(Traffic::Idempotent),
        10,
    );
    let most = shares.values().max().unwrap();
    assert!(*most < 100, "{shares:?}");
}

#[test]
fn reported_loads_count_until_they_are_too_old() {
    let catalog = catalog(&[(1, DC_A), (2, DC_A)]);
    let mut endpoint_loads = EndpointLoads::default();
    let tag = catalog.endpoint(key(&catalog, 1)).unwrap().tag;
    endpoint_loads.apply_report(Ipv4Addr::LOCALHOST, 3, report(tag, busy(6)), false, at(0));
    let chosen = shares(
        &catalog,
        &endpoint_loads,
        &request(Traffic::Idempotent),
        100,
    );
    assert!(!chosen.contains_key(&1), "{chosen:?}");
    let chosen = shares(
        &catalog,
        &endpoint_loads,
        &request(Traffic::Idempotent),
        5000,
    );
    assert!(chosen.contains_key(&1), "{chosen:?}");
}

#[test]
fn a_report_of_fewer_vms_replaces_an_outdated_one_only() {
    let catalog = catalog(&[(1, DC_A)]);
    let (_, endpoint) = catalog.endpoints().next().unwrap();
    let load = |count| report(endpoint.tag, busy(count));
    let mut endpoint_loads = EndpointLoads::default();
    endpoint_loads.apply_report(Ipv4Addr::new(10, 0, 0, 1), 9, load(9), false, at(0));
    endpoint_loads.apply_report(Ipv4Addr::new(10, 0, 0, 2), 1, load(1), false, at(100));
    assert_eq!(endpoint_loads.reported_load(endpoint, at(100)).busy, 9);
    endpoint_loads.apply_report(Ipv4Addr::new(10, 0, 0, 2), 1, load(1), false, at(700));
    assert_eq!(endpoint_loads.reported_load(endpoint, at(700)).busy, 1);
}

#[test]
fn a_silent_endpoint_is_excluded_and_retried() {
    let catalog = catalog(&[(1, DC_A), (2, DC_A), (3, DC_A)]);
    let mut endpoint_loads = EndpointLoads::default();
    let first = key(&catalog, 1);
    endpoint_loads.record_unanswered(first, at(0), at(60));
    assert!(endpoint_loads.record_unanswered(first, at(10), at(70)));
    let chosen = shares(
        &catalog,
        &endpoint_loads,
        &request(Traffic::Idempotent),
        100,
    );
    assert!(!chosen.contains_key(&1), "{chosen:?}");
    assert!(!endpoint_loads.is_retry_due(first, at(1000)));
    assert!(endpoint_loads.is_retry_due(first, at(1070)));
    endpoint_loads.record_retry(first, at(1070));
    assert!(!endpoint_loads.is_retry_due(first, at(1900)));
    endpoint_loads.record_answer(first, at(2000));
    let chosen = shares(
        &catalog,
        &endpoint_loads,
        &request(Traffic::Idempotent),
        2000,
    );
    assert!(chosen.contains_key(&1), "{chosen:?}");
}

#[test]
fn silent_endpoints_are_not_excluded_when_most_are_silent() {
    let catalog = catalog(&[(1, DC_A), (2, DC_A), (3, DC_A)]);
    let mut endpoint_loads = EndpointLoads::default();
    for id in [1, 2] {
        let key = key(&catalog, id);
        endpoint_loads.record_unanswered(key, at(0), at(60));
        endpoint_loads.record_unanswered(key, at(0), at(60));
    }
    let mut request = request(Traffic::Idempotent);
    request.avoid = [Some(key(&catalog, 3)), None];
    let chosen = shares(&catalog, &endpoint_loads, &request, 100);
    assert!(
        chosen.contains_key(&1) && chosen.contains_key(&2),
        "{chosen:?}"
    );
}

#[test]
fn reported_unanswered_packets_count_unless_a_vm_got_an_answer() {
    struct Case {
        name: &'static str,
        unanswered: u32,
        is_alive: bool,
        is_silent: bool,
    }
    let cases = [
        Case {
            name: "two unanswered packets on other VMs",
            unanswered: 2,
            is_alive: false,
            is_silent: true,
        },
        Case {
            name: "a single packet may have been lost",
            unanswered: 1,
            is_alive: false,
            is_silent: false,
        },
        Case {
            name: "a faulty link of one VM",
            unanswered: 5,
            is_alive: true,
            is_silent: false,
        },
    ];
    let catalog = catalog(&[(1, DC_A), (2, DC_A)]);
    let first = key(&catalog, 1);
    let endpoint = catalog.endpoint(first).unwrap();
    for case in cases {
        let mut endpoint_loads = EndpointLoads::default();
        let reported = ReportedLoad {
            unanswered: case.unanswered,
            is_alive: case.is_alive,
            ..ReportedLoad::default()
        };
        let loads = report(endpoint.tag, reported);
        endpoint_loads.apply_report(Ipv4Addr::LOCALHOST, 3, loads, false, at(0));
        let is_silent = endpoint_loads.is_silent(first, endpoint, at(10));
        assert_eq!(is_silent, case.is_silent, "{}", case.name);
    }
}

#[test]
fn silence_by_the_report_of_other_vms_is_told_once() {
    let catalog = catalog(&[(1, DC_A), (2, DC_A)]);
    let tag = |id| catalog.endpoint(key(&catalog, id)).unwrap().tag;
    let unanswered = |unanswered| ReportedLoad {
        unanswered,
        ..ReportedLoad::default()
    };
    let hub = Ipv4Addr::new(10, 1, 0, 9);
    let mut endpoint_loads = EndpointLoads::default();
    let mut told = |loads: &[(u64, u32)], now_ms| {
        let loads = loads.iter().map(|it| (tag(it.0), unanswered(it.1)));
        endpoint_loads.apply_report(hub, 3, loads.collect(), false, at(now_ms));
        endpoint_loads.take_silent_by_report(&catalog, at(now_ms))
    };
    assert_eq!(told(&[(1, 2), (2, 1)], 0), [key(&catalog, 1)]);
    assert!(told(&[(1, 3), (2, 1)], 200).is_empty());
    assert!(told(&[(2, 1)], 400).is_empty());
    assert_eq!(told(&[(1, 2)], 600), [key(&catalog, 1)]);
    // This VM's own evidence is told where it is found.
    let second = key(&catalog, 2);
    for _ in 0..2 {
        endpoint_loads.record_unanswered(second, at(700), at(760));
    }
    assert!(
        endpoint_loads
            .take_silent_by_report(&catalog, at(800))
            .is_empty()
    );
}

#[test]
fn adding_and_subtracting_reports_keeps_is_alive() {
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
fn an_idle_endpoint_is_preferred_to_one_that_is_warming_up() {
    let mut catalog = catalog(&[(1, DC_A)]);
    let mut warming_up = entry("ledger", 2, DC_A);
    warming_up.warmup_left = Duration::from_secs(2);
    catalog.apply_update(written(2, 2, warming_up), at(0), Duration::ZERO);
    let endpoint_loads = EndpointLoads::default();
    let chosen = shares(&catalog, &endpoint_loads, &request(Traffic::Idempotent), 10);
    assert!(!chosen.contains_key(&2), "{chosen:?}");
    let chosen = shares(
        &catalog,
        &endpoint_loads,
        &request(Traffic::Idempotent),
        2000,
    );
    assert!(chosen.contains_key(&2), "{chosen:?}");
}

#[test]
fn a_partial_report_keeps_the_loads_that_it_lacks() {
    let catalog = catalog(&[(1, DC_A), (2, DC_B)]);
    let endpoint = |id| catalog.endpoint(key(&catalog, id)).unwrap();
    let load = |id, count| (endpoint(id).tag, busy(count));
    let hub = Ipv4Addr::LOCALHOST;
    let mut endpoint_loads = EndpointLoads::default();
    endpoint_loads.apply_report(hub, 3, Loads::from([load(1, 5), load(2, 6)]), false, at(0));
    endpoint_loads.apply_report(hub, 3, Loads::from([load(1, 1)]), true, at(50));
    let reported = |endpoint_loads: &EndpointLoads, id| {
        endpoint_loads.reported_load(endpoint(id), at(60)).busy
    };
    assert_eq!(
        (reported(&endpoint_loads, 1), reported(&endpoint_loads, 2)),
        (1, 6)
    );
    endpoint_loads.apply_report(hub, 3, Loads::from([load(1, 2)]), false, at(100));
    assert_eq!(
        (reported(&endpoint_loads, 1), reported(&endpoint_loads, 2)),
        (2, 0)
    );
}

#[test]
fn a_service_without_entries_uses_lapsed_ones() {
    struct Case {
        name: &'static str,
        /// Endpoints whose entries are removed, among 1, 2 and 3.
        removed: &'static [u64],
        is_draining: bool,
        after_ms: u64,
        chosen: &'static [u64],
    }
    let cases = [
        Case {
            name: "all entries lapsed",
            removed: &[1, 2, 3],
            is_draining: false,
            after_ms: 1000,
            chosen: &[1, 2, 3],
        },
        Case {
            name: "the entries are not written again",
            removed: &[1, 2, 3],
            is_draining: false,
            after_ms: 1300,
            chosen: &[],
        },
        Case {
            name: "the endpoints were draining",
            removed: &[1, 2, 3],
            is_draining: true,
            after_ms: 100,
            chosen: &[],
        },
        Case {
            name: "one entry remains",
            removed: &[1, 2],
            is_draining: false,
            after_ms: 100,
            chosen: &[3],
        },
    ];
    for case in cases {
        let mut catalog = catalog(&[(1, DC_A), (2, DC_A), (3, DC_A)]);
        for id in case.removed {
            let mut entry = entry("ledger", *id as u8, DC_A);
            entry.is_draining = case.is_draining;
            catalog.apply_update(written(*id, 10 + id, entry), at(0), Duration::ZERO);
            catalog.apply_update(removed(*id, 20 + id), at(10), Duration::ZERO);
        }
        let now = at(10 + case.after_ms);
        let subset = Subset::select(VM, DC_A, &catalog, now);
        let mut chosen = Vec::new();
        for _ in 0..200 {
            let request = request(Traffic::Idempotent);
            let endpoint_loads = EndpointLoads::default();
            let key = choose(
                &request,
                &subset,
                &catalog,
                &endpoint_loads,
                now,
                &mut rand::rng(),
            );
            chosen.extend(key.map(|key| catalog.endpoint(key).unwrap().id));
        }
        chosen.sort_unstable();
        chosen.dedup();
        assert_eq!(chosen, case.chosen, "{}", case.name);
    }
}
