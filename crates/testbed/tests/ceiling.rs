//! Simulation of ideal request placement.

use ragwortbeam_testbed::ceiling::{Class, Scenario, simulate};

fn base_scenario() -> Scenario {
    Scenario {
        seed: 1,
        classes: vec!["200:26:150:1000:1:0.5:1:0".parse().unwrap()],
        endpoints: 14,
        slots: 2,
        length_s: 40.0,
        swing: 0.5,
        period_s: 15.0,
        outage_at_s: 0.0,
        outage_s: 0.0,
    }
}

#[test]
fn a_light_load_loses_credit_only_to_long_service_times() {
    let outcome = simulate(&base_scenario());
    let mean = outcome.requests as f64 / 40.0;
    assert!((190.0..210.0).contains(&mean), "{outcome:?}");
    assert_eq!(outcome.failed, 0);
    assert!((0.97..1.0).contains(&outcome.credit), "{outcome:?}");
    assert!((20.0..40.0).contains(&outcome.p50_ms), "{outcome:?}");
}

#[test]
fn overload_makes_responses_late() {
    let outcome = simulate(&Scenario {
        endpoints: 2,
        ..base_scenario()
    });
    assert!(outcome.credit < 0.5, "{outcome:?}");
}

#[test]
fn an_outage_longer_than_the_deadline_fails_requests_sent_at_its_start() {
    let with_outage = |deadline_ms| {
        let mut scenario = base_scenario();
        scenario.classes[0].deadline_ms = deadline_ms;
        (scenario.outage_at_s, scenario.outage_s) = (20.0, 1.2);
        simulate(&scenario)
    };
    // No packet of a request sent in the first 0.6 s of the outage reaches a VM within
    // 1.0 s.
    let short = with_outage(1000.0);
    assert!((60..180).contains(&short.failed), "{short:?}");
    assert_eq!(with_outage(4000.0).failed, 0);
    assert!(short.worst_windows_credit < 0.8, "{short:?}");
}

#[test]
fn requests_of_persistent_flows_wait_for_their_endpoint() {
    let mut scenario = base_scenario();
    scenario.classes[0].rate_per_s = 600.0;
    let independent = simulate(&scenario);
    scenario.classes[0].flows = 300;
    let persistent = simulate(&scenario);
    assert!(
        persistent.credit < independent.credit - 0.005,
        "{persistent:?} {independent:?}"
    );
}

#[test]
fn a_class_is_parsed_from_eight_numbers() {
    assert!("1:2:3:4:5:6:7".parse::<Class>().is_err());
    assert!("1:2:3:4:5:6:7:x".parse::<Class>().is_err());
    assert_eq!("1:2:3:4:5:6:7:8".parse::<Class>().unwrap().flows, 8);
}
