//! Tests of the soak test: each check reports its violation, and seeded runs report none.

use std::net::SocketAddrV4;
use std::process::Command;
use std::thread::sleep;
use std::time::Duration;

use ragwortbeam_testbed::soak::{GuaranteeChecker, Routes};

/// Returns a configuration that routes [`destination`] to a service.
fn routes_to(service: &str) -> Routes {
    Routes::from([(destination(), service.to_owned())])
}

fn destination() -> SocketAddrV4 {
    "198.18.0.1:8080".parse().unwrap()
}

#[test]
fn each_check_reports_its_violation() {
    struct Case {
        name: &'static str,
        violate: fn(&GuaranteeChecker),
        /// Part of the message of the violation.
        message_part: &'static str,
    }
    let cases = [
        Case {
            name: "flow routed to another service",
            violate: |checker| checker.check_opening(destination(), "vault", 1),
            message_part: "which no configuration routes it to",
        },
        Case {
            name: "request executed twice",
            violate: |checker| {
                checker.check_executed_once(7);
                checker.check_executed_once(7);
            },
            message_part: "was executed twice",
        },
        Case {
            name: "no flow served",
            violate: |checker| {
                checker.record_flow(false);
                checker.check_service_recovered();
            },
            message_part: "0 of 1 flows",
        },
        Case {
            name: "flow refused although endpoints are available",
            violate: |checker| checker.check_refusal(destination(), true),
            message_part: "although its endpoints are available",
        },
        Case {
            name: "flow to a withdrawn endpoint",
            violate: |checker| {
                checker.record_withdrawal(1);
                sleep(Duration::from_millis(3600));
                checker.check_opening(destination(), "ledger", 1);
            },
            message_part: "after its withdrawal",
        },
        Case {
            name: "flow to an evacuated data centre",
            violate: |checker| {
                checker.record_evacuation("dc-a", true);
                sleep(Duration::from_millis(3600));
                checker.check_evacuation("dc-a", 1, true);
            },
            message_part: "after the order to evacuate dc-a",
        },
        Case {
            name: "too many flows to an endpoint that warms up",
            violate: |checker| checker.check_warmup(1, 5, 4),
            message_part: "in a second of its warm-up",
        },
        Case {
            name: "flow routed by an outdated configuration",
            violate: |checker| {
                checker.record_configuration(routes_to("vault"));
                sleep(Duration::from_millis(3600));
                checker.check_opening(destination(), "ledger", 1);
            },
            message_part: "by an outdated configuration",
        },
    ];
    for case in cases {
        let checker = GuaranteeChecker::default();
        checker.record_configuration(routes_to("ledger"));
        checker.check_opening(destination(), "ledger", 1);
        checker.record_flow(true);
        checker.record_flow(true);
        assert!(checker.violations().is_empty(), "{}", case.name);
        let checker = GuaranteeChecker::default();
        checker.record_configuration(routes_to("ledger"));
        (case.violate)(&checker);
        let violations = checker.violations().join("; ");
        assert!(
            violations.contains(case.message_part),
            "{}: {violations}",
            case.name
        );
    }
}

#[test]
fn a_fault_suspends_only_time_bounds() {
    let checker = GuaranteeChecker::default();
    checker.record_configuration(routes_to("ledger"));
    checker.record_withdrawal(1);
    checker.record_configuration(routes_to("vault"));
    sleep(Duration::from_millis(3600));
    checker.record_fault();
    checker.check_opening(destination(), "ledger", 1);
    assert!(checker.violations().is_empty());
    checker.check_opening(destination(), "docs", 1);
    assert_eq!(checker.violations().len(), 1);
}

/// Runs a seed with a number of bursts and expects no violation.
fn run_seed(seed: &str, bursts: &str, options: &[&str]) {
    let output = Command::new(env!("CARGO_BIN_EXE_ragwortbeam-testbed"))
        .args(["soak", "--seed", seed, "--bursts", bursts])
        .args(options)
        .output()
        .unwrap();
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{text}");
}

#[test]
fn a_short_seeded_run_reports_no_violation() {
    run_seed("1", "1", &[]);
}

#[test]
fn a_short_seeded_run_with_a_restored_store_reports_no_violation() {
    run_seed("1", "1", &["--restore"]);
}

/// Guards against VMs that refuse every opening packet although all endpoints run, because all
/// entries expired for a second after a short outage of the store.
#[test]
fn seed_302_expired_entries() {
    run_seed("302", "2", &[]);
}

/// Guards against refusals after a restoration of the store, because the copy's entries seemed to be
/// those of endpoints that warm up.
#[test]
fn seed_38002_restored_warm_up() {
    run_seed("38002", "2", &["--restore"]);
}
