//! The model of the best placement.

use ragwortbeam_testbed::ceiling::{Class, Day, play};

fn day() -> Day {
    Day {
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
fn a_light_day_loses_only_what_runs_longer_than_its_aim() {
    let outcome = play(&day());
    let mean = outcome.asked as f64 / 40.0;
    assert!((190.0..210.0).contains(&mean), "{outcome:?}");
    assert_eq!(outcome.failed, 0);
    assert!((0.97..1.0).contains(&outcome.credit), "{outcome:?}");
    assert!((20.0..40.0).contains(&outcome.p50_ms), "{outcome:?}");
}

#[test]
fn too_much_work_comes_late() {
    let outcome = play(&Day {
        endpoints: 2,
        ..day()
    });
    assert!(outcome.credit < 0.5, "{outcome:?}");
}

#[test]
fn an_outage_longer_than_a_deadline_fails_what_was_asked_in_its_first_part() {
    let with_outage = |deadline_ms| {
        let mut day = day();
        day.classes[0].deadline_ms = deadline_ms;
        (day.outage_at_s, day.outage_s) = (20.0, 1.2);
        play(&day)
    };
    // Of the copies of a request asked in the first 0.6 s, none in 1.0 s reaches a VM.
    let short = with_outage(1000.0);
    assert!((60..180).contains(&short.failed), "{short:?}");
    assert_eq!(with_outage(4000.0).failed, 0);
    assert!(short.worst_windows < 0.8, "{short:?}");
}

#[test]
fn requests_of_lasting_flows_wait_for_their_endpoint() {
    let mut bound = day();
    bound.classes[0].per_s = 600.0;
    let free = play(&bound);
    bound.classes[0].flows = 300;
    let bound = play(&bound);
    assert!(bound.credit < free.credit - 0.005, "{bound:?} {free:?}");
}

#[test]
fn a_class_is_eight_numbers() {
    assert!("1:2:3:4:5:6:7".parse::<Class>().is_err());
    assert!("1:2:3:4:5:6:7:x".parse::<Class>().is_err());
    assert_eq!("1:2:3:4:5:6:7:8".parse::<Class>().unwrap().flows, 8);
}
