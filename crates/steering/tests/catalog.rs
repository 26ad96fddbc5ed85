//! Tests of the catalog: order of revisions, removals, restarts and messages between VMs.

mod common;

use std::time::Duration;

use common::{DC_A, at, configuration, entry, ledger, removed, revision, route, vault, written};
use ragwortbeam_steering::catalog::{
    Catalog, Change, Entry, EntryUpdate, MergeSummary, Revision, Traffic, address_mask, tag,
};
use ragwortbeam_steering::message;

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
                    revision: revision(6),
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
    same_version.revision = revision(30);
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
    for (number, born_ms) in [(5, 1000), (6, 2000), (7, 1000), (8, 2000), (9, 1000)] {
        read.apply_update(written(1, number, start(born_ms)), at(0), HOLD);
        merged.merge(
            &read.changed_after(revision(number - 1), u64::MAX, at(0)),
            Revision::NONE,
            false,
            at(0),
        );
    }
    let mut copied = Catalog::default();
    copied.merge(
        &read.changed_after(revision(0), u64::MAX, at(0)),
        Revision::NONE,
        false,
        at(0),
    );
    for (name, catalog) in [("read", read), ("merged", merged), ("copied", copied)] {
        let key = catalog.by_tag(tag(1, 1000)).unwrap();
        assert!(!catalog.is_ambiguous(key), "{name}");
        let endpoint = catalog.endpoint(key).unwrap();
        assert!(endpoint.accepts_flows(at(1)), "{name}");
        assert_eq!(endpoint.revision, revision(9), "{name}");
        let earlier = catalog.by_tag(tag(1, 2000)).unwrap();
        assert!(!catalog.endpoint(earlier).unwrap().accepts_flows(at(1)));
        let forwarding = catalog.forwarding_endpoint(earlier).unwrap();
        assert_eq!(forwarding.entry.born_ms, 1000, "{name}");
        assert_eq!(catalog.endpoints().count(), 2, "{name}");
    }
}

/// Guards against an entry of another writer that replaces a running endpoint: its open flows were
/// reset, or their packets sent elsewhere.
#[test]
fn a_doubtful_entry_stops_new_flows_until_the_endpoint_writes_again() {
    struct Case {
        name: &'static str,
        odd: Entry,
    }
    let good = || entry("ledger", 1, DC_A);
    let cases = [
        Case {
            name: "no start time",
            odd: Entry {
                born_ms: 0,
                ..good()
            },
        },
        Case {
            name: "a service without a route",
            odd: Entry {
                service: "nowhere".into(),
                ..entry("ledger", 7, DC_A)
            },
        },
    ];
    for case in cases {
        let mut read = Catalog::default();
        let routes = vec![route(ledger(), Traffic::Idempotent, &[("ledger", 1)])];
        read.apply_configuration(configuration(5, 2, routes));
        read.apply_update(written(1, 5, good()), at(0), HOLD);
        read.apply_update(written(2, 6, entry("ledger", 2, DC_A)), at(0), HOLD);
        let mut merged = Catalog::default();
        merged.merge(
            &read.changed_after(revision(0), u64::MAX, at(0)),
            Revision::NONE,
            false,
            at(0),
        );
        // A VM of an earlier version passes the entry on as it is.
        let mut undoubting = Catalog::default();
        undoubting.apply_update(written(1, 7, case.odd.clone()), at(10), HOLD);
        let passed_on = undoubting.changed_after(revision(6), u64::MAX, at(10));
        assert!(read.apply_update(written(1, 7, case.odd), at(10), HOLD));
        merged.merge(&passed_on, Revision::NONE, false, at(10));
        for (source, catalog) in [("read", &mut read), ("merged", &mut merged)] {
            let name = format!("{}, {source}", case.name);
            let key = catalog.by_tag(tag(1, 1000)).unwrap();
            let endpoint = catalog.endpoint(key).unwrap();
            assert!(!endpoint.accepts_flows(at(20)), "{name}");
            assert!(!endpoint.is_gone(at(9000)), "{name}");
            let forwarding = catalog.forwarding_endpoint(key).unwrap();
            assert_eq!(forwarding.entry.address, good().address, "{name}");
            let accepting = catalog
                .endpoints()
                .filter(|(_, it)| it.accepts_flows(at(20)));
            assert_eq!(
                accepting.map(|(_, it)| it.id).collect::<Vec<_>>(),
                [2],
                "{name}"
            );
            catalog.apply_update(written(1, 8, good()), at(30), HOLD);
            let endpoint = catalog.endpoint(key).unwrap();
            assert!(endpoint.accepts_flows(at(30)), "{name}");
            assert!(!catalog.is_ambiguous(key), "{name}");
        }
    }
}

#[test]
fn entries_without_start_times_are_used_where_no_entry_has_one() {
    let mut catalog = Catalog::default();
    for id in [1, 2] {
        let entry = Entry {
            born_ms: 0,
            ..entry("ledger", id as u8, DC_A)
        };
        catalog.apply_update(written(id, 5 + id, entry), at(0), HOLD);
    }
    assert!(catalog.endpoints().all(|(_, it)| it.accepts_flows(at(1))));
}

