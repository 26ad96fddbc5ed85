//! Tests of the deterministic subsets of endpoints: size, coverage, agreement between VMs and
//! updates.

mod common;

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use common::{DC_A, DC_B, at, entry, removed, revision, written};
use ragwortbeam_steering::catalog::Catalog;
use ragwortbeam_steering::subset::{Subset, SubsetCache};

fn vm(last_octet: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 1, 0, last_octet)
}

/// Returns a catalog with `count` endpoints of each service in each data centre.
fn catalog(services: usize, count: u64) -> Catalog {
    let mut catalog = Catalog::default();
    let mut id = 0;
    for service in 0..services {
        for data_centre in [DC_A, DC_B] {
            for _ in 0..count {
                id += 1;
                let entry = entry(&format!("service-{service}"), id as u8, data_centre);
                catalog.apply_update(written(id, id, entry), at(0), Duration::ZERO);
            }
        }
    }
    catalog.advance(revision(id), at(0));
    catalog
}

fn select(last_octet: u8, catalog: &Catalog) -> Subset {
    Subset::select(vm(last_octet), DC_A, catalog, at(0))
}

#[test]
fn the_size_of_a_subset_is_bounded() {
    struct Case {
        services: usize,
        endpoints: u64,
        local: usize,
        all: usize,
    }
    let cases = [
        Case {
            services: 2,
            endpoints: 30,
            local: 60,
            all: 120,
        },
        Case {
            services: 2,
            endpoints: 600,
            local: 128,
            all: 256,
        },
        Case {
            services: 16,
            endpoints: 100,
            local: 512,
            all: 1024,
        },
        Case {
            services: 275,
            endpoints: 11,
            local: 1100,
            all: 2200,
        },
    ];
    for case in cases {
        let catalog = catalog(case.services, case.endpoints);
        let subset = select(1, &catalog);
        let sizes = (subset.tags(false).len(), subset.tags(true).len());
        let name = format!("{} services of {}", case.services, case.endpoints);
        assert_eq!(sizes, (case.local, case.all), "{name}");
    }
}

#[test]
fn subsets_of_many_vms_cover_nearly_all_endpoints() {
    let catalog = catalog(1, 600);
    let mut uses: HashMap<u32, u32> = HashMap::new();
    for last_octet in 0..75 {
        for tag in select(last_octet, &catalog).tags(false) {
            *uses.entry(*tag).or_default() += 1;
        }
    }
    // With 64 of 600 endpoints for each of 75 VMs, an endpoint is in 8 subsets on average.
    let unused = 600 - uses.len();
    assert!(unused <= 2, "{unused} endpoints are in no subset");
    let most = uses.values().max().unwrap();
    assert!(*most <= 24, "an endpoint is in {most} subsets");
}

#[test]
fn equal_catalogs_give_equal_subsets() {
    let (left, right) = (catalog(2, 100), catalog(2, 100));
    let (left_subset, right_subset) = (select(1, &left), select(1, &right));
    assert_eq!(left_subset.tags(true), right_subset.tags(true));
    assert_eq!(left_subset.checksum(), right_subset.checksum());
    assert_ne!(left_subset.checksum(), select(2, &left).checksum());
}

#[test]
fn a_cached_subset_is_updated_with_the_catalog() {
    let mut catalog = catalog(1, 3);
    let mut subsets = SubsetCache::default();
    let mut tags = |catalog: &Catalog, ms| {
        let subset = subsets.get_or_select(vm(1), DC_A, catalog, at(ms));
        subset.tags(false).len()
    };
    assert_eq!(tags(&catalog, 0), 3);
    catalog.apply_update(removed(1, 10), at(100), Duration::from_millis(500));
    catalog.advance(revision(10), at(100));
    // The endpoint is kept until the hold of its removed entry ends.
    assert_eq!(tags(&catalog, 100), 3);
    assert_eq!(tags(&catalog, 600), 2);
    let mut draining = entry("service-0", 2, DC_A);
    draining.is_draining = true;
    catalog.apply_update(written(2, 11, draining), at(700), Duration::ZERO);
    catalog.advance(revision(11), at(700));
    assert_eq!(tags(&catalog, 700), 1);
}
