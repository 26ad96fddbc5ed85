//! Tests of a catalog whose store was restored from an earlier copy: what the copy lists, and what
//! is known to be later.

mod common;

use std::time::Duration;

use common::{DC_A, at, configuration, entry, ledger, route};
use ragwortbeam_steering::catalog::{
    Catalog, Change, Entry, EntryUpdate, EvacuationUpdate, Evacuations, Revision, Traffic, Warmup,
};

const HOLD: Duration = Duration::from_millis(2200);

/// Time after a restoration, milliseconds, at which what the copy lists is used.
const SETTLED_MS: u64 = 5000;

fn update(era: u64, number: u64, change: Change) -> EntryUpdate {
    EntryUpdate {
        endpoint: 1,
        revision: Revision::new(era, number),
        change,
    }
}

fn ready() -> Entry {
    entry("ledger", 1, DC_A)
}

fn draining() -> Entry {
    Entry {
        is_draining: true,
        ..ready()
    }
}

fn restarted() -> Entry {
    Entry {
        born_ms: 2000,
        ..ready()
    }
}

/// Returns a catalog that has read some changes of an endpoint in era 1, from revision 5 on.
fn known(changes: &[Change]) -> Catalog {
    let mut catalog = Catalog::default();
    catalog.apply_configuration(configuration(
        5,
        2,
        vec![route(ledger(), Traffic::Idempotent, &[("ledger", 1)])],
    ));
    for (change, number) in changes.iter().zip(5..) {
        catalog.apply_update(update(1, number, change.clone()), at(0), Duration::ZERO);
    }
    catalog.advance(Revision::new(1, 20), at(0));
    catalog
}

fn is_usable(catalog: &Catalog, ms: u64) -> bool {
    catalog.endpoints().any(|(_, it)| it.accepts_flows(at(ms)))
}

/// Guards against new flows to an endpoint that drains or has left, and against one that stays unused
/// although the store lists it.
#[test]
fn a_copied_entry_does_not_replace_a_later_state_until_it_is_settled() {
    struct Case {
        name: &'static str,
        /// Changes of the endpoint's entry before the restoration.
        before: Vec<Change>,
        /// Entry in the copy.
        copied: Entry,
        /// Change after the restoration.
        after: Option<Change>,
        /// Whether the endpoint is usable after the full read, after `after`, and when settled.
        usable: [bool; 3],
    }
    let written = Change::Written;
    let cases = [
        Case {
            name: "the endpoint drains and writes again",
            before: vec![written(draining())],
            copied: ready(),
            after: Some(written(draining())),
            usable: [false, false, false],
        },
        Case {
            name: "the endpoint left and its lease ends again",
            before: vec![written(draining()), Change::Removed],
            copied: ready(),
            after: Some(Change::Removed),
            usable: [false, false, false],
        },
        Case {
            name: "an entry that could not be read is ready again",
            before: vec![written(ready()), Change::Unreadable],
            copied: ready(),
            after: None,
            usable: [false, false, true],
        },
        Case {
            name: "the endpoint crashed and its lease ends again",
            before: vec![written(ready()), Change::Removed],
            copied: ready(),
            after: Some(Change::Removed),
            usable: [false, false, false],
        },
        Case {
            name: "the endpoint was cut off and renews the copied entry",
            before: vec![written(ready()), Change::Removed],
            copied: ready(),
            after: None,
            usable: [false, false, true],
        },
        Case {
            name: "the endpoint writes again at once",
            before: vec![written(ready()), Change::Removed],
            copied: ready(),
            after: Some(written(ready())),
            usable: [false, true, true],
        },
        Case {
            name: "the endpoint started again after the copy",
            before: vec![written(draining()), written(restarted())],
            copied: draining(),
            after: Some(written(restarted())),
            usable: [true, true, true],
        },
        Case {
            name: "the copy has a later start that was not known yet",
            before: vec![written(draining())],
            copied: restarted(),
            after: None,
            usable: [true, true, true],
        },
        Case {
            name: "the copy has a drain that was not known yet",
            before: vec![written(ready())],
            copied: draining(),
            after: None,
            usable: [false, false, false],
        },
    ];
    for case in cases {
        // The VM that reads the store, and one that gets its catalog from another VM, which knows
        // nothing from before the restoration.
        let mut reader = known(&case.before);
        let mut receiver = known(&case.before);
        let listed = update(2, 6, Change::Written(case.copied.clone()));
        reader.apply_restored(listed.clone(), at(0), HOLD);
        let mut sender = Catalog::default();
        sender.apply_update(listed, at(0), HOLD);
        let whole = sender.changed_after(Revision::NONE, 0, at(0));
        receiver.merge(&whole, Revision::new(2, 6), true, at(0));
        for (name, mut catalog) in [("reader", reader), ("receiver", receiver)] {
            let name = format!("{}: {name}", case.name);
            catalog.advance(Revision::new(2, 6), at(0));
            catalog.settle(at(0));
            assert_eq!(is_usable(&catalog, 0), case.usable[0], "{name}, restored");
            if let Some(after) = &case.after {
                catalog.apply_update(update(2, 7, after.clone()), at(100), HOLD);
                catalog.advance(Revision::new(2, 7), at(100));
            }
            catalog.settle(at(100));
            assert_eq!(is_usable(&catalog, 100), case.usable[1], "{name}, changed");
            let state_id = catalog.state_id();
            catalog.confirm(at(SETTLED_MS));
            catalog.settle(at(SETTLED_MS));
            assert_eq!(
                is_usable(&catalog, SETTLED_MS),
                case.usable[2],
                "{name}, settled"
            );
            let has_changed = case.usable[1] != case.usable[2];
            assert_eq!(state_id != catalog.state_id(), has_changed, "{name}");
        }
    }
}

