//! Tests of the order of notifications and of their retransmission.

use std::time::Duration;

use ragwortbeam::dispatch::feed::is_newer;
use ragwortbeam::dispatch::notify::{ACK_TIMEOUT, MAX_RETRANSMIT, Wait, waits_for_acknowledgement};

#[test]
fn observe_values_are_ordered_as_in_rfc_7641() {
    struct Case {
        next: u32,
        last: u32,
        is_newer: bool,
    }
    let half = 1 << 23;
    let cases = [
        (2, 1, true),
        (1, 1, false),
        (1, 2, false),
        (half, 1, true),
        (half + 1, 1, false),
        (0, (1 << 24) - 1, true),
        (0, half + 1, true),
        (0, half, false),
    ];
    let cases = cases.map(|(next, last, is_newer)| Case {
        next,
        last,
        is_newer,
    });
    for case in cases {
        let found = is_newer(case.next, case.last);
        assert_eq!(found, case.is_newer, "{} after {}", case.next, case.last);
    }
}

/// RFC 7252, section 4.2: after the last retransmission the sender waits once more before it gives
/// up.
#[test]
fn a_caller_has_time_to_acknowledge_the_last_retransmission() {
    let waits: Vec<Wait> = waits_for_acknowledgement(ACK_TIMEOUT).collect();
    let seconds: Vec<u64> = waits.iter().map(|wait| wait.duration.as_secs()).collect();
    assert_eq!(seconds, [2, 4, 8, 16, 32]);
    let retransmissions = waits
        .iter()
        .filter(|wait| wait.is_followed_by_retransmission);
    assert_eq!(retransmissions.count() as u32, MAX_RETRANSMIT);
    let last = waits.last().unwrap();
    assert!(!last.is_followed_by_retransmission && last.duration > Duration::ZERO);
}
