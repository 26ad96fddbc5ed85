//! Tests of membership, hub order, load aggregation and heartbeat pacing.

mod common;

use std::net::Ipv4Addr;

use common::{DC_A, DC_B, at};
use ragwortbeam_steering::load::{Loads, ReportedLoad};
use ragwortbeam_steering::mesh::{HeartbeatPacing, LoadAggregate, MembershipTable, columns};
use ragwortbeam_steering::message::Member;

fn ip(last_octet: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 1, 0, last_octet)
}

fn member(last_octet: u8, data_centre: &str, weight: u32) -> Member {
    Member {
        ip: ip(last_octet).into(),
        incarnation: 1,
        data_centre: data_centre.to_owned(),
        weight,
        age_ms: 0,
        is_leaving: false,
        is_allocator: true,
    }
}

fn table() -> MembershipTable {
    MembershipTable::new(ip(1), 1, DC_A, 100)
}

#[test]
fn larger_vms_rank_first() {
    let mut table = table();
    assert_eq!(table.rank(at(0)), 0);
    table.record_direct_contact(&member(2, DC_A, 500), at(0));
    table.record_direct_contact(&member(3, DC_A, 50), at(0));
    table.record_direct_contact(&member(4, DC_B, 900), at(0));
    assert_eq!(table.rank(at(0)), 1);
    assert_eq!(table.hubs(2, at(0)), [ip(2), ip(3)]);
    assert_eq!(table.remote_hubs(at(0)), [ip(4)]);
    assert_eq!(table.local_vm_count(at(0)), 3);
}

#[test]
fn the_primary_data_centre_is_the_first_with_live_vms() {
    let mut table_in_a = table();
    assert!(table_in_a.is_in_primary_data_centre(at(0)));
    table_in_a.record_direct_contact(&member(4, DC_B, 900), at(0));
    assert!(table_in_a.is_in_primary_data_centre(at(0)));
    let mut table_in_b = MembershipTable::new(ip(4), 1, DC_B, 100);
    table_in_b.record_direct_contact(&member(5, DC_B, 100), at(0));
    assert!(table_in_b.is_in_primary_data_centre(at(0)));
    table_in_b.record_direct_contact(&member(1, DC_A, 100), at(0));
    assert!(!table_in_b.is_in_primary_data_centre(at(0)));
    // After six unanswered heartbeats the VM counts as down; it may also be partitioned.
    for _ in 0..6 {
        table_in_b.record_heartbeat_sent(ip(1));
    }
    assert!(table_in_b.is_in_primary_data_centre(at(300)));
}

#[test]
fn an_unresponsive_vm_is_down_until_it_sends_a_frame() {
    let mut table = table();
    table.record_direct_contact(&member(2, DC_A, 500), at(0));
    for _ in 0..6 {
        table.record_heartbeat_sent(ip(2));
    }
    assert_eq!(table.rank(at(300)), 0);
    assert_eq!(table.down_vms(at(300)), [ip(2)]);
    // An entry advertised by other peers does not reset the count of unanswered heartbeats.
    table.merge(&member(2, DC_A, 500), at(310));
    assert_eq!(table.rank(at(310)), 0);
    table.record_direct_contact(&member(2, DC_A, 500), at(320));
    assert_eq!(table.rank(at(320)), 1);
    assert!(table.down_vms(at(320)).is_empty());
}

#[test]
fn a_leaving_vm_is_neither_hub_nor_reader() {
    let mut table = table();
    let mut leaving = member(2, DC_A, 500);
    leaving.is_leaving = true;
    table.record_direct_contact(&leaving, at(0));
    assert_eq!(table.rank(at(0)), 0);
    assert!(table.hubs(2, at(0)).is_empty());
    table.record_direct_contact(&member(3, DC_A, 50), at(0));
    table.leave();
    assert!(table.rank(at(0)) > 0);
}

#[test]
fn an_advertised_member_expires_by_its_reported_age() {
    let mut table = table();
    let mut advertised = member(2, DC_A, 500);
    advertised.age_ms = 3000;
    table.merge(&advertised, at(10_000));
    assert!(table.has_live_peer(at(10_000)));
    assert!(!table.has_live_peer(at(11_001)));
    // An entry with an older last-seen time does not replace the known one.
    advertised.age_ms = 9000;
    table.merge(&advertised, at(11_001));
    assert!(!table.has_live_peer(at(11_001)));
    table.remove_expired(at(700_000));
    assert!(table.down_vms(at(700_000)).is_empty());
}

#[test]
fn the_number_of_advertised_remote_members_is_bounded() {
    let mut table = table();
    for last_octet in 10..100 {
        table.record_direct_contact(&member(last_octet, DC_B, u32::from(last_octet)), at(0));
    }
    table.record_direct_contact(&member(2, DC_A, 1), at(0));
    assert_eq!(table.member_list(at(0)).len(), 5);
}

/// Returns loads from pairs of an endpoint tag and a number of outstanding requests.
fn loads(busy: &[(u32, u32)]) -> Loads {
    let loads = busy.iter().map(|(tag, busy)| {
        let load = ReportedLoad {
            busy: *busy,
            ..ReportedLoad::default()
        };
        (*tag, load)
    });
    loads.collect()
}

