//! Validation of release notes against the previous state, and the log of applied releases.

use expect_test::{Expect, expect};
use ragwortbeam::document::{Note, Snapshot};
use ragwortbeam::release::{ReleaseLog, State};
use serde_json::{Value, json};

struct Case {
    note: Value,
    error: Expect,
}

fn endpoint(address: &str) -> Value {
    json!({"address": address, "data_centre": "nairobi-1", "slots": 3})
}

fn snapshot() -> Snapshot {
    serde_json::from_value(json!({
        "number": 4,
        "services": [{
            "name": "ledger",
            "kind": "requests",
            "address": "10.1.0.1:5683",
            "data_centres": ["nairobi-1", "nairobi-2"],
            "endpoints": [endpoint("10.2.0.1:5683"), endpoint("10.2.0.2:5683")],
        }],
    }))
    .unwrap()
}

fn added(field: &str, value: Value) -> Value {
    let mut service = json!({
        "name": "certificates",
        "kind": "requests",
        "address": "10.1.0.2:5683",
        "data_centres": ["nairobi-1"],
        "endpoints": [endpoint("10.2.0.3:5683")],
    });
    service[field] = value;
    json!({"number": 5, "added": [service]})
}

fn changed(field: &str, value: Value) -> Value {
    let mut change = json!({"service": "ledger"});
    change[field] = value;
    json!({"number": 5, "changed": [change]})
}

#[test]
fn validation_errors_name_the_field_the_expected_and_the_found_value() {
    let cases = [
        Case {
            note: json!({"number": 6}),
            error: expect!["release 6: number: expected 5, found 6"],
        },
        Case {
            note: json!({"number": 5, "withdrawn": ["diagrams"]}),
            error: expect![
                "release 5: withdrawn[0]: expected the name of a service, found diagrams"
            ],
        },
        Case {
            note: added("name", json!("")),
            error: expect!["release 5: added[0].name: expected a name, found nothing"],
        },
        Case {
            note: added("name", json!("ledger")),
            error: expect![
                "release 5: added[0].name: expected a name that no service has, found ledger"
            ],
        },
        Case {
            note: added("kind", json!("tcp")),
            error: expect![[
                r#"release 5: added[0].kind: expected "requests" or "datagrams", found tcp"#
            ]],
        },
        Case {
            note: added("address", json!("10.1.0.1:5683")),
            error: expect![
                "release 5: added[0].address: expected an address that no service has, found 10.1.0.1:5683"
            ],
        },
        Case {
            note: added("data_centres", json!([])),
            error: expect![
                "release 5: added[0].data_centres: expected at least one data centre, found nothing"
            ],
        },
        Case {
            note: changed("added", json!([endpoint("10.2.0.1:5683")])),
            error: expect![
                "release 5: changed[0].added[0].address: expected an address that no endpoint of the service has, found 10.2.0.1:5683"
            ],
        },
        Case {
            note: changed(
                "added",
                json!([{"address": "10.2.0.9:1", "data_centre": "nairobi-1", "slots": 0}]),
            ),
            error: expect!["release 5: changed[0].added[0].slots: expected 1..=100000, found 0"],
        },
        Case {
            note: changed(
                "added",
                json!([{"address": "10.2.0.9:1", "data_centre": "mombasa", "slots": 2}]),
            ),
            error: expect![
                "release 5: changed[0].added[0].data_centre: expected a data centre that serves the service, found mombasa"
            ],
        },
        Case {
            note: changed("draining", json!(["10.2.0.7:5683"])),
            error: expect![
                "release 5: changed[0].draining[0]: expected the address of an endpoint, found 10.2.0.7:5683"
            ],
        },
        Case {
            note: changed("withdrawn", json!(["10.2.0.1"])),
            error: expect!["release 5: changed[0].withdrawn[0]: expected IP:port, found 10.2.0.1"],
        },
        Case {
            note: changed("service", json!("diagrams")),
            error: expect![
                "release 5: changed[0].service: expected the name of a service, found diagrams"
            ],
        },
    ];
    let state = State::from_snapshot(&snapshot()).unwrap();
    for case in cases {
        let note: Note = serde_json::from_value(case.note).unwrap();
        let error = state.apply(&note).unwrap_err();
        case.error.assert_eq(&error.to_string());
    }
}

#[test]
fn a_rejected_note_changes_only_the_number() {
    let log = ReleaseLog::default();
    assert!(log.install_snapshot(&snapshot()));
    let before = log.state();
    let invalid: Note = serde_json::from_value(json!({"number": 5, "withdrawn": ["no"]})).unwrap();
    let valid: Note = serde_json::from_value(draining_note(6, json!(["10.2.0.1:5683"]))).unwrap();
    assert!(log.apply_notes(&[invalid]));
    assert_eq!(log.number(), 5);
    assert!(log.state().services().eq(before.services()));
    assert_eq!(log.rejections().len(), 1);
    assert!(log.apply_notes(&[valid]));
    assert_eq!(log.number(), 6);
}

fn draining_note(number: u64, draining: Value) -> Value {
    json!({"number": number, "changed": [{"service": "ledger", "draining": draining}]})
}

#[test]
fn the_number_in_force_never_decreases() {
    let log = ReleaseLog::default();
    log.install_snapshot(&snapshot());
    let mut older = snapshot();
    older.number = 3;
    assert!(!log.install_snapshot(&older));
    assert!(!log.install_snapshot(&snapshot()));
    let note_after_gap: Note = serde_json::from_value(json!({"number": 9})).unwrap();
    assert!(!log.apply_notes(&[note_after_gap]));
    assert_eq!(log.number(), 4);
}

#[test]
fn a_vm_gets_the_notes_that_it_lacks_or_a_snapshot_if_they_are_not_retained() {
    let log = ReleaseLog::default();
    log.install_snapshot(&snapshot());
    let note: Note = serde_json::from_value(json!({"number": 5})).unwrap();
    log.apply_notes(&[note]);
    assert!(log.changes_since(5).is_none());
    assert_eq!(log.changes_since(4).unwrap().notes.len(), 1);
    let with_snapshot = log.changes_since(2).unwrap();
    assert!(with_snapshot.notes.is_empty());

    let receiver = ReleaseLog::default();
    assert!(receiver.apply_answer(&with_snapshot));
    assert_eq!(receiver.state(), log.state());
}
