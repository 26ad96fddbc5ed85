//! Tests of evacuation: how orders are kept and passed on, and where new flows go meanwhile.

mod common;

use std::net::Ipv4Addr;
use std::time::Duration;

use common::{
    DC_A, DC_B, Vm, at, entry, expect_forwarded, ledger, opening_packet, revision, written,
};
use ragwortbeam_base::clock::Moment;
use ragwortbeam_steering::catalog::{
    Catalog, EvacuationUpdate, Evacuations, Revision, Traffic, Warmup,
};
use ragwortbeam_steering::choice::{PlacementRequest, choose};
use ragwortbeam_steering::load::EndpointLoads;
use ragwortbeam_steering::subset::Subset;

fn ordered(data_centre: &str, number: u64) -> EvacuationUpdate {
    EvacuationUpdate {
        data_centre: data_centre.into(),
        revision: revision(number),
        is_ordered: true,
    }
}

fn ended(data_centre: &str, number: u64) -> EvacuationUpdate {
    EvacuationUpdate {
        is_ordered: false,
        ..ordered(data_centre, number)
    }
}

fn evacuated(catalog: &Catalog) -> Vec<String> {
    let names = catalog.evacuations().ordered().map(|it| it.to_string());
    names.collect()
}

/// Sends all changes after a revision from one catalog to another, as a push or a pull does.
fn pass_on(from: &Catalog, to: &mut Catalog, after: u64, now: Moment) {
    let message = from.changed_after(revision(after), u64::MAX, now);
    let view = from.view(now);
    let complete_to = Revision::new(view.evacuations_era, view.evacuations_revision);
    to.merge_evacuations(&message, complete_to, now);
}

#[test]
fn an_order_that_ended_does_not_return() {
    struct Case {
        name: &'static str,
        /// Batches of changes from the store, each with the revision up to which it is complete.
        batches: Vec<(Vec<EvacuationUpdate>, u64)>,
        expected: &'static [&'static str],
    }
    let cases = [
        Case {
            name: "an order stands until it is removed",
            batches: vec![(vec![ordered(DC_A, 5)], 5), (vec![], 9)],
            expected: &[DC_A],
        },
        Case {
            name: "a removed order ends",
            batches: vec![
                (vec![ordered(DC_A, 5), ordered(DC_B, 6)], 6),
                (vec![ended(DC_A, 9)], 9),
            ],
            expected: &[DC_B],
        },
        Case {
            name: "a removal that is read again after a new order is ignored",
            batches: vec![
                (vec![ordered(DC_A, 5)], 5),
                (vec![ordered(DC_A, 9)], 9),
                (vec![ended(DC_A, 7)], 9),
            ],
            expected: &[DC_A],
        },
        Case {
            name: "an order for an unknown data centre stands beside others",
            batches: vec![(vec![ordered("nowhere", 5), ordered(DC_A, 6)], 6)],
            expected: &[DC_A, "nowhere"],
        },
    ];
    for case in cases {
        let mut catalog = Catalog::default();
        for (updates, number) in case.batches {
            catalog.apply_evacuations(updates, revision(number), at(0));
        }
        assert_eq!(evacuated(&catalog), case.expected, "{}", case.name);
    }
}

#[test]
fn orders_converge_in_any_order_of_messages() {
    // States of the store at revisions 5, 7 and 9, as three VMs read them.
    let mut states: [Catalog; 3] = Default::default();
    states[0].apply_evacuations(vec![ordered(DC_A, 5)], revision(5), at(0));
    states[1].apply_evacuations(vec![ordered(DC_A, 5), ordered(DC_B, 7)], revision(7), at(0));
    states[2].apply_evacuations(vec![ordered(DC_B, 7)], revision(9), at(0));
    let orders = [
        [0, 1, 2],
        [2, 1, 0],
        [1, 2, 0],
        [2, 0, 2],
        [0, 2, 2],
        [1, 0, 2],
    ];
    for order in orders {
        let mut receiver = Catalog::default();
        for sender in order {
            pass_on(&states[sender], &mut receiver, 100, at(0));
        }
        assert_eq!(evacuated(&receiver), [DC_B], "{order:?}");
        assert_eq!(
            receiver.evacuations().complete_to(),
            revision(9),
            "{order:?}"
        );
    }
}

#[test]
fn a_message_of_a_version_without_orders_ends_none() {
    let mut receiver = Catalog::default();
    receiver.apply_evacuations(vec![ordered(DC_A, 5)], revision(5), at(0));
    // Such a version leaves both fields at their default.
    let message = Catalog::default().changed_after(revision(0), u64::MAX, at(0));
    assert!(!receiver.merge_evacuations(&message, Revision::NONE, at(0)));
    assert_eq!(evacuated(&receiver), [DC_A]);
}

#[test]
fn a_full_read_after_lost_history_ends_removed_orders() {
    let mut catalog = Catalog::default();
    catalog.apply_evacuations(vec![ordered(DC_A, 5)], revision(5), at(0));
    let read = Evacuations::new(revision(30), [(DC_B.into(), revision(21))]);
    assert!(catalog.replace_evacuations(read, at(0)));
    assert_eq!(evacuated(&catalog), [DC_B]);
    // A full read that began before and arrives late changes nothing.
    assert!(!catalog.replace_evacuations(
        Evacuations::new(revision(20), [(DC_A.into(), revision(5))]),
        at(0)
    ));
    assert_eq!(evacuated(&catalog), [DC_B]);
}

