//! The catalog: order of revisions, removals, restarts, and what VMs pass on.

mod common;

use std::time::Duration;

use common::{HERE, at, configuration, entry, ledger, removed, route, vault, written};
use ragwortbeam_steering::catalog::{
    Catalog, Change, EntryUpdate, MergeSummary, Traffic, address_mask, tag,
};

const HOLD: Duration = Duration::from_millis(2200);

#[test]
fn nothing_older_replaces_something_newer() {
    struct Case {
        name: &'static str,
        items: Vec<EntryUpdate>,
        /// Whether the endpoint takes flows after all items.
        accepts_flows: bool,
    }
    let draining = || {
        let mut entry = entry("ledger", 1, HERE);
        entry.is_draining = true;
        entry
    };
    let ready = || entry("ledger", 1, HERE);
    let cases = [
        Case {
            name: "a late ready entry after draining",
            items: vec![written(1, 8, draining()), written(1, 7, ready())],
            accepts_flows: false,
        },
        Case {
            name: "a late entry after its removal",
            items: vec![
                written(1, 5, ready()),
                removed(1, 9),
                written(1, 8, ready()),
            ],
            accepts_flows: false,
        },
        Case {
            name: "a removal of an earlier entry",
            items: vec![written(1, 9, ready()), removed(1, 8)],
            accepts_flows: true,
        },
        Case {
            name: "an entry that returns",
            items: vec![
                written(1, 5, ready()),
                removed(1, 8),
                written(1, 9, ready()),
            ],
            accepts_flows: true,
        },
        Case {
            name: "bytes of another writer",
            items: vec![
                written(1, 5, ready()),
                EntryUpdate {
                    endpoint: 1,
                    revision: 6,
                    change: Change::Unreadable,
                },
            ],
            accepts_flows: false,
        },
    ];
    for case in cases {
        let mut catalog = Catalog::default();
        for item in case.items {
            catalog.apply_update(item, at(0), Duration::ZERO);
        }
        let accepts_flows = catalog.endpoints().any(|(_, it)| it.accepts_flows(at(1)));
        assert_eq!(accepts_flows, case.accepts_flows, "{}", case.name);
    }
}

#[test]
fn configuration_never_goes_back() {
    let mut catalog = Catalog::default();
    let newer = configuration(7, 20, vec![route(ledger(), Traffic::Bulk, &[("a", 1)])]);
    let older = configuration(5, 10, vec![route(vault(), Traffic::Bulk, &[("b", 1)])]);
    assert!(catalog.apply_configuration(newer.clone()));
    assert!(!catalog.apply_configuration(older));
    // The same version under a later revision changes nothing either.
    let mut again = newer;
    again.revision = 30;
    assert!(!catalog.apply_configuration(again));
    assert_eq!(catalog.configuration().version, 7);
    assert!(catalog.route(ledger()).is_some());
}

#[test]
fn a_lapsed_entry_takes_flows_until_its_hold_ends() {
    let mut catalog = Catalog::default();
    catalog.apply_update(written(1, 5, entry("ledger", 1, HERE)), at(0), HOLD);
    catalog.apply_update(removed(1, 6), at(100), HOLD);
    let accepts_flows = |catalog: &Catalog, ms| {
        let (_, endpoint) = catalog.endpoints().next().unwrap();
        endpoint.accepts_flows(at(ms))
    };
    assert!(accepts_flows(&catalog, 2200));
    assert!(!accepts_flows(&catalog, 2300));
    catalog.apply_update(written(1, 7, entry("ledger", 1, HERE)), at(2000), HOLD);
    assert!(accepts_flows(&catalog, 5000));
}

#[test]
fn a_token_names_its_endpoint_at_its_address_only() {
    let mut catalog = Catalog::default();
    catalog.apply_update(written(1, 5, entry("ledger", 1, HERE)), at(0), HOLD);
    let token = tag(1, 1000) ^ address_mask(ledger());
    assert!(catalog.by_token(token, ledger()).is_some());
    assert!(catalog.by_token(token, vault()).is_none());
    assert!(catalog.by_token(token ^ 1, ledger()).is_none());
}