#[test]
fn the_sum_for_a_receiver_excludes_its_own_load() {
    let mut aggregate = LoadAggregate::default();
    aggregate.record_vm_report(ip(1), loads(&[(7, 1)]), false, at(0));
    aggregate.record_vm_report(ip(2), loads(&[(7, 2), (8, 1)]), false, at(0));
    aggregate.record_data_centre_sum(DC_B.into(), 5, loads(&[(7, 10)]), at(0));
    let (other_loads, contributors) = aggregate.loads_excluding(ip(2), &[7, 8, 9], at(0));
    let busy: Vec<u32> = other_loads.iter().map(|load| load.busy).collect();
    assert_eq!((busy, contributors), (vec![11, 0, 0], 6));
    let (sum, contributors) = aggregate.local_sum(at(0));
    let busy: u32 = sum.values().map(|load| load.busy).sum();
    assert_eq!((busy, contributors), (4, 2));
}

#[test]
fn a_partial_report_applies_to_the_last_full_one() {
    struct Case {
        name: &'static str,
        /// Partial reports after a full one with 3 outstanding requests at endpoint 7 and 1 at 8.
        partial: &'static [&'static [(u32, u32)]],
        expected: [u32; 3],
    }
    let cases = [
        Case {
            name: "no entry changed",
            partial: &[&[]],
            expected: [3, 1, 0],
        },
        Case {
            name: "one entry changed, one is new",
            partial: &[&[(7, 5), (9, 2)]],
            expected: [5, 1, 2],
        },
        Case {
            name: "one entry changed and changed back",
            partial: &[&[(7, 5)], &[(8, 0)]],
            expected: [3, 0, 0],
        },
    ];
    for case in cases {
        let mut aggregate = LoadAggregate::default();
        aggregate.record_vm_report(ip(2), loads(&[(7, 3), (8, 1)]), false, at(0));
        for partial in case.partial {
            aggregate.record_vm_report(ip(2), loads(partial), true, at(30));
        }
        let (other_loads, _) = aggregate.loads_excluding(ip(1), &[7, 8, 9], at(60));
        let busy: Vec<u32> = other_loads.iter().map(|load| load.busy).collect();
        assert_eq!(busy, case.expected, "{}", case.name);
    }
}

#[test]
fn expired_reports_are_excluded_from_the_sum() {
    let mut aggregate = LoadAggregate::default();
    aggregate.record_vm_report(ip(1), loads(&[(7, 1)]), false, at(0));
    aggregate.record_vm_report(ip(2), loads(&[(7, 2)]), false, at(900));
    let (sum, contributors) = aggregate.local_sum(at(1100));
    assert_eq!((sum[&7].busy, contributors), (2, 1));
    assert_eq!(aggregate.reporting_vms(at(1100)), [ip(2)]);
}

#[test]
fn column_encoding_round_trips() {
    let full = ReportedLoad {
        open: 3,
        busy: 2,
        unanswered: 1,
        is_alive: true,
    };
    let sent = Loads::from([(7, full), (8, ReportedLoad::default())]);
    assert_eq!(
        columns::decode(&columns::encode_with_tags(&sent), &[]),
        Some(sent)
    );
    let untagged = columns::encode_without_tags(&[ReportedLoad::default(), full]);
    let decoded = columns::decode(&untagged, &[4, 5]).unwrap();
    assert_eq!((decoded[&4], decoded[&5]), (ReportedLoad::default(), full));
}

#[test]
fn columns_that_do_not_fit_the_tags_are_rejected() {
    let untagged = columns::encode_without_tags(&[ReportedLoad::default(); 3]);
    assert_eq!(columns::decode(&untagged, &[4, 5]), None);
    let mut truncated = columns::encode_with_tags(&loads(&[(7, 1), (8, 1)]));
    truncated.busy.pop();
    assert_eq!(columns::decode(&truncated, &[]), None);
}

#[test]
fn the_heartbeat_interval_keeps_to_the_byte_budget() {
    struct Case {
        name: &'static str,
        /// Encoded lengths of a heartbeat and of its answer, bytes.
        encoded_lens: [usize; 2],
        vm_count: usize,
        expected_ms: u64,
    }
    let cases = [
        Case {
            name: "small reports in a small data centre",
            encoded_lens: [60, 100],
            vm_count: 10,
            expected_ms: 50,
        },
        Case {
            name: "many VMs share a hub",
            encoded_lens: [60, 100],
            vm_count: 80,
            expected_ms: 100,
        },
        Case {
            name: "large answers",
            encoded_lens: [72, 1072],
            vm_count: 10,
            expected_ms: 200,
        },
        Case {
            name: "interval is capped so that hubs keep the report",
            encoded_lens: [9000, 9000],
            vm_count: 10,
            expected_ms: 500,
        },
    ];
    for case in cases {
        let mut pacing = HeartbeatPacing::default();
        pacing.record_heartbeat_len(case.encoded_lens[0]);
        pacing.record_digest_len(case.encoded_lens[1]);
        let interval = pacing.interval(case.vm_count);
        assert_eq!(
            interval.as_millis() as u64,
            case.expected_ms,
            "{}",
            case.name
        );
    }
}
