//! Members, their order, and the sums of hubs.

mod common;

use std::net::Ipv4Addr;

use common::{HERE, THERE, at};
use ragwortbeam_steering::mesh::{Sums, Table};
use ragwortbeam_steering::message::{Load, Member};

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

fn load(tag: u32, busy: u32) -> Load {
    Load {
        tag,
        busy,
        ..Load::default()
    }
}

#[test]
fn a_receiver_gets_the_sum_of_the_others() {
    let mut sums = Sums::default();
    sums.take_local(ip(1), vec![load(7, 1)], at(0));
    sums.take_local(ip(2), vec![load(7, 2), load(8, 1)], at(0));
    sums.take_foreign(THERE.into(), 5, vec![load(7, 10)], at(0));
    let (loads, contributors) = sums.without(ip(2), at(0));
    let busy = |tag| {
        let load = loads.iter().find(|load| load.tag == tag);
        load.map_or(0, |load| load.busy)
    };
    assert_eq!((busy(7), busy(8), contributors), (11, 0, 6));
    let (loads, contributors) = sums.local(at(0));
    let busy: u32 = loads.iter().map(|load| load.busy).sum();
    assert_eq!((busy, contributors), (4, 2));
}

#[test]
fn reports_of_vms_that_went_silent_no_longer_count() {
    let mut sums = Sums::default();
    sums.take_local(ip(1), vec![load(7, 1)], at(0));
    sums.take_local(ip(2), vec![load(7, 2)], at(900));
    let (loads, contributors) = sums.local(at(1100));
    assert_eq!((loads[0].busy, contributors), (2, 1));
    assert_eq!(sums.reporters(at(1100)), [ip(2)]);
}
