//! Release notes are validated as a pure function of the state before them.

use expect_test::{Expect, expect};
use ragwortbeam::document::{Note, Snapshot};
use ragwortbeam::release::{Book, State};
use serde_json::{Value, json};

struct Case {
    note: Value,
    fault: Expect,
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
fn faults_name_field_expectation_and_finding() {
    let cases = [
        Case {
            note: json!({"number": 6}),
            fault: expect!["release 6: number: expected 5, found 6"],
        },
        Case {
            note: json!({"number": 5, "withdrawn": ["diagrams"]}),
            fault: expect![
                "release 5: withdrawn[0]: expected the name of a service, found diagrams"
            ],
        },
        Case {
            note: added("name", json!("")),
            fault: expect!["release 5: added[0].name: expected a name, found nothing"],
        },
        Case {
            note: added("name", json!("ledger")),
            fault: expect![
                "release 5: added[0].name: expected a name that no service has, found ledger"
            ],
        },
        Case {
            note: added("kind", json!("tcp")),
            fault: expect![[
                r#"release 5: added[0].kind: expected "requests" or "datagrams", found tcp"#
            ]],
        },
        Case {
            note: added("address", json!("10.1.0.1:5683")),
            fault: expect![
                "release 5: added[0].address: expected an address that no service has, found 10.1.0.1:5683"
            ],
        },
        Case {
            note: added("data_centres", json!([])),
            fault: expect![
                "release 5: added[0].data_centres: expected at least one data centre, found nothing"
            ],
        },
        Case {
            note: changed("added", json!([endpoint("10.2.0.1:5683")])),
            fault: expect![
                "release 5: changed[0].added[0].address: expected an address that no endpoint of the service has, found 10.2.0.1:5683"
            ],
        },
        Case {
            note: changed(
                "added",
                json!([{"address": "10.2.0.9:1", "data_centre": "nairobi-1", "slots": 0}]),
            ),
            fault: expect!["release 5: changed[0].added[0].slots: expected 1..=100000, found 0"],
        },
        Case {
            note: changed(
                "added",
                json!([{"address": "10.2.0.9:1", "data_centre": "mombasa", "slots": 2}]),
            ),
            fault: expect![
                "release 5: changed[0].added[0].data_centre: expected a data centre that serves the service, found mombasa"
            ],
        },
        Case {
            note: changed("draining", json!(["10.2.0.7:5683"])),
            fault: expect![
                "release 5: changed[0].draining[0]: expected the address of an endpoint, found 10.2.0.7:5683"
            ],
        },
        Case {
            note: changed("withdrawn", json!(["10.2.0.1"])),
            fault: expect!["release 5: changed[0].withdrawn[0]: expected IP:port, found 10.2.0.1"],
        },
        Case {
            note: changed("service", json!("diagrams")),
            fault: expect![
                "release 5: changed[0].service: expected the name of a service, found diagrams"
            ],
        },
    ];
    let state = State::from_snapshot(&snapshot()).unwrap();
    for case in cases {
        let note: Note = serde_json::from_value(case.note).unwrap();
        let fault = state.apply(&note).unwrap_err();
        case.fault.assert_eq(&fault.to_string());
    }
}

#[test]
fn a_rejected_note_changes_the_number_alone() {
    let book = Book::default();
    assert!(book.take_snapshot(&snapshot()));
    let before = book.state();
    let bad: Note = serde_json::from_value(json!({"number": 5, "withdrawn": ["no"]})).unwrap();
    let good: Note = serde_json::from_value(changed_number(6, json!(["10.2.0.1:5683"]))).unwrap();
    assert!(book.take_notes(&[bad]));
    assert_eq!(book.number(), 5);
    assert!(book.state().services().eq(before.services()));
    assert_eq!(book.rejections().len(), 1);
    assert!(book.take_notes(&[good]));
    assert_eq!(book.number(), 6);
}

fn changed_number(number: u64, draining: Value) -> Value {
    json!({"number": number, "changed": [{"service": "ledger", "draining": draining}]})
}

#[test]
fn the_number_in_force_never_goes_back() {
    let book = Book::default();
    book.take_snapshot(&snapshot());
    let mut older = snapshot();
    older.number = 3;
    assert!(!book.take_snapshot(&older));
    assert!(!book.take_snapshot(&snapshot()));
    let gap: Note = serde_json::from_value(json!({"number": 9})).unwrap();
    assert!(!book.take_notes(&[gap]));
    assert_eq!(book.number(), 4);
}

#[test]
fn a_vm_that_lags_gets_notes_and_one_far_behind_a_snapshot() {
    let book = Book::default();
    book.take_snapshot(&snapshot());
    let note: Note = serde_json::from_value(json!({"number": 5})).unwrap();
    book.take_notes(&[note]);
    assert!(book.since(5).is_none());
    assert_eq!(book.since(4).unwrap().notes.len(), 1);
    let far = book.since(2).unwrap();
    assert!(far.notes.is_empty());

    let other = Book::default();
    assert!(other.take_answer(&far));
    assert_eq!(other.state(), book.state());
}
