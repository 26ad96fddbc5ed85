//! Tests of accepted settings and of the errors for invalid ones.

use std::net::Ipv4Addr;
use std::time::Duration;

use expect_test::{Expect, expect};
use ragwortbeam_steering::settings::parse;

const VALID: &str = r#"{
  "vm": "vm-1", "data_centre": "dc-a",
  "packet_address": "10.1.0.1:8172", "ready_address": "10.1.0.1:8167",
  "peer_address": "10.1.0.1:7720", "metrics_address": "10.1.0.1:9464",
  "platform_address": "10.200.1.7:8169",
  "seeds": ["10.1.0.1:8166", "10.2.0.40:8166"],
  "is_first_start": true,
  "stop_timeout_s": 6, "flow_lifetime_s": 60, "link_mbps": 700.0, "cpu_share": 0.17
}"#;

#[test]
fn valid_settings_are_accepted() {
    let settings = parse("s.json", VALID).unwrap();
    assert_eq!(settings.seeds[1], Ipv4Addr::new(10, 2, 0, 40));
    assert_eq!(settings.stop_timeout, Duration::from_secs(6));
    assert_eq!(settings.weight, 11_900);
    assert_eq!(settings.advertised_ip, Ipv4Addr::new(10, 1, 0, 1));
    assert_eq!(settings.allocation_min_vms, 12);
    assert_eq!(settings.warmup_limit.openings(10.0), 5);
    let text = VALID.replace("\"vm\"", "\"advertised_ip\": \"192.0.2.1\", \"vm\"");
    let settings = parse("s.json", &text).unwrap();
    assert_eq!(settings.advertised_ip, Ipv4Addr::new(192, 0, 2, 1));
}

#[test]
fn an_error_names_the_field_and_the_expected_value() {
    struct Case {
        from: &'static str,
        to: &'static str,
        error: Expect,
    }
    let cases = [
        Case {
            from: "10.1.0.1:8172",
            to: "entry:8172",
            error: expect!["s.json: packet_address: expected IPv4:port, found entry:8172"],
        },
        Case {
            from: "\"vm-1\"",
            to: "\"vm-1\", \"advertised_ip\": \"10.1.0.1:7720\"",
            error: expect!["s.json: advertised_ip: expected IPv4, found 10.1.0.1:7720"],
        },
        Case {
            from: "10.2.0.40:8166",
            to: "10.2.0.40:0",
            error: expect!["s.json: seeds[1]: expected a port in 1..=65535, found 0"],
        },
        Case {
            from: "\"vm-1\"",
            to: "\"vm-1\", \"warmup_overrun\": 0.5",
            error: expect!["s.json: warmup_overrun: expected a number of 1 or more, found 0.5"],
        },
        Case {
            from: "\"vm-1\"",
            to: "\"vm-1\", \"warmup_slack\": -1",
            error: expect!["s.json: warmup_slack: expected a number of 0 or more, found -1"],
        },
        Case {
            from: "\"cpu_share\": 0.17",
            to: "\"cpu_share\": 0",
            error: expect!["s.json: cpu_share: expected a number above 0, found 0"],
        },
        Case {
            from: "\"vm-1\"",
            to: "\" \"",
            error: expect!["s.json: vm: expected a name, found nothing"],
        },
        Case {
            from: "\"stop_timeout_s\": 6",
            to: "\"stop_timeout_s\": 1e300",
            error: expect![
                "s.json: stop_timeout_s: expected a time, found cannot convert float seconds to Duration: value is either too big or NaN"
            ],
        },
        Case {
            from: "\"vm\"",
            to: "\"name\"",
            error: expect![
                "s.json: name: expected a document as docs/OPERATIONS.md describes, found unknown field `name`, expected one of `vm`, `data_centre`, `packet_address`, `ready_address`, `peer_address`, `metrics_address`, `platform_address`, `seeds`, `is_first_start`, `stop_timeout_s`, `flow_lifetime_s`, `link_mbps`, `cpu_share`, `advertised_ip`, `allocation_min_vms`, `warmup_overrun`, `warmup_slack` at line 2 column 8"
            ],
        },
    ];
    for case in cases {
        let text = VALID.replacen(case.from, case.to, 1);
        let error = parse("s.json", &text).unwrap_err();
        case.error.assert_eq(&error.to_string());
    }
}