/// Returns the ids that 200 choices of a VM in `DC_A` yield, in ascending order.
fn chosen_ids(catalog: &Catalog, endpoint_loads: &EndpointLoads, now: Moment) -> Vec<u64> {
    let subset = Subset::select(Ipv4Addr::new(10, 1, 0, 1), DC_A, catalog, now);
    let request = PlacementRequest {
        service: "ledger",
        traffic: Traffic::NonIdempotent,
        data_centre: DC_A,
        avoid: [None, None],
    };
    let mut random = rand::rng();
    let chosen = (0..200).filter_map(|_| {
        choose(&request, &subset, catalog, endpoint_loads, now, &mut random)
            .and_then(|key| catalog.endpoint(key))
            .map(|endpoint| endpoint.id)
    });
    let mut ids: Vec<u64> = chosen.collect();
    ids.sort();
    ids.dedup();
    ids
}

#[test]
fn new_flows_leave_an_evacuated_data_centre_while_others_have_endpoints() {
    struct Case {
        name: &'static str,
        evacuated: &'static [&'static str],
        /// Endpoints that leave opening packets unanswered.
        silent: &'static [u64],
        /// Time of their last answer, ms.
        answered_at: Option<u64>,
        expected: &'static [u64],
    }
    let cases = [
        Case {
            name: "an order for the own data centre moves all flows",
            evacuated: &[DC_A],
            silent: &[],
            answered_at: None,
            expected: &[3, 4],
        },
        Case {
            name: "an order for another data centre leaves the own one in use",
            evacuated: &[DC_B],
            silent: &[],
            answered_at: None,
            expected: &[1, 2],
        },
        Case {
            name: "an order for an unknown data centre has no effect",
            evacuated: &["nowhere"],
            silent: &[],
            answered_at: None,
            expected: &[1, 2],
        },
        Case {
            name: "with all data centres evacuated, callers are served as before",
            evacuated: &[DC_A, DC_B],
            silent: &[],
            answered_at: None,
            expected: &[1, 2],
        },
        Case {
            name: "one silent endpoint elsewhere does not end the order",
            evacuated: &[DC_A],
            silent: &[3],
            answered_at: None,
            expected: &[4],
        },
        Case {
            name: "an evacuated data centre that is cut off serves its callers",
            evacuated: &[DC_A],
            silent: &[3, 4],
            answered_at: None,
            expected: &[1, 2],
        },
        Case {
            name: "a short silence of all others does not end the order (soak seed 9318)",
            evacuated: &[DC_A],
            silent: &[3, 4],
            answered_at: Some(9000),
            expected: &[3, 4],
        },
        Case {
            name: "a longer one does",
            evacuated: &[DC_A],
            silent: &[3, 4],
            answered_at: Some(6000),
            expected: &[1, 2],
        },
    ];
    for case in cases {
        let mut catalog = Catalog::default();
        for (id, data_centre) in [(1, DC_A), (2, DC_A), (3, DC_B), (4, DC_B)] {
            let update = written(id, id, entry("ledger", id as u8, data_centre));
            catalog.apply_update(update, at(0), Duration::ZERO);
        }
        let orders = case.evacuated.iter().map(|name| ordered(name, 10));
        catalog.apply_evacuations(orders.collect(), revision(10), at(0));
        let mut endpoint_loads = EndpointLoads::default();
        for id in case.silent {
            let (key, _) = catalog.endpoints().find(|(_, it)| it.id == *id).unwrap();
            if let Some(answered_at) = case.answered_at {
                endpoint_loads.record_answer(key, at(answered_at));
            }
            for _ in 0..2 {
                endpoint_loads.record_unanswered(key, at(9500), at(9600));
            }
        }
        let ids = chosen_ids(&catalog, &endpoint_loads, at(9700));
        assert_eq!(ids, case.expected, "{}", case.name);
    }
}

/// Guards against flows to an evacuated data centre while endpoints elsewhere warm up within a limit,
/// which only allocators keep (soak seed 9214).
#[test]
fn endpoints_that_warm_up_elsewhere_keep_the_order_in_force() {
    let mut catalog = Catalog::default();
    let mut configuration = common::configuration(5, 1, Vec::new());
    let warmup = Warmup {
        duration: Duration::from_secs(2),
        rate_per_s: 4.0,
    };
    configuration.warmups.insert("ledger".into(), warmup);
    catalog.apply_configuration(configuration);
    for (id, data_centre, warmup_s) in [(1, DC_A, 0), (2, DC_B, 2)] {
        let mut entry = entry("ledger", id as u8, data_centre);
        entry.warmup_left = Duration::from_secs(warmup_s);
        catalog.apply_update(written(id, 1 + id, entry), at(0), Duration::ZERO);
    }
    catalog.apply_evacuations(vec![ordered(DC_A, 10)], revision(10), at(0));
    let loads = EndpointLoads::default();
    assert!(chosen_ids(&catalog, &loads, at(100)).is_empty());
    assert_eq!(chosen_ids(&catalog, &loads, at(2100)), [2]);
}

#[test]
fn a_copy_of_an_opening_packet_leaves_the_data_centre_and_an_open_flow_stays() {
    let vm = Vm::new();
    let (first, _) = vm.open(1, ledger(), at(10));
    assert!([1, 2].contains(&first));
    let (open, token) = vm.open(2, ledger(), at(10));
    let packet = common::data_packet(2, ledger(), token, 101, 1);
    vm.steering.decide(&packet, at(12));
    let order = vec![ordered(DC_A, 21)];
    vm.catalog
        .lock()
        .unwrap()
        .apply_evacuations(order, revision(21), at(15));
    for retransmissions in [0, 1] {
        let packet = opening_packet(1, ledger(), retransmissions);
        let (id, _) = expect_forwarded(vm.steering.decide(&packet, at(20)));
        assert_eq!(id, 3, "copy {retransmissions}");
    }
    let packet = common::data_packet(2, ledger(), token, 151, 1);
    let (id, _) = expect_forwarded(vm.steering.decide(&packet, at(30)));
    assert_eq!(id, open);
}
