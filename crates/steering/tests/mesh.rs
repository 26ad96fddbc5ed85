//! Members, their order, and the sums of hubs.

mod common;

use std::net::Ipv4Addr;

use common::{HERE, THERE, at};
use ragwortbeam_steering::load::{Loads, ReportedLoad};
use ragwortbeam_steering::mesh::{Pace, Sums, Table, columns};
use ragwortbeam_steering::message::Member;

fn ip(last: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 1, 0, last)
}

fn member(last: u8, data_centre: &str, weight: u32) -> Member {
    Member {
        ip: ip(last).into(),
        incarnation: 1,
        data_centre: data_centre.to_owned(),
        weight,
        age_ms: 0,
        is_leaving: false,
    }
}

fn table() -> Table {
    Table::new(ip(1), 1, HERE, 100)
}

#[test]
fn larger_vms_come_first() {
    let mut table = table();
    assert_eq!(table.rank(at(0)), 0);
    table.heard(&member(2, HERE, 500), at(0));
    table.heard(&member(3, HERE, 50), at(0));
    table.heard(&member(4, THERE, 900), at(0));
    assert_eq!(table.rank(at(0)), 1);
    assert_eq!(table.hubs(2, at(0)), [ip(2), ip(3)]);
    assert_eq!(table.foreign_hubs(at(0)), [ip(4)]);
    assert_eq!(table.size(at(0)), 3);
}

#[test]
fn the_first_data_centre_is_the_first_that_is_alive() {
    let mut here = table();
    assert!(here.is_in_first_data_centre(at(0)));
    here.heard(&member(4, THERE, 900), at(0));
    assert!(here.is_in_first_data_centre(at(0)));
    let mut there = Table::new(ip(4), 1, THERE, 100);
    there.heard(&member(5, THERE, 100), at(0));
    assert!(there.is_in_first_data_centre(at(0)));
    there.heard(&member(1, HERE, 100), at(0));
    assert!(!there.is_in_first_data_centre(at(0)));
    // Six heartbeats without an answer: it is down, or cut off.
    for _ in 0..6 {
        there.note_sent(ip(1));
    }
    assert!(there.is_in_first_data_centre(at(300)));
}

#[test]
fn a_vm_that_does_not_answer_is_replaced_and_comes_back() {
    let mut table = table();
    table.heard(&member(2, HERE, 500), at(0));
    for _ in 0..6 {
        table.note_sent(ip(2));
    }
    assert_eq!(table.rank(at(300)), 0);
    assert_eq!(table.lost(at(300)), [ip(2)]);
    // What others tell of it does not make it answer here.
    table.take(&member(2, HERE, 500), at(310));
    assert_eq!(table.rank(at(310)), 0);
    table.heard(&member(2, HERE, 500), at(320));
    assert_eq!(table.rank(at(320)), 1);
    assert!(table.lost(at(320)).is_empty());
}

#[test]
fn a_vm_that_stops_is_neither_hub_nor_reader() {
    let mut table = table();
    let mut leaving = member(2, HERE, 500);
    leaving.is_leaving = true;
    table.heard(&leaving, at(0));
    assert_eq!(table.rank(at(0)), 0);
    assert!(table.hubs(2, at(0)).is_empty());
    table.heard(&member(3, HERE, 50), at(0));
    table.leave();
    assert!(table.rank(at(0)) > 0);
}

#[test]
fn knowledge_grows_old() {
    let mut table = table();
    let mut told = member(2, HERE, 500);
    told.age_ms = 3000;
    table.take(&told, at(10_000));
    assert!(table.has_company(at(10_000)));
    assert!(!table.has_company(at(11_001)));
    // An older word does not make it younger.
    told.age_ms = 9000;
    table.take(&told, at(11_001));
    assert!(!table.has_company(at(11_001)));
    table.forget(at(700_000));
    assert!(table.lost(at(700_000)).is_empty());
}

#[test]
fn what_is_told_of_another_data_centre_does_not_grow_with_it() {
    let mut table = table();
    for last in 10..100 {
        table.heard(&member(last, THERE, u32::from(last)), at(0));
    }
    table.heard(&member(2, HERE, 1), at(0));
    assert_eq!(table.messages(at(0)).len(), 5);
}

fn loads(busy: &[(u32, u32)]) -> Loads {
    let reports = busy.iter().map(|(tag, busy)| {
        let reported = ReportedLoad {
            busy: *busy,
            ..ReportedLoad::default()
        };
        (*tag, reported)
    });
    reports.collect()
}

