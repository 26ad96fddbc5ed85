//! Tests of the steering decisions on packets.

mod common;

use std::time::Duration;

use common::{
    DC_A, Vm, address, at, configuration, data_packet, entry, expect_forwarded, ledger,
    opening_packet, removed, revision, route, vault, written,
};
use ragwortbeam_steering::catalog::{Entry, Revision, Traffic, address_mask, tag};
use ragwortbeam_steering::reset::Reason;
use ragwortbeam_steering::steer::{DiscardReason, Outcome};

#[test]
fn any_vm_steers_an_open_flow_without_flow_state() {
    let (first_vm, second_vm) = (Vm::new(), Vm::new());
    let (endpoint, token) = first_vm.open(1, ledger(), at(0));
    let packet = data_packet(1, ledger(), token, 101, 7);
    assert_eq!(
        expect_forwarded(second_vm.steering.decide(&packet, at(10))).0,
        endpoint
    );
}

#[test]
fn a_packet_without_a_valid_token_for_its_destination_is_discarded() {
    let vm = Vm::new();
    let (_, token) = vm.open(1, ledger(), at(0));
    struct Case {
        name: &'static str,
        token: u32,
        destination: std::net::SocketAddrV4,
        expected: DiscardReason,
    }
    let cases = [
        Case {
            name: "token of another destination",
            token,
            destination: vault(),
            expected: DiscardReason::UnknownToken,
        },
        Case {
            name: "forged token",
            token: 0x1234_5678,
            destination: ledger(),
            expected: DiscardReason::UnknownToken,
        },
        Case {
            name: "no token",
            token: 0,
            destination: ledger(),
            expected: DiscardReason::NoFlow,
        },
    ];
    for case in cases {
        let packet = data_packet(2, case.destination, case.token, 101, 7);
        let outcome = vm.steering.decide(&packet, at(10));
        assert_eq!(outcome, Outcome::Discard(case.expected), "{}", case.name);
    }
}

/// The tag of this endpoint equals the mask of the destination, so the token of its flows is 0, as
/// in a packet of no flow.
#[test]
fn a_flow_whose_token_is_0_is_steered() {
    let vm = Vm::new();
    let endpoint = Entry {
        born_ms: 1_000_988_186_433,
        ..entry("ledger", 77, DC_A)
    };
    vm.apply_update(written(77, 30, endpoint), at(0));
    for other in 1..=3 {
        vm.apply_update(removed(other, 30 + other), at(0));
    }
    assert_eq!(vm.open(1, ledger(), at(10)), (77, 0));
    let outcome = vm
        .steering
        .decide(&data_packet(1, ledger(), 0, 101, 7), at(20));
    assert_eq!(expect_forwarded(outcome).0, 77);
}

#[test]
fn a_new_flow_avoids_draining_and_removed_endpoints() {
    let vm = Vm::new();
    let mut draining = entry("ledger", 1, DC_A);
    draining.is_draining = true;
    vm.apply_update(written(1, 30, draining), at(5));
    vm.apply_update(removed(2, 31), at(5));
    for port in 0..50 {
        assert_eq!(vm.open(port, ledger(), at(10)).0, 3);
    }
    vm.apply_update(removed(3, 32), at(20));
    // A recently removed entry may only have lapsed, so its endpoint is used while the service has
    // no other. The entry of 2 was removed at 5 ms, that of 3 at 20 ms.
    for port in 50..100 {
        assert_ne!(vm.open(port, ledger(), at(30)).0, 1);
        assert_eq!(vm.open(port + 100, ledger(), at(1210)).0, 3);
    }
    let outcome = vm
        .steering
        .decide(&opening_packet(300, ledger(), 0), at(1221));
    assert_eq!(outcome, Outcome::Reset(Reason::NoEndpoint));
}