/// Guards against entries that are lost because a VM which read only the copy passes it on.
#[test]
fn entries_that_the_copy_lacks_are_held_until_they_are_written_again() {
    let mut receiver = known(&[Change::Written(ready())]);
    let whole = Catalog::default().changed_after(Revision::NONE, 0, at(0));
    receiver.merge(&whole, Revision::new(2, 3), true, at(0));
    receiver.advance(Revision::new(2, 3), at(0));
    assert!(is_usable(&receiver, 2100));
    assert!(!is_usable(&receiver, 2300));
    let renewed = update(2, 4, Change::Written(ready()));
    receiver.apply_update(renewed, at(2400), HOLD);
    assert!(is_usable(&receiver, 2400));
}

/// Guards against a configuration that comes back older, or is not taken because its version was
/// given out before.
#[test]
fn the_latest_version_of_the_configuration_is_kept_through_restorations() {
    struct Case {
        name: &'static str,
        version: u64,
        revision: Revision,
        is_taken: bool,
    }
    let case = |name, version, era, number, is_taken| Case {
        name,
        version,
        revision: Revision::new(era, number),
        is_taken,
    };
    let cases = [
        case("an older version of the copy", 8, 2, 25, false),
        case("the same version, written again", 11, 2, 3, true),
        case("a later version below the known revision", 14, 2, 4, true),
        case("a later version of before the restoration", 14, 1, 24, true),
        case("the same version of an earlier era", 11, 0, 99, false),
    ];
    for case in cases {
        let mut known = configuration(11, 0, Vec::new());
        known.revision = Revision::new(1, 23);
        let mut catalog = Catalog::default();
        assert!(catalog.apply_configuration(known));
        let mut other = configuration(case.version, 0, Vec::new());
        other.revision = case.revision;
        let is_taken = catalog.apply_configuration(other);
        assert_eq!(is_taken, case.is_taken, "{}", case.name);
        let version = catalog.configuration().version;
        assert_eq!(version, case.version.max(11), "{}", case.name);
    }
}

/// Guards against a VM that keeps the copy's configuration because its catalog is as new as that of
/// the VM that has a later one.
#[test]
fn a_later_configuration_is_passed_on_between_catalogs_of_one_revision() {
    let mut latest = configuration(11, 0, Vec::new());
    latest.revision = Revision::new(1, 23);
    let mut copied = configuration(8, 0, Vec::new());
    copied.revision = Revision::new(2, 20);
    let mut sender = Catalog::default();
    let mut receiver = Catalog::default();
    sender.apply_configuration(latest);
    receiver.apply_configuration(copied);
    let revision = Revision::new(2, 25);
    sender.advance(revision, at(0));
    receiver.advance(revision, at(0));
    assert!(sender.view(at(0)).configuration_version > receiver.view(at(0)).configuration_version);
    let message = sender.changed_after(revision, receiver.configuration().version, at(0));
    assert!(receiver.merge_configuration(&message));
    assert_eq!(receiver.configuration().version, 11);
    let message = sender.changed_after(revision, receiver.configuration().version, at(0));
    assert!(message.configuration.is_none());
}

