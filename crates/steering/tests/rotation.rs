//! Tests of the rotation of data centres, with patterns of VMs that stand still.

mod common;

use std::net::Ipv4Addr;
use std::time::Duration;

use common::{DC_A, DC_B, at};
use ragwortbeam_steering::mesh::MembershipTable;
use ragwortbeam_steering::message::Member;
use ragwortbeam_steering::rotation::{Census, Neighbour, Policy, Reason, State};

const MAX_GAP: Duration = Duration::from_millis(350);

fn census(able: u32, known: u32) -> Census {
    Census { known, able }
}

/// Numbers of able VMs of all data centres in one pattern, by time.
struct Pattern {
    name: &'static str,
    /// Known VMs of the data centres, in order of their names.
    known: &'static [u32],
    /// Able VMs by data centre from this time on, milliseconds.
    able: &'static [(u64, &'static [u32])],
    /// Data centres that other ones do not hear of.
    cut_off: &'static [usize],
    /// Data centres that are handed over at these times, milliseconds.
    handed_over: &'static [(u64, &'static [usize])],
}

/// Evaluates all data centres each 50 ms and exchanges their states each 100 ms. Returns whether
/// the data centres were handed over, by step of 50 ms.
fn play(pattern: &Pattern, end_ms: u64) -> Vec<Vec<bool>> {
    let names = ["dc-a", "dc-b", "dc-c", "dc-d", "dc-e", "dc-f"];
    let count = pattern.known.len();
    let mut policies = vec![Policy::default(); count];
    let mut exchanged = vec![State::default(); count];
    let mut steps = Vec::new();
    for now_ms in (0..end_ms).step_by(50) {
        let able = pattern.able.iter().rev().find(|it| it.0 <= now_ms);
        let able = able.map_or(pattern.known, |it| it.1);
        for index in 0..count {
            let hears = |other: &usize| {
                *other != index
                    && !pattern.cut_off.contains(&index)
                    && !pattern.cut_off.contains(other)
            };
            let others: Vec<Neighbour<'_>> = (0..count)
                .filter(hears)
                .map(|other| Neighbour {
                    data_centre: names[other],
                    state: exchanged[other],
                })
                .collect();
            let census = census(able[index], pattern.known[index]);
            policies[index].evaluate(names[index], census, &others, MAX_GAP, at(now_ms));
        }
        if now_ms % 100 == 0 {
            for index in 0..count {
                exchanged[index] = State {
                    census: census(able[index], pattern.known[index]),
                    is_handed_over: policies[index].is_handed_over(),
                };
            }
        }
        steps.push(policies.iter().map(Policy::is_handed_over).collect());
    }
    steps
}