#[test]
fn an_open_flow_keeps_its_endpoint_when_that_drains_or_the_route_changes() {
    let vm = Vm::new();
    let (endpoint, token) = vm.open(1, ledger(), at(0));
    let mut draining = entry("ledger", endpoint as u8, DC_A);
    draining.is_draining = true;
    vm.apply_update(written(endpoint, 30, draining), at(5));
    let rerouted = configuration(
        6,
        31,
        vec![route(ledger(), Traffic::Idempotent, &[("vault", 1)])],
    );
    vm.catalog.lock().unwrap().apply_configuration(rerouted);
    let packet = data_packet(1, ledger(), token, 101, 7);
    assert_eq!(
        expect_forwarded(vm.steering.decide(&packet, at(10))).0,
        endpoint
    );
    assert_eq!(vm.open(2, ledger(), at(10)).0, 9);
}

#[test]
fn a_flow_without_a_route_is_reset_only_when_the_catalog_is_current() {
    let vm = Vm::new();
    let packet = opening_packet(1, address(77, 443), 0);
    let outcome = vm.steering.decide(&packet, at(100));
    assert_eq!(outcome, Outcome::Reset(Reason::NoRoute));
    let outcome = vm.steering.decide(&packet, at(10_000));
    assert_eq!(outcome, Outcome::Discard(DiscardReason::CatalogOutdated));
    vm.confirm_catalog(at(10_000));
    let outcome = vm.steering.decide(&packet, at(10_001));
    assert_eq!(outcome, Outcome::Reset(Reason::NoRoute));
}

#[test]
fn an_unanswered_opening_packet_goes_to_another_endpoint_when_retransmitted() {
    let vm = Vm::new();
    let (first, _) = vm.open(1, ledger(), at(0));
    // A packet that the network duplicated is not a retransmission.
    let duplicate = vm.steering.decide(&opening_packet(1, ledger(), 0), at(1));
    assert_eq!(expect_forwarded(duplicate).0, first);
    let retransmitted = vm.steering.decide(&opening_packet(1, ledger(), 1), at(200));
    assert_ne!(expect_forwarded(retransmitted).0, first);
}

#[test]
fn a_retransmitted_opening_packet_goes_to_the_same_endpoint_if_it_serves_other_flows() {
    let vm = Vm::new();
    let (first, _) = vm.open(1, ledger(), at(0));
    let mut port = 1;
    // The caller of another flow on the same endpoint continues, so the endpoint has answered.
    let token = loop {
        port += 1;
        let (endpoint, token) = vm.open(port, ledger(), at(1));
        if endpoint == first {
            break token;
        }
    };
    vm.steering
        .decide(&data_packet(port, ledger(), token, 101, 7), at(20));
    let retransmitted = vm.steering.decide(&opening_packet(1, ledger(), 1), at(200));
    assert_eq!(expect_forwarded(retransmitted).0, first);
    // An unanswered retransmission is counted as well.
    vm.steering.count_unanswered(at(300));
    let catalog = vm.catalog.lock().unwrap();
    let (key, _) = catalog.endpoints().find(|(_, it)| it.id == first).unwrap();
    assert_eq!(
        vm.endpoint_loads.lock().unwrap().local_load(key).unanswered,
        1
    );
}

#[test]
fn an_endpoint_that_answers_no_opening_packet_gets_no_new_flows() {
    let vm = Vm::new();
    vm.apply_update(removed(2, 30), at(0));
    // Endpoint 1 refuses flows with resets, which bypass this VM; callers do not retransmit then.
    let mut now = 0;
    let mut to_first = 0;
    for port in 0..40 {
        now += 10;
        let (endpoint, token) = vm.open(port, ledger(), at(now));
        if endpoint == 3 {
            vm.steering
                .decide(&data_packet(port, ledger(), token, 101, 7), at(now));
        } else {
            to_first += 1;
        }
        vm.steering.count_unanswered(at(now + 5));
    }
    assert!(to_first <= 8, "{to_first} flows went to a dead endpoint");
}

