//! Membership views, the owners of flows, and their updates by VM lists, frames and rumours.

use std::collections::HashMap;
use std::sync::Arc;

use ragwortbeam::document::{VmEntry, VmList};
use ragwortbeam::id;
use ragwortbeam::membership::{Member, Table, View};
use ragwortbeam::message::{Health, Rumour};

const DATA_CENTRE: &str = "nairobi-1";

fn member(name: &str, health: Health) -> Member {
    Member {
        name: name.to_owned(),
        address: "10.0.0.1:7400".parse().unwrap(),
        data_centre: DATA_CENTRE.to_owned(),
        listed_leaving: false,
        incarnation: 1,
        revision: 0,
        health,
    }
}

fn view(others: &[(&str, Health)]) -> View {
    let members: HashMap<id::Vm, Arc<Member>> = others
        .iter()
        .map(|(name, health)| (id::Vm::of(name), Arc::new(member(name, *health))))
        .collect();
    View::new(id::Vm::of("me"), DATA_CENTRE, members, true)
}

fn list(version: u64, names: &[&str]) -> VmList {
    let entries = names.iter().enumerate().map(|(index, name)| VmEntry {
        name: (*name).to_owned(),
        data_centre: DATA_CENTRE.to_owned(),
        peer_address: format!("10.0.0.{}:7400", index + 1),
        state: "live".to_owned(),
    });
    VmList {
        version,
        vms: entries.collect(),
    }
}

fn rumour(name: &str, revision: u32, health: Health) -> Rumour {
    Rumour {
        vm: id::Vm::of(name).0,
        incarnation: 5,
        revision,
        health: health.into(),
    }
}

#[test]
fn loss_of_an_owner_moves_only_its_flows_and_only_to_their_replicas() {
    let before = view(&[
        ("a", Health::Alive),
        ("b", Health::Alive),
        ("c", Health::Alive),
    ]);
    let after = view(&[
        ("a", Health::Dead),
        ("b", Health::Alive),
        ("c", Health::Alive),
    ]);
    let lost = id::Vm::of("a");
    for hash in 0..10_000 {
        let rank = before.rank(hash).unwrap();
        if rank.first == lost {
            assert_eq!(Some(after.owner(hash)), rank.second);
        } else {
            assert_eq!(after.owner(hash), rank.first);
        }
    }
}

#[test]
fn flows_are_distributed_evenly_over_owners() {
    let names: Vec<String> = (0..16).map(|index| format!("vm-{index}")).collect();
    let others: Vec<_> = names
        .iter()
        .map(|name| (name.as_str(), Health::Alive))
        .collect();
    let view = view(&others);
    let mut counts: HashMap<id::Vm, u32> = HashMap::new();
    for hash in 0..17_000u64 {
        *counts.entry(view.owner(hash)).or_default() += 1;
    }
    assert_eq!(counts.len(), 17);
    assert!(
        counts.values().all(|count| (850..1150).contains(count)),
        "{counts:?}"
    );
}

#[test]
fn health_determines_owners_and_majority() {
    struct Case {
        others: &'static [(&'static str, Health)],
        owners: usize,
        has_majority: bool,
    }
    use Health::{Alive, Dead, Joining, Leaving, Suspect};
    let cases = [
        Case {
            others: &[],
            owners: 1,
            has_majority: true,
        },
        Case {
            others: &[("a", Suspect), ("b", Joining), ("c", Leaving)],
            owners: 2,
            has_majority: true,
        },
        Case {
            others: &[("a", Alive), ("b", Dead)],
            owners: 2,
            has_majority: true,
        },
        Case {
            others: &[("a", Dead), ("b", Dead)],
            owners: 1,
            has_majority: false,
        },
    ];
    for case in cases {
        let view = view(case.others);
        assert_eq!(view.owners.len(), case.owners, "{:?}", case.others);
        assert_eq!(view.has_majority(), case.has_majority, "{:?}", case.others);
    }
}

#[test]
fn exactly_one_of_two_equal_halves_has_the_majority() {
    let halves = [["me", "a"], ["b", "c"]];
    let has_majority = |present: [&str; 2], missing: [&str; 2]| {
        let members = [
            (present[1], Health::Alive),
            (missing[0], Health::Dead),
            (missing[1], Health::Dead),
        ]
        .into_iter()
        .map(|(name, health)| (id::Vm::of(name), Arc::new(member(name, health))))
        .collect();
        View::new(id::Vm::of(present[0]), DATA_CENTRE, members, true).has_majority()
    };
    assert_ne!(
        has_majority(halves[0], halves[1]),
        has_majority(halves[1], halves[0])
    );
}