#[test]
fn callers_are_handed_over_while_most_vms_of_a_data_centre_stand_still() {
    let patterns = [
        Pattern {
            name: "five of seven VMs are silent for 5 s",
            known: &[7, 4, 4, 4],
            able: &[(1000, &[2, 4, 4, 4]), (6000, &[7, 4, 4, 4])],
            cut_off: &[],
            handed_over: &[(950, &[]), (1500, &[0]), (5900, &[0]), (6500, &[])],
        },
        Pattern {
            name: "VMs are silent for 150 ms",
            known: &[7, 4, 4, 4],
            able: &[(1000, &[2, 4, 4, 4]), (1150, &[7, 4, 4, 4])],
            cut_off: &[],
            handed_over: &[(1100, &[]), (1500, &[]), (3000, &[])],
        },
        Pattern {
            name: "all data centres lose 55% of their VMs",
            known: &[7, 4, 4, 4],
            able: &[(1000, &[3, 1, 1, 1])],
            cut_off: &[],
            handed_over: &[(2000, &[]), (4000, &[])],
        },
        Pattern {
            name: "exactly half is in rotation on its own",
            known: &[4, 4, 4, 4],
            able: &[(1000, &[2, 4, 4, 4])],
            cut_off: &[],
            handed_over: &[(2000, &[]), (4000, &[])],
        },
        Pattern {
            name: "two data centres at once",
            known: &[7, 4, 4, 4],
            able: &[(1000, &[2, 4, 1, 4]), (5000, &[2, 4, 4, 4])],
            cut_off: &[],
            handed_over: &[(2000, &[0, 2]), (4900, &[0, 2]), (5500, &[0])],
        },
        Pattern {
            name: "three of four at once: the one that is left has room for all",
            known: &[7, 4, 4, 4],
            able: &[(1000, &[2, 4, 1, 1])],
            cut_off: &[],
            handed_over: &[(3000, &[0, 2, 3]), (4000, &[0, 2, 3])],
        },
        Pattern {
            name: "the others have exactly half, which are in rotation on their own",
            known: &[7, 4, 4, 4],
            able: &[(1000, &[2, 2, 2, 2])],
            cut_off: &[],
            handed_over: &[(2000, &[0]), (4000, &[0])],
        },
        Pattern {
            name: "three of four at once, and the fourth is too small",
            known: &[60, 4, 4, 4],
            able: &[(1000, &[2, 4, 4, 4])],
            cut_off: &[1, 2],
            handed_over: &[(2000, &[]), (4000, &[])],
        },
        Pattern {
            name: "five of six at once: one keeps its callers although it has few VMs",
            known: &[4, 4, 4, 4, 4, 4],
            able: &[(1000, &[1, 1, 1, 1, 1, 4])],
            cut_off: &[],
            handed_over: &[(3000, &[0, 1, 2, 3]), (4000, &[0, 1, 2, 3])],
        },
        Pattern {
            name: "a data centre that is cut off keeps its callers",
            known: &[7, 4, 4, 4],
            able: &[(1000, &[2, 4, 4, 4])],
            cut_off: &[0],
            handed_over: &[(2000, &[]), (4000, &[])],
        },
        Pattern {
            name: "of two data centres under half neither hands over to the other",
            known: &[4, 4],
            able: &[(1000, &[1, 1])],
            cut_off: &[],
            handed_over: &[(2000, &[]), (4000, &[])],
        },
        Pattern {
            name: "the receiving data centre falls under half as well",
            known: &[4, 4],
            able: &[(1000, &[1, 4]), (3000, &[1, 1])],
            cut_off: &[],
            handed_over: &[(2000, &[0]), (4000, &[])],
        },
    ];
    for pattern in patterns {
        let steps = play(&pattern, 8000);
        for (time_ms, expected) in pattern.handed_over {
            let step = &steps[(time_ms / 50) as usize];
            let handed_over: Vec<usize> = (0..step.len()).filter(|it| step[*it]).collect();
            assert_eq!(&handed_over, expected, "{} at {time_ms} ms", pattern.name);
        }
    }
}

#[test]
fn a_first_hub_that_wakes_from_a_freeze_starts_anew() {
    let mut policy = Policy::default();
    let healthy = [Neighbour {
        data_centre: DC_B,
        state: State {
            census: census(4, 4),
            is_handed_over: false,
        },
    }];
    let mut evaluate = |able, now_ms| {
        let reason = policy.evaluate(DC_A, census(able, 4), &healthy, MAX_GAP, at(now_ms));
        (reason, policy.is_handed_over())
    };
    assert_eq!(evaluate(1, 0), (Reason::Settling, false));
    // It heard from nobody while it was frozen itself.
    assert_eq!(evaluate(1, 5000), (Reason::Settling, false));
    assert_eq!(evaluate(4, 5050), (Reason::Majority, false));
    assert_eq!(evaluate(1, 5100), (Reason::Settling, false));
    assert_eq!(evaluate(1, 5300), (Reason::HandedOver, true));
    assert_eq!(evaluate(1, 9000), (Reason::Settling, false));
}