#[test]
fn an_open_flow_is_reset_only_after_its_endpoint_is_gone() {
    struct Case {
        name: &'static str,
        /// Time at which the entry is removed, and its hold, milliseconds.
        removal: Option<(u64, u64)>,
        /// Time at which another flow shows that the endpoint is alive, milliseconds.
        alive_at: Option<u64>,
        /// True when the packet retransmits data.
        is_repeated: bool,
        /// Time of the packet, milliseconds.
        now: u64,
        is_reset: bool,
    }
    let gone = Case {
        name: "gone, and data retransmitted",
        removal: Some((100, 0)),
        alive_at: None,
        is_repeated: true,
        now: 3000,
        is_reset: true,
    };
    let cases = [
        Case {
            name: "not removed",
            removal: None,
            is_reset: false,
            ..gone
        },
        Case {
            name: "removed recently",
            removal: Some((1000, 0)),
            is_reset: false,
            ..gone
        },
        Case {
            name: "lapsed during a store outage",
            removal: Some((100, 2200)),
            is_reset: false,
            ..gone
        },
        Case {
            name: "alive",
            alive_at: Some(2500),
            is_reset: false,
            ..gone
        },
        Case {
            name: "new data",
            is_repeated: false,
            is_reset: false,
            ..gone
        },
        gone,
    ];
    for case in cases {
        let vm = Vm::new();
        let (endpoint, token) = vm.open(1, ledger(), at(0));
        let sent = data_packet(1, ledger(), token, 101, 7);
        vm.steering.decide(&sent, at(10));
        if let Some((removed_at, hold_ms)) = case.removal {
            let hold = Duration::from_millis(hold_ms);
            vm.apply_update_with_hold(removed(endpoint, 40), at(removed_at), hold);
        }
        if let Some(alive_at) = case.alive_at {
            // The acknowledgement number of the other flow advances.
            for acknowledged in [7, 8] {
                let packet = data_packet(2, ledger(), token, 101, acknowledged);
                vm.steering.decide(&packet, at(alive_at));
            }
        }
        let next = if case.is_repeated {
            sent
        } else {
            data_packet(1, ledger(), token, 151, 7)
        };
        let outcome = vm.steering.decide(&next, at(case.now));
        let is_reset = outcome == Outcome::Reset(Reason::EndpointGone);
        assert_eq!(is_reset, case.is_reset, "{}: {outcome:?}", case.name);
    }
}