/// Guards against refusals because endpoints that have warmed up since the copy are held to the limit
/// of those that warm up.
#[test]
fn a_copied_entry_does_not_restart_a_warm_up() {
    let warming = Entry {
        warmup_left: Duration::from_millis(2000),
        ..ready()
    };
    let mut reader = known(&[Change::Written(warming.clone())]);
    let mut receiver = known(&[Change::Written(warming.clone())]);
    let mut settled = known(&[Change::Written(warming.clone()), Change::Removed]);
    let listed = update(2, 5, Change::Written(warming));
    let restored_at = at(2500);
    reader.apply_restored(listed.clone(), restored_at, HOLD);
    settled.apply_restored(listed.clone(), restored_at, HOLD);
    let mut sender = Catalog::default();
    sender.apply_update(listed, restored_at, HOLD);
    let whole = sender.changed_after(Revision::NONE, 0, restored_at);
    receiver.merge(&whole, Revision::new(2, 5), true, restored_at);
    settled.confirm(at(2500 + SETTLED_MS));
    settled.settle(at(2500 + SETTLED_MS));
    let cases = [
        ("reader", reader, 2500),
        ("receiver", receiver, 2500),
        ("settled", settled, 2500 + SETTLED_MS),
    ];
    for (name, catalog, ms) in cases {
        let (_, endpoint) = catalog.endpoints().next().unwrap();
        assert!(endpoint.accepts_flows(at(ms)), "{name}");
        assert!(!endpoint.is_warming_up(at(ms)), "{name}");
    }
}

/// Guards against more requests than an endpoint bears after an evacuation, because a copied entry
/// ends its warm-up.
#[test]
fn a_copied_entry_does_not_end_a_warm_up() {
    let mut catalog = known(&[Change::Written(ready())]);
    let mut limited = configuration(6, 3, Vec::new());
    let warmup = Warmup {
        duration: Duration::from_secs(8),
        rate_per_s: 2.0,
    };
    limited.warmups.insert("ledger".into(), warmup);
    catalog.apply_configuration(limited);
    let order = |number, is_ordered| EvacuationUpdate {
        data_centre: DC_A.into(),
        revision: Revision::new(1, number),
        is_ordered,
    };
    let orders = vec![order(21, true), order(22, false)];
    for order in orders {
        let revision = order.revision;
        catalog.apply_evacuations(vec![order], revision, at(0));
    }
    catalog.apply_restored(update(2, 5, Change::Written(ready())), at(100), HOLD);
    let (_, endpoint) = catalog.endpoints().next().unwrap();
    assert!(endpoint.is_warming_up(at(7900)));
    assert!(!endpoint.is_warming_up(at(8000)));
}

/// Guards against a copied entry that is used, and an order that ends, because the store went away
/// again before its writers could write.
#[test]
fn what_a_restoration_left_open_stays_open_while_the_store_is_away() {
    let mut catalog = known(&[Change::Written(draining())]);
    let order = EvacuationUpdate {
        data_centre: DC_A.into(),
        revision: Revision::new(1, 20),
        is_ordered: true,
    };
    catalog.apply_evacuations(vec![order], Revision::new(1, 20), at(0));
    let restored = Revision::new(2, 6);
    catalog.replace_evacuations(Evacuations::new(restored, []), at(0));
    catalog.apply_restored(update(2, 6, Change::Written(ready())), at(0), HOLD);
    catalog.advance(restored, at(0));
    for ms in (200..10_000).step_by(200) {
        catalog.settle(at(ms));
        assert!(!is_usable(&catalog, ms), "{ms} ms");
        assert!(catalog.evacuations().contains(DC_A), "{ms} ms");
    }
    // The store returns, and nobody writes again.
    for ms in (10_000..14_000).step_by(200) {
        catalog.confirm(at(ms));
        catalog.settle(at(ms));
        assert!(!is_usable(&catalog, ms), "{ms} ms");
        assert!(catalog.evacuations().contains(DC_A), "{ms} ms");
    }
    catalog.confirm(at(15_000));
    catalog.settle(at(15_000));
    assert!(is_usable(&catalog, 15_000));
    assert!(!catalog.evacuations().contains(DC_A));
}
