//! The soak: each check can fail, and a short seeded run keeps all promises.

use std::net::SocketAddrV4;
use std::process::Command;
use std::thread::sleep;
use std::time::Duration;

use ragwortbeam_testbed::soak::{Promises, Routes};

fn route(service: &str) -> Routes {
    Routes::from([(destination(), service.to_owned())])
}

fn destination() -> SocketAddrV4 {
    "198.18.0.1:8080".parse().unwrap()
}

#[test]
fn each_check_can_fail() {
    struct Case {
        name: &'static str,
        violate: fn(&Promises),
        /// Part of what the broken promise says.
        says: &'static str,
    }
    let cases = [
        Case {
            name: "another service",
            violate: |promises| promises.check_opening(destination(), "vault", 1),
            says: "which it never led to",
        },
        Case {
            name: "two runs",
            violate: |promises| {
                promises.check_runs_once(7);
                promises.check_runs_once(7);
            },
            says: "ran twice",
        },
        Case {
            name: "no service",
            violate: |promises| {
                promises.note_try(false);
                promises.check_service_is_back();
            },
            says: "0 of 1 tries",
        },
        Case {
            name: "a refusal without need",
            violate: |promises| promises.check_refusal(destination(), true),
            says: "but its endpoints live",
        },
        Case {
            name: "a flow after leaving",
            violate: |promises| {
                promises.note_left(1);
                sleep(Duration::from_millis(3600));
                promises.check_opening(destination(), "ledger", 1);
            },
            says: "after it left",
        },
        Case {
            name: "an outdated configuration",
            violate: |promises| {
                promises.note_configuration(route("vault"));
                sleep(Duration::from_millis(3600));
                promises.check_opening(destination(), "ledger", 1);
            },
            says: "by an outdated configuration",
        },
    ];
    for case in cases {
        let promises = Promises::default();
        promises.note_configuration(route("ledger"));
        promises.check_opening(destination(), "ledger", 1);
        promises.note_try(true);
        promises.note_try(true);
        assert!(promises.broken().is_empty(), "{}", case.name);
        let promises = Promises::default();
        promises.note_configuration(route("ledger"));
        (case.violate)(&promises);
        let broken = promises.broken().join("; ");
        assert!(broken.contains(case.says), "{}: {broken}", case.name);
    }
}

#[test]
fn a_fault_suspends_bounds_on_time_only() {
    let promises = Promises::default();
    promises.note_configuration(route("ledger"));
    promises.note_left(1);
    promises.note_configuration(route("vault"));
    sleep(Duration::from_millis(3600));
    promises.note_fault();
    promises.check_opening(destination(), "ledger", 1);
    assert!(promises.broken().is_empty());
    promises.check_opening(destination(), "docs", 1);
    assert_eq!(promises.broken().len(), 1);
}

/// Plays a seed with so many bursts of faults.
fn play(seed: &str, bursts: &str) {
    let output = Command::new(env!("CARGO_BIN_EXE_ragwortbeam-testbed"))
        .args(["soak", "--seed", seed, "--bursts", bursts])
        .output()
        .unwrap();
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{text}");
}

#[test]
fn a_short_seeded_run_keeps_all_promises() {
    play("1", "1");
}

/// All entries lapsed for a second after a short outage of the store, and every opening
/// packet was refused although all endpoints lived.
#[test]
fn seed_302_lapsed_entries() {
    play("302", "2");
}