/// Guards against the reset of a flow that a restarted endpoint accepted before its new entry arrived:
/// the flow has the token of the previous start, whose entry is replaced while the endpoint lives.
#[test]
fn a_flow_opened_between_a_restart_and_its_new_entry_is_reset_only_after_the_new_start_is_gone() {
    /// Way in which the entry of the new start reaches this VM.
    enum Source {
        /// An update that this VM reads from the store.
        Store,
        /// The catalog of another VM.
        Neighbour,
        /// A full read of the store, which has the new entry only.
        FullRead,
        /// An update, after which an entry of the previous start is written once more.
        StoreTwice,
    }
    struct Case {
        name: &'static str,
        source: Source,
        /// Time at which the entry of the new start is removed, milliseconds.
        removed_at: Option<u64>,
        /// Time at which another flow shows that the new start is alive, milliseconds.
        alive_at: Option<u64>,
        is_reset: bool,
    }
    let lives = |name, source| Case {
        name,
        source,
        removed_at: None,
        alive_at: None,
        is_reset: false,
    };
    let cases = [
        lives("update from the store", Source::Store),
        lives("merge from a neighbour", Source::Neighbour),
        lives("full read", Source::FullRead),
        lives("late entry of the previous start", Source::StoreTwice),
        Case {
            removed_at: Some(1000),
            is_reset: true,
            ..lives("new start gone", Source::Store)
        },
        Case {
            removed_at: Some(1000),
            alive_at: Some(3000),
            ..lives("new start gone but alive", Source::Store)
        },
        Case {
            removed_at: Some(3500),
            ..lives("new start removed recently", Source::Neighbour)
        },
    ];
    for case in cases {
        let vm = Vm::new();
        for other in [2, 3] {
            vm.apply_update(removed(other, 20 + other), at(0));
        }
        let (endpoint, token) = vm.open(1, ledger(), at(10));
        let sent = data_packet(1, ledger(), token, 101, 7);
        vm.steering.decide(&sent, at(20));
        let restarted = Entry {
            born_ms: 2000,
            ..entry("ledger", 1, DC_A)
        };
        let update = written(endpoint, 40, restarted.clone());
        match case.source {
            Source::Store => vm.apply_update(update, at(600)),
            Source::Neighbour => {
                let neighbour = Vm::new();
                neighbour.apply_update(update, at(600));
                let changes = neighbour.catalog.lock().unwrap().changed_after(
                    revision(20),
                    u64::MAX,
                    at(600),
                );
                vm.catalog
                    .lock()
                    .unwrap()
                    .merge(&changes, Revision::NONE, false, at(600));
            }
            Source::FullRead => {
                vm.apply_update(update, at(600));
                let mut catalog = vm.catalog.lock().unwrap();
                catalog.remove_missing(&[endpoint, 9], revision(40), at(600), Duration::ZERO);
            }
            Source::StoreTwice => {
                vm.apply_update(update, at(600));
                vm.apply_update(written(endpoint, 41, entry("ledger", 1, DC_A)), at(610));
                vm.apply_update(written(endpoint, 42, restarted), at(620));
            }
        }
        if let Some(removed_at) = case.removed_at {
            vm.apply_update(removed(endpoint, 50), at(removed_at));
        }
        if let Some(alive_at) = case.alive_at {
            let new_token = tag(endpoint, 2000) ^ address_mask(ledger());
            for acknowledged in [7, 8] {
                let packet = data_packet(2, ledger(), new_token, 101, acknowledged);
                vm.steering.decide(&packet, at(alive_at));
            }
        }
        let outcome = vm.steering.decide(&sent, at(4000));
        let is_reset = outcome == Outcome::Reset(Reason::EndpointGone);
        assert_eq!(is_reset, case.is_reset, "{}: {outcome:?}", case.name);
        if !case.is_reset {
            assert_eq!(expect_forwarded(outcome).0, endpoint, "{}", case.name);
        }
    }
}

/// Guards against new flows on an endpoint that drains: the entry of its previous start was replaced
/// a moment ago and must not pass for one that has lapsed.
#[test]
fn a_replaced_start_gets_no_new_flows_while_its_endpoint_drains() {
    let vm = Vm::new();
    for other in [2, 3] {
        vm.apply_update(removed(other, 20 + other), at(0));
    }
    let draining = Entry {
        born_ms: 2000,
        is_draining: true,
        ..entry("ledger", 1, DC_A)
    };
    vm.apply_update(written(1, 40, draining), at(5000));
    let outcome = vm
        .steering
        .decide(&opening_packet(1, ledger(), 0), at(5010));
    assert_eq!(outcome, Outcome::Reset(Reason::NoEndpoint));
}

#[test]
fn load_counts_follow_the_state_of_a_flow() {
    let vm = Vm::new();
    let (endpoint, token) = vm.open(1, ledger(), at(0));
    let key = {
        let catalog = vm.catalog.lock().unwrap();
        let (key, _) = catalog
            .endpoints()
            .find(|(_, it)| it.id == endpoint)
            .unwrap();
        key
    };
    let load_counts = |ms| {
        vm.steering.refresh_counts(at(ms));
        let load = vm.endpoint_loads.lock().unwrap().local_load(key);
        (load.open, load.busy)
    };
    assert_eq!(load_counts(1), (1, 1));
    vm.steering
        .decide(&data_packet(1, ledger(), token, 101, 7), at(10));
    assert_eq!(load_counts(20), (1, 1));
    // The caller acknowledges the response.
    let mut answered = data_packet(1, ledger(), token, 151, 2000);
    answered.data_len = 0;
    vm.steering.decide(&answered, at(60));
    assert_eq!(load_counts(70), (1, 0));
    let mut finished = answered;
    finished.flags.finishes = true;
    vm.steering.decide(&finished, at(80));
    assert_eq!(load_counts(90), (0, 0));
}