#[test]
fn a_vm_owns_no_flows_before_it_has_joined() {
    let table = Table::new("me", DATA_CENTRE, 9);
    table.apply_vm_list(&list(1, &["me", "a"]));
    assert!(table.view().owners.is_empty());
    assert!(!table.has_seen_all_members());
    table.observe_incarnation(id::Vm::of("a"), 5);
    assert!(table.has_seen_all_members());
    assert!(
        table.view().owners.is_empty(),
        "no rumour says that a has joined"
    );
    table.apply_rumours(&[rumour("a", 0, Health::Alive)], 0);
    table.join();
    assert_eq!(table.view().owners.len(), 2);
}

#[test]
fn a_listed_vm_of_unknown_incarnation_counts_against_the_majority() {
    let table = Table::new("me", DATA_CENTRE, 9);
    table.apply_vm_list(&list(1, &["me", "a", "b"]));
    table.join();
    assert!(!table.has_majority());
    table.apply_rumours(&[rumour("a", 0, Health::Alive)], 0);
    assert!(table.has_majority());
}

#[test]
fn a_suspect_is_declared_dead_unless_it_refutes() {
    let table = Table::new("me", DATA_CENTRE, 9);
    table.apply_vm_list(&list(1, &["me", "a", "b"]));
    table.join();
    let alive = [rumour("a", 0, Health::Alive), rumour("b", 0, Health::Alive)];
    table.apply_rumours(&alive, 0);
    table.suspect(id::Vm::of("a"), 1000);
    table.suspect(id::Vm::of("b"), 1000);
    assert_eq!(table.view().owners.len(), 3, "suspects still own flows");
    table.apply_rumours(&[rumour("a", 1, Health::Alive)], 1500);
    table.expire_suspects(10_000);
    assert_eq!(table.view().owners.len(), 2);
    assert!(table.view().members[&id::Vm::of("a")].may_own());
    table.apply_rumours(&alive, 10_001);
    assert_eq!(table.view().owners.len(), 2, "older rumours change nothing");
    table.observe_incarnation(id::Vm::of("b"), 6);
    table.apply_rumours(
        &[Rumour {
            incarnation: 6,
            ..rumour("b", 0, Health::Alive)
        }],
        0,
    );
    assert_eq!(table.view().owners.len(), 3, "a new incarnation is alive");
}

#[test]
fn reservation_peers_include_recent_owners_and_are_none_when_owner_and_replica_are_lost() {
    let table = Table::new("me", DATA_CENTRE, 9);
    table.apply_vm_list(&list(1, &["me", "a", "b"]));
    table.apply_rumours(
        &[rumour("a", 0, Health::Alive), rumour("b", 0, Health::Alive)],
        0,
    );
    // Until this VM joins, a and b are the only owners, and each is the other's replica.
    table.join();
    let hash = (0..1000)
        .find(|hash| table.view().owner(*hash) == id::Vm::of("me"))
        .unwrap();
    assert_eq!(table.reservation_peers(hash).unwrap().vms.len(), 2);
    table.apply_rumours(&[rumour("a", 0, Health::Dead)], 0);
    let peers = table.reservation_peers(hash).unwrap();
    assert_eq!(peers.vms, [id::Vm::of("b")]);
    assert!(peers.lost.contains(&id::Vm::of("a")));
    assert!(table.any_recently_lost(&peers.lost));
    assert!(!table.any_recently_lost(&peers.vms));
    assert!(!table.is_stable_owner(hash));
    table.apply_rumours(&[rumour("b", 0, Health::Dead)], 0);
    assert_eq!(table.reservation_peers(hash), None);
}

#[test]
fn a_vm_is_no_stable_owner_while_another_is_or_recently_was_missing() {
    let table = Table::new("me", DATA_CENTRE, 9);
    table.apply_vm_list(&list(1, &["me", "a"]));
    table.join();
    table.apply_rumours(&[rumour("a", 0, Health::Alive)], 0);
    let hash = (0..1000)
        .find(|hash| table.view().owner(*hash) == id::Vm::of("me"))
        .unwrap();
    assert!(!table.is_stable_owner(hash), "a was missing until just now");

    let table = Table::new("me", DATA_CENTRE, 9);
    table.apply_vm_list(&list(1, &["me"]));
    table.join();
    assert!(table.is_stable_owner(hash));
    table.apply_vm_list(&list(2, &["me", "a"]));
    assert!(!table.is_stable_owner(hash), "a may serve the flow");
}

#[test]
fn an_older_vm_list_is_ignored() {
    let table = Table::new("me", DATA_CENTRE, 9);
    table.apply_vm_list(&list(3, &["me", "a"]));
    table.apply_vm_list(&list(2, &["me", "a", "b"]));
    assert_eq!(table.view().members.len(), 1);
    assert!(table.vm_list_since(2).is_some());
    assert!(table.vm_list_since(3).is_none());
}
