//! Validation of settings files: defaults, and errors with the field, the expected and the found
//! value.

use expect_test::{Expect, expect};
use ragwortbeam::settings;
use serde_json::{Value, json};

struct Case {
    field: &'static str,
    value: Value,
    error: Expect,
}

fn valid() -> Value {
    json!({
        "vm": "vm-1",
        "data_centre": "nairobi-1",
        "peer_address": "10.0.0.1:7400",
        "admin_address": "10.0.0.1:7401",
        "key_file": "key",
        "platform_url": "http://10.0.0.9:8080",
        "limits": {},
    })
}

/// Returns the valid document with one field, given by its dotted path, set to `value`.
fn valid_with(field: &str, value: Value) -> Value {
    let mut document = valid();
    let pointer = format!("/{}", field.replace('.', "/"));
    let (parent, name) = pointer.rsplit_once('/').expect("a pointer has a slash");
    let parent = document
        .pointer_mut(parent)
        .expect("the parent object exists");
    parent[name] = value;
    document
}

#[test]
fn validation_errors_name_the_field_the_expected_and_the_found_value() {
    let cases = [
        Case {
            field: "vm",
            value: json!(""),
            error: expect!["settings.json: vm: expected a name, found nothing"],
        },
        Case {
            field: "vm",
            value: json!(7),
            error: expect![
                "settings.json: vm: expected a document as docs/OPERATIONS.md describes, found invalid type: integer `7`, expected a string at line 1 column 163"
            ],
        },
        Case {
            field: "peer_address",
            value: json!("10.0.0.1"),
            error: expect!["settings.json: peer_address: expected IP:port, found 10.0.0.1"],
        },
        Case {
            field: "peer_address",
            value: json!("10.0.0.1:0"),
            error: expect!["settings.json: peer_address: expected a port in 1..=65535, found 0"],
        },
        Case {
            field: "peer_address",
            value: json!("0.0.0.0:7400"),
            error: expect![
                "settings.json: peer_address: expected the address of one interface, found 0.0.0.0"
            ],
        },
        Case {
            field: "admin_address",
            value: json!("10.0.0.1:7400"),
            error: expect![
                "settings.json: admin_address: expected an address other than peer_address, found 10.0.0.1:7400"
            ],
        },
        Case {
            field: "entry_ip",
            value: json!("localhost"),
            error: expect!["settings.json: entry_ip: expected an IP address, found localhost"],
        },
        Case {
            field: "platform_url",
            value: json!("https://platform"),
            error: expect![
                "settings.json: platform_url: expected an http:// URL, found https://platform"
            ],
        },
        Case {
            field: "limits.request_deadline_ms",
            value: json!(60_000),
            error: expect![
                "settings.json: limits.request_deadline_ms: expected 100..=40000, found 60000"
            ],
        },
        Case {
            field: "limits.request_deadline_ms",
            value: json!("15s"),
            error: expect![
                "settings.json: limits.request_deadline_ms: expected a document as docs/OPERATIONS.md describes, found invalid type: string \"15s\", expected u32 at line 1 column 113"
            ],
        },
        Case {
            field: "limits.stop_timeout_ms",
            value: json!(200),
            error: expect![
                "settings.json: limits.stop_timeout_ms: expected at least request_deadline_ms, so that a stop cuts off no request, found 200"
            ],
        },
        Case {
            field: "limits.retry_percent",
            value: json!(101),
            error: expect!["settings.json: limits.retry_percent: expected 0..=100, found 101"],
        },
        Case {
            field: "limits.max_flow",
            value: json!(1),
            error: expect![
                "settings.json: limits.max_flow: expected a document as docs/OPERATIONS.md describes, found unknown field `max_flow`, expected one of `max_flows`, `queue_per_service`, `request_deadline_ms`, `stop_timeout_ms`, `flow_idle_ms`, `retry_percent`, `endpoint_choice` at line 1 column 96"
            ],
        },
        Case {
            field: "seeds",
            value: json!({"addresses": ["10.0.0.2:7400", "vm-3"]}),
            error: expect!["settings.json: seeds.addresses[1]: expected IP:port, found vm-3"],
        },
        Case {
            field: "limits.endpoint_choice",
            value: json!("best"),
            error: expect![
                "settings.json: limits.endpoint_choice: expected \"least_of_two\", \"round_robin\" or \"random\", found best"
            ],
        },
    ];
    for case in cases {
        let text = valid_with(case.field, case.value).to_string();
        let error = settings::parse("settings.json", &text).expect_err(case.field);
        case.error.assert_eq(&error.to_string());
    }
}

#[test]
fn an_error_names_a_missing_field() {
    let mut document = valid();
    document.as_object_mut().unwrap().remove("key_file");
    let error = settings::parse("settings.json", &document.to_string()).unwrap_err();
    assert!(error.found.contains("missing field `key_file`"), "{error}");
}

#[test]
fn omitted_limits_have_their_defaults() {
    let settings = settings::parse("settings.json", &valid().to_string()).unwrap();
    assert_eq!(settings.limits, settings::Limits::default());
}

#[test]
fn the_documented_examples_are_valid() {
    let examples = [
        include_str!("../../../docs/examples/kenya.json"),
        include_str!("../../../docs/examples/cascadia.json"),
    ];
    for example in examples {
        settings::parse("example", example).unwrap();
    }
}