#[test]
fn a_restart_under_the_same_id_takes_over_packets_of_earlier_flows() {
    let mut catalog = Catalog::default();
    catalog.apply_update(written(1, 5, entry("ledger", 1, HERE)), at(0), HOLD);
    let old_token = tag(1, 1000) ^ address_mask(ledger());
    let mut reborn = entry("ledger", 4, HERE);
    reborn.born_ms = 2000;
    catalog.apply_update(written(1, 6, reborn.clone()), at(100), HOLD);
    let key = catalog.by_token(old_token, ledger()).unwrap();
    // The endpoint knows nothing of the flow and resets it, which a silent address would not.
    assert_eq!(
        catalog.forwarding_endpoint(key).unwrap().entry.address,
        reborn.address
    );
    assert!(catalog.endpoint(key).unwrap().is_gone(at(100)));
    assert_ne!(tag(1, 1000), tag(1, 2000));
}

#[test]
fn a_complete_reading_removes_what_it_does_not_bring() {
    let mut catalog = Catalog::default();
    for (id, revision) in [(1, 5), (2, 6), (3, 40)] {
        let item = written(id, revision, entry("ledger", id as u8, HERE));
        catalog.apply_update(item, at(0), Duration::ZERO);
    }
    // Endpoint 3 was written after the reading.
    assert_eq!(catalog.remove_missing(&[1], 30, at(10), Duration::ZERO), 1);
    let mut left: Vec<u64> = catalog
        .endpoints()
        .filter(|(_, endpoint)| endpoint.accepts_flows(at(10)))
        .map(|(_, endpoint)| endpoint.id)
        .collect();
    left.sort();
    assert_eq!(left, [1, 3]);
}

#[test]
fn another_vm_holds_the_same_after_a_merge() {
    let mut catalog = Catalog::default();
    catalog.apply_configuration(configuration(
        7,
        3,
        vec![route(
            ledger(),
            Traffic::NonIdempotent,
            &[("a", 90), ("b", 10)],
        )],
    ));
    let mut cold = entry("a", 1, HERE);
    cold.warmup_left = Duration::from_millis(700);
    catalog.apply_update(written(1, 5, cold), at(0), Duration::ZERO);
    catalog.apply_update(written(2, 6, entry("a", 2, HERE)), at(0), Duration::ZERO);
    catalog.apply_update(removed(2, 9), at(50), HOLD);
    catalog.advance(9, at(50));

    let mut other = Catalog::default();
    let merge = other.merge(&catalog.changed_after(0, at(100)), at(100));
    assert_eq!((merge.endpoints, merge.configuration), (2, true));
    assert_eq!(other.configuration(), catalog.configuration());
    for (_, endpoint) in catalog.endpoints() {
        let (_, copy) = other
            .endpoints()
            .find(|(_, copy)| copy.id == endpoint.id)
            .unwrap();
        assert_eq!(copy.revision, endpoint.revision);
        assert_eq!(copy.removal, endpoint.removal);
        let cold_for = |moment: ragwortbeam_base::clock::Moment| moment.since(at(100));
        assert_eq!(
            cold_for(copy.warmup_ends_at),
            cold_for(endpoint.warmup_ends_at)
        );
    }
    let again = other.merge(&catalog.changed_after(0, at(100)), at(100));
    assert_eq!(again, MergeSummary::default());
    assert!(catalog.changed_after(9, at(100)).endpoints.is_empty());
}

#[test]
fn an_endpoint_is_kept_for_as_long_as_its_flows_may_live() {
    let lifetime = Duration::from_secs(60);
    let mut catalog = Catalog::default();
    catalog.apply_update(
        written(1, 5, entry("ledger", 1, HERE)),
        at(0),
        Duration::ZERO,
    );
    catalog.apply_update(removed(1, 6), at(0), Duration::ZERO);
    assert!(catalog.drop_gone(at(60_000), lifetime).is_empty());
    assert_eq!(catalog.drop_gone(at(60_001), lifetime).len(), 1);
    assert_eq!(catalog.dropped_revision(), 6);
    assert!(catalog.by_tag(tag(1, 1000)).is_none());
}

#[test]
fn weights_share_new_flows() {
    let route = route(ledger(), Traffic::Bulk, &[("a", 90), ("b", 10)]);
    let b = (0..1000)
        .filter(|draw| **route.select_service(*draw) == *"b")
        .count();
    assert_eq!(b, 100);
}

#[test]
fn age_follows_what_is_known_and_never_goes_back() {
    let mut catalog = Catalog::default();
    catalog.advance(9, at(1000));
    catalog.confirm(at(500));
    assert_eq!(catalog.age(at(1500)), Duration::from_millis(500));
    // An answer that is late brings an older revision.
    catalog.advance(8, at(1400));
    assert_eq!(catalog.revision(), 9);
    assert_eq!(catalog.age(at(1500)), Duration::from_millis(500));
}