#[test]
fn a_planned_stop_waits_while_it_would_leave_less_than_half() {
    struct Case {
        able: u32,
        known: u32,
        may_leave: bool,
    }
    let cases = [
        (4, 4, true),
        (3, 4, true),
        (2, 4, false),
        (1, 4, true),
        (1, 1, true),
        (2, 3, false),
        (3, 5, false),
        (4, 7, false),
        (5, 7, true),
    ];
    let cases = cases.map(|(able, known, may_leave)| Case {
        able,
        known,
        may_leave,
    });
    for case in cases {
        let census = census(case.able, case.known);
        assert_eq!(census.may_leave(), case.may_leave, "{census:?}");
    }
}

fn ip(last_octet: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 1, 0, last_octet)
}

fn member(last_octet: u8, data_centre: &str) -> Member {
    Member {
        ip: ip(last_octet).into(),
        incarnation: 1,
        data_centre: data_centre.to_owned(),
        weight: 100,
        age_ms: 0,
        is_leaving: false,
        is_allocator: true,
    }
}

#[test]
fn the_census_counts_vms_that_answer_and_do_not_leave() {
    let mut table = MembershipTable::new(ip(1), 1, DC_A, 100);
    let silence = Duration::from_millis(350);
    assert_eq!(table.census(silence, at(0)), census(1, 1));
    table.record_direct_contact(&member(2, DC_A), at(0));
    table.record_direct_contact(&member(3, DC_A), at(0));
    table.record_direct_contact(&member(9, DC_B), at(0));
    // Another VM told of this one; it has not been heard here.
    table.merge(&member(4, DC_A), at(0));
    assert_eq!(table.census(silence, at(100)), census(3, 4));
    let mut silent = table.silent_vms(silence, 8, at(400));
    silent.sort();
    assert_eq!(silent, [ip(2), ip(3), ip(4)]);
    assert_eq!(table.silent_vms(silence, 2, at(400)).len(), 2);
    table.record_direct_contact(&member(4, DC_A), at(400));
    let mut leaving = member(3, DC_A);
    leaving.is_leaving = true;
    table.record_direct_contact(&leaving, at(400));
    assert_eq!(table.census(silence, at(410)), census(2, 4));
    // Six unanswered heartbeats show that a silent VM is down, and it is contacted less often.
    for _ in 0..6 {
        table.record_heartbeat_sent(ip(2));
    }
    assert!(table.silent_vms(silence, 8, at(420)).is_empty());
    assert_eq!(table.census(silence, at(420)), census(2, 4));
    // A VM that left and did not start again within ten seconds was taken away.
    assert_eq!(table.census(silence, at(10_399)).known, 4);
    assert_eq!(table.census(silence, at(10_401)).known, 3);
    // VMs that have not been seen for a minute have probably been taken away.
    table.record_direct_contact(&member(4, DC_A), at(61_000));
    assert_eq!(table.census(silence, at(61_000)), census(2, 2));
    table.leave();
    assert_eq!(table.census(silence, at(61_000)), census(1, 2));
}

#[test]
fn stand_ins_are_contacted_beside_suspected_hubs() {
    let mut table = MembershipTable::new(ip(1), 1, DC_A, 100);
    for last_octet in 2..8 {
        let weight = 1000 - u32::from(last_octet);
        let member = Member {
            weight,
            ..member(last_octet, DC_A)
        };
        table.record_direct_contact(&member, at(0));
    }
    assert_eq!(table.hubs(1, at(0)), [ip(2)]);
    table.record_heartbeat_sent(ip(2));
    assert_eq!(table.hubs(1, at(0)), [ip(2)]);
    table.record_heartbeat_sent(ip(2));
    assert_eq!(table.hubs(1, at(0)), [ip(2), ip(3)]);
    for _ in 0..2 {
        table.record_heartbeat_sent(ip(3));
    }
    assert_eq!(table.hubs(1, at(0)), [ip(2), ip(3), ip(4)]);
    let answering = Member {
        weight: 998,
        ..member(2, DC_A)
    };
    table.record_direct_contact(&answering, at(10));
    assert_eq!(table.hubs(1, at(10)), [ip(2)]);
}
