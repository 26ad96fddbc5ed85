//! Tests of the catalog: order of revisions, removals, restarts and messages between VMs.

mod common;

use std::time::Duration;

use common::{DC_A, at, configuration, entry, ledger, removed, route, vault, written};
use ragwortbeam_steering::catalog::{
    Catalog, Change, EntryUpdate, MergeSummary, Traffic, address_mask, tag,
};

const HOLD: Duration = Duration::from_millis(2200);

#[test]
fn an_older_revision_never_replaces_a_newer_one() {
    struct Case {
        name: &'static str,
        updates: Vec<EntryUpdate>,
        /// Whether the endpoint accepts flows after all updates.
        accepts_flows: bool,
    }
    let draining = || {
        let mut entry = entry("ledger", 1, DC_A);
        entry.is_draining = true;
        entry
    };
    let ready = || entry("ledger", 1, DC_A);
    let cases = [
        Case {
            name: "an older ready entry after a draining one",
            updates: vec![written(1, 8, draining()), written(1, 7, ready())],
            accepts_flows: false,
        },
        Case {
            name: "an older entry after its removal",
            updates: vec![
                written(1, 5, ready()),
                removed(1, 9),
                written(1, 8, ready()),
            ],
            accepts_flows: false,
        },
        Case {
            name: "removal of an earlier entry",
            updates: vec![written(1, 9, ready()), removed(1, 8)],
            accepts_flows: true,
        },
        Case {
            name: "an entry written again after its removal",
            updates: vec![
                written(1, 5, ready()),
                removed(1, 8),
                written(1, 9, ready()),
            ],
            accepts_flows: true,
        },
        Case {
            name: "an unreadable entry",
            updates: vec![
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
        for update in case.updates {
            catalog.apply_update(update, at(0), Duration::ZERO);
        }
        let accepts_flows = catalog.endpoints().any(|(_, it)| it.accepts_flows(at(1)));
        assert_eq!(accepts_flows, case.accepts_flows, "{}", case.name);
    }
}

#[test]
fn an_older_configuration_is_ignored() {
    let mut catalog = Catalog::default();
    let newer = configuration(7, 20, vec![route(ledger(), Traffic::Bulk, &[("a", 1)])]);
    let older = configuration(5, 10, vec![route(vault(), Traffic::Bulk, &[("b", 1)])]);
    assert!(catalog.apply_configuration(newer.clone()));
    assert!(!catalog.apply_configuration(older));
    // The same version at a later revision is ignored, too.
    let mut same_version = newer;
    same_version.revision = 30;
    assert!(!catalog.apply_configuration(same_version));
    assert_eq!(catalog.configuration().version, 7);
    assert!(catalog.route(ledger()).is_some());
}

#[test]
fn a_removed_entry_accepts_flows_until_its_hold_ends() {
    let mut catalog = Catalog::default();
    catalog.apply_update(written(1, 5, entry("ledger", 1, DC_A)), at(0), HOLD);
    catalog.apply_update(removed(1, 6), at(100), HOLD);
    let accepts_flows = |catalog: &Catalog, ms| {
        let (_, endpoint) = catalog.endpoints().next().unwrap();
        endpoint.accepts_flows(at(ms))
    };
    assert!(accepts_flows(&catalog, 2200));
    assert!(!accepts_flows(&catalog, 2300));
    catalog.apply_update(written(1, 7, entry("ledger", 1, DC_A)), at(2000), HOLD);
    assert!(accepts_flows(&catalog, 5000));
}

#[test]
fn a_token_identifies_its_endpoint_at_its_destination_only() {
    let mut catalog = Catalog::default();
    catalog.apply_update(written(1, 5, entry("ledger", 1, DC_A)), at(0), HOLD);
    let token = tag(1, 1000) ^ address_mask(ledger());
    assert!(catalog.by_token(token, ledger()).is_some());
    assert!(catalog.by_token(token, vault()).is_none());
    assert!(catalog.by_token(token ^ 1, ledger()).is_none());
}

#[test]
fn packets_of_earlier_flows_go_to_the_restarted_endpoint() {
    let mut catalog = Catalog::default();
    catalog.apply_update(written(1, 5, entry("ledger", 1, DC_A)), at(0), HOLD);
    let earlier_token = tag(1, 1000) ^ address_mask(ledger());
    let mut restarted = entry("ledger", 4, DC_A);
    restarted.born_ms = 2000;
    catalog.apply_update(written(1, 6, restarted.clone()), at(100), HOLD);
    let key = catalog.by_token(earlier_token, ledger()).unwrap();
    // The restarted endpoint resets the unknown flow; nothing would answer at the old address.
    assert_eq!(
        catalog.forwarding_endpoint(key).unwrap().entry.address,
        restarted.address
    );
    assert!(catalog.endpoint(key).unwrap().is_gone(at(100)));
    assert_ne!(tag(1, 1000), tag(1, 2000));
}

/// Guards against an endpoint that gets no new flows for good: an instance whose entry returns after
/// that of another start was taken for a third one with an ambiguous tag.
#[test]
fn an_instance_whose_entry_returns_is_the_newest_again() {
    let start = |born_ms| {
        let mut entry = entry("ledger", 1, DC_A);
        entry.born_ms = born_ms;
        entry
    };
    let mut read = Catalog::default();
    let mut merged = Catalog::default();
    for (revision, born_ms) in [(5, 1000), (6, 2000), (7, 1000), (8, 2000), (9, 1000)] {
        read.apply_update(written(1, revision, start(born_ms)), at(0), HOLD);
        merged.merge(&read.changed_after(revision - 1, at(0)), at(0));
    }
    let mut copied = Catalog::default();
    copied.merge(&read.changed_after(0, at(0)), at(0));
    for (name, catalog) in [("read", read), ("merged", merged), ("copied", copied)] {
        let key = catalog.by_tag(tag(1, 1000)).unwrap();
        assert!(!catalog.is_ambiguous(key), "{name}");
        let endpoint = catalog.endpoint(key).unwrap();
        assert!(endpoint.accepts_flows(at(1)), "{name}");
        assert_eq!(endpoint.revision, 9, "{name}");
        let earlier = catalog.by_tag(tag(1, 2000)).unwrap();
        assert!(!catalog.endpoint(earlier).unwrap().accepts_flows(at(1)));
        let forwarding = catalog.forwarding_endpoint(earlier).unwrap();
        assert_eq!(forwarding.entry.born_ms, 1000, "{name}");
        assert_eq!(catalog.endpoints().count(), 2, "{name}");
    }
}

#[test]
fn a_full_read_removes_entries_that_it_lacks() {
    let mut catalog = Catalog::default();
    for (id, revision) in [(1, 5), (2, 6), (3, 40)] {
        let update = written(id, revision, entry("ledger", id as u8, DC_A));
        catalog.apply_update(update, at(0), Duration::ZERO);
    }
    // Endpoint 3 was written after the read.
    assert_eq!(catalog.remove_missing(&[1], 30, at(10), Duration::ZERO), 1);
    let mut remaining: Vec<u64> = catalog
        .endpoints()
        .filter(|(_, endpoint)| endpoint.accepts_flows(at(10)))
        .map(|(_, endpoint)| endpoint.id)
        .collect();
    remaining.sort();
    assert_eq!(remaining, [1, 3]);
}

#[test]
fn a_merge_copies_the_catalog_to_another_vm() {
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
    let mut warming_up = entry("a", 1, DC_A);
    warming_up.warmup_left = Duration::from_millis(700);
    catalog.apply_update(written(1, 5, warming_up), at(0), Duration::ZERO);
    catalog.apply_update(written(2, 6, entry("a", 2, DC_A)), at(0), Duration::ZERO);
    catalog.apply_update(removed(2, 9), at(50), HOLD);
    catalog.advance(9, at(50));

    let mut other = Catalog::default();
    let summary = other.merge(&catalog.changed_after(0, at(100)), at(100));
    assert_eq!((summary.endpoints, summary.configuration), (2, true));
    assert_eq!(other.configuration(), catalog.configuration());
    for (_, endpoint) in catalog.endpoints() {
        let (_, copy) = other
            .endpoints()
            .find(|(_, copy)| copy.id == endpoint.id)
            .unwrap();
        assert_eq!(copy.revision, endpoint.revision);
        assert_eq!(copy.removal, endpoint.removal);
        let warmup_left = |moment: ragwortbeam_base::clock::Moment| moment.since(at(100));
        assert_eq!(
            warmup_left(copy.warmup_ends_at),
            warmup_left(endpoint.warmup_ends_at)
        );
    }
    let repeated = other.merge(&catalog.changed_after(0, at(100)), at(100));
    assert_eq!(repeated, MergeSummary::default());
    assert!(catalog.changed_after(9, at(100)).endpoints.is_empty());
}

#[test]
fn an_endpoint_is_kept_for_the_longest_lifetime_of_its_flows() {
    let lifetime = Duration::from_secs(60);
    let mut catalog = Catalog::default();
    catalog.apply_update(
        written(1, 5, entry("ledger", 1, DC_A)),
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
fn new_flows_are_shared_by_weight() {
    let route = route(ledger(), Traffic::Bulk, &[("a", 90), ("b", 10)]);
    let b = (0..1000)
        .filter(|flow_hash| **route.select_service(*flow_hash) == *"b")
        .count();
    assert_eq!(b, 100);
}

#[test]
fn older_confirmations_do_not_change_revision_or_age() {
    let mut catalog = Catalog::default();
    catalog.advance(9, at(1000));
    catalog.confirm(at(500));
    assert_eq!(catalog.age(at(1500)), Duration::from_millis(500));
    // A late response carries an older revision.
    catalog.advance(8, at(1400));
    assert_eq!(catalog.revision(), 9);
    assert_eq!(catalog.age(at(1500)), Duration::from_millis(500));
}