/// Guards against entries that VMs pass on to each other and that the receiver cannot use: they
/// neither end the merge nor are used in another form, such as a truncated port.
#[test]
fn a_merge_uses_no_endpoint_or_route_with_values_out_of_range() {
    struct Case {
        name: &'static str,
        alter: fn(&mut message::Endpoint),
    }
    let cases = [
        Case {
            name: "port above 65535",
            alter: |it| it.port = 65_536 + 8080,
        },
        Case {
            name: "port 0",
            alter: |it| it.port = 0,
        },
        Case {
            name: "no address",
            alter: |it| it.ip = 0,
        },
        Case {
            name: "broadcast address",
            alter: |it| it.ip = u32::MAX,
        },
        Case {
            name: "id 0",
            alter: |it| it.id = 0,
        },
        Case {
            name: "no slots",
            alter: |it| it.slots = 0,
        },
        Case {
            name: "too many slots",
            alter: |it| it.slots = u32::MAX,
        },
        Case {
            name: "no service",
            alter: |it| it.service.clear(),
        },
        Case {
            name: "service too long",
            alter: |it| it.service = "a".repeat(60_000),
        },
        Case {
            name: "data centre with a line break",
            alter: |it| it.data_centre = "a\nb".to_owned(),
        },
        Case {
            name: "endless warm-up",
            alter: |it| it.warmup_left_ms = u32::MAX,
        },
        Case {
            name: "removed long ago, held for long",
            alter: |it| {
                it.removal = Some(message::Removal {
                    age_ms: u32::MAX,
                    hold_ms: 0,
                });
            },
        },
        Case {
            name: "no start time",
            alter: |it| it.born_ms = 0,
        },
    ];
    for case in cases {
        let mut sender = Catalog::default();
        let routes = vec![
            route(ledger(), Traffic::Idempotent, &[("ledger", 1)]),
            route(vault(), Traffic::Bulk, &[("vault", 1)]),
        ];
        sender.apply_configuration(configuration(5, 2, routes));
        for id in [1, 2, 3] {
            let entry = entry("ledger", id as u8, DC_A);
            sender.apply_update(written(id, 5 + id, entry), at(0), HOLD);
        }
        let mut receiver = Catalog::default();
        receiver.merge(
            &sender.changed_after(revision(0), u64::MAX, at(0)),
            Revision::NONE,
            false,
            at(0),
        );
        let mut changes = sender.changed_after(revision(0), u64::MAX, at(0));
        for endpoint in &mut changes.endpoints {
            endpoint.revision += 10;
            if endpoint.id == 2 {
                (case.alter)(endpoint);
            }
        }
        let routes = &mut changes.configuration.as_mut().unwrap().routes;
        let vault_ip = u32::from(*vault().ip());
        for route in routes.iter_mut().filter(|route| route.ip == vault_ip) {
            route.port += 65_536;
        }
        for (name, mut catalog) in [("known", receiver), ("unknown", Catalog::default())] {
            catalog.merge(&changes, Revision::NONE, false, at(10));
            let accepting = catalog
                .endpoints()
                .filter(|(_, it)| it.accepts_flows(at(20)) && it.revision > revision(10));
            let mut ids: Vec<u64> = accepting.map(|(_, it)| it.id).collect();
            ids.sort();
            assert_eq!(ids, [1, 3], "{}, {name}", case.name);
            let is_known = name == "known";
            assert_eq!(catalog.route(vault()).is_some(), is_known, "{}", case.name);
            assert!(catalog.route(ledger()).is_some(), "{}", case.name);
        }
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
    assert_eq!(
        catalog.remove_missing(&[1], revision(30), at(10), Duration::ZERO),
        1
    );
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
    catalog.advance(revision(9), at(50));

    let mut other = Catalog::default();
    let summary = other.merge(
        &catalog.changed_after(revision(0), u64::MAX, at(100)),
        Revision::NONE,
        false,
        at(100),
    );
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
    let repeated = other.merge(
        &catalog.changed_after(revision(0), u64::MAX, at(100)),
        Revision::NONE,
        false,
        at(100),
    );
    assert_eq!(repeated, MergeSummary::default());
    assert!(
        catalog
            .changed_after(revision(9), u64::MAX, at(100))
            .endpoints
            .is_empty()
    );
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
    assert_eq!(catalog.dropped_revision(), revision(6));
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
    catalog.advance(revision(9), at(1000));
    catalog.confirm(at(500));
    assert_eq!(catalog.age(at(1500)), Duration::from_millis(500));
    // A late response carries an older revision.
    catalog.advance(revision(8), at(1400));
    assert_eq!(catalog.revision(), revision(9));
    assert_eq!(catalog.age(at(1500)), Duration::from_millis(500));
}