#[test]
fn a_receiver_gets_the_sum_of_the_others() {
    let mut sums = Sums::default();
    sums.take_local(ip(1), loads(&[(7, 1)]), false, at(0));
    sums.take_local(ip(2), loads(&[(7, 2), (8, 1)]), false, at(0));
    sums.take_foreign(THERE.into(), 5, loads(&[(7, 10)]), at(0));
    let (reports, contributors) = sums.without(ip(2), &[7, 8, 9], at(0));
    let busy: Vec<u32> = reports.iter().map(|report| report.busy).collect();
    assert_eq!((busy, contributors), (vec![11, 0, 0], 6));
    let (sum, contributors) = sums.local(at(0));
    let busy: u32 = sum.values().map(|report| report.busy).sum();
    assert_eq!((busy, contributors), (4, 2));
}

#[test]
fn a_partial_report_changes_the_last_whole_one() {
    struct Case {
        name: &'static str,
        /// Partial reports after a whole one of 3 for endpoint 7 and 1 for endpoint 8.
        partial: &'static [&'static [(u32, u32)]],
        expected: [u32; 3],
    }
    let cases = [
        Case {
            name: "nothing changed",
            partial: &[&[]],
            expected: [3, 1, 0],
        },
        Case {
            name: "one changed, one is new",
            partial: &[&[(7, 5), (9, 2)]],
            expected: [5, 1, 2],
        },
        Case {
            name: "one changed and changed back",
            partial: &[&[(7, 5)], &[(8, 0)]],
            expected: [3, 0, 0],
        },
    ];
    for case in cases {
        let mut sums = Sums::default();
        sums.take_local(ip(2), loads(&[(7, 3), (8, 1)]), false, at(0));
        for partial in case.partial {
            sums.take_local(ip(2), loads(partial), true, at(30));
        }
        let (reports, _) = sums.without(ip(1), &[7, 8, 9], at(60));
        let busy: Vec<u32> = reports.iter().map(|report| report.busy).collect();
        assert_eq!(busy, case.expected, "{}", case.name);
    }
}

#[test]
fn reports_of_vms_that_went_silent_no_longer_count() {
    let mut sums = Sums::default();
    sums.take_local(ip(1), loads(&[(7, 1)]), false, at(0));
    sums.take_local(ip(2), loads(&[(7, 2)]), false, at(900));
    let (sum, contributors) = sums.local(at(1100));
    assert_eq!((sum[&7].busy, contributors), (2, 1));
    assert_eq!(sums.reporters(at(1100)), [ip(2)]);
}

#[test]
fn loads_survive_columns() {
    let full = ReportedLoad {
        open: 3,
        busy: 2,
        unanswered: 1,
        is_alive: true,
    };
    let sent = Loads::from([(7, full), (8, ReportedLoad::default())]);
    assert_eq!(columns::read(&columns::tagged(&sent), &[]), Some(sent));
    let untagged = columns::untagged(&[ReportedLoad::default(), full]);
    let read = columns::read(&untagged, &[4, 5]).unwrap();
    assert_eq!((read[&4], read[&5]), (ReportedLoad::default(), full));
}

#[test]
fn columns_of_other_endpoints_are_refused() {
    let untagged = columns::untagged(&[ReportedLoad::default(); 3]);
    assert_eq!(columns::read(&untagged, &[4, 5]), None);
    let mut cut = columns::tagged(&loads(&[(7, 1), (8, 1)]));
    cut.busy.pop();
    assert_eq!(columns::read(&cut, &[]), None);
}

#[test]
fn heartbeats_keep_to_the_budget() {
    struct Case {
        name: &'static str,
        lens: [usize; 2],
        vms: usize,
        expected_ms: u64,
    }
    let cases = [
        Case {
            name: "small reports in a small data centre",
            lens: [60, 100],
            vms: 10,
            expected_ms: 50,
        },
        Case {
            name: "many VMs share a hub",
            lens: [60, 100],
            vms: 80,
            expected_ms: 100,
        },
        Case {
            name: "large answers",
            lens: [72, 1072],
            vms: 10,
            expected_ms: 200,
        },
        Case {
            name: "never so seldom that hubs forget the VM",
            lens: [9000, 9000],
            vms: 10,
            expected_ms: 500,
        },
    ];
    for case in cases {
        let mut pace = Pace::default();
        pace.note_beat(case.lens[0]);
        pace.note_digest(case.lens[1]);
        let interval = pace.interval(case.vms);
        assert_eq!(
            interval.as_millis() as u64,
            case.expected_ms,
            "{}",
            case.name
        );
    }
}
