//! Subsets of endpoints by VM.

mod common;

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use common::{HERE, THERE, at, entry, removed, written};
use ragwortbeam_steering::catalog::Catalog;
use ragwortbeam_steering::subset::{Subset, SubsetCache};

fn vm(last: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 1, 0, last)
}

/// Returns a catalog with `count` endpoints of each service in each data centre.
fn catalog(services: usize, count: u64) -> Catalog {
    let mut catalog = Catalog::default();
    let mut id = 0;
    for service in 0..services {
        for data_centre in [HERE, THERE] {
            for _ in 0..count {
                id += 1;
                let entry = entry(&format!("service-{service}"), id as u8, data_centre);
                catalog.apply_update(written(id, id, entry), at(0), Duration::ZERO);
            }
        }
    }
    catalog.advance(id, at(0));
    catalog
}

fn select(last: u8, catalog: &Catalog) -> Subset {
    Subset::select(vm(last), HERE, catalog, at(0))
}

#[test]
fn the_size_is_bounded() {
    struct Case {
        services: usize,
        endpoints: u64,
        near: usize,
        all: usize,
    }
    let cases = [
        Case {
            services: 2,
            endpoints: 30,
            near: 60,
            all: 120,
        },
        Case {
            services: 2,
            endpoints: 600,
            near: 128,
            all: 256,
        },
        Case {
            services: 16,
            endpoints: 100,
            near: 512,
            all: 1024,
        },
        Case {
            services: 275,
            endpoints: 11,
            near: 1100,
            all: 2200,
        },
    ];
    for case in cases {
        let catalog = catalog(case.services, case.endpoints);
        let subset = select(1, &catalog);
        let sizes = (subset.tags(false).len(), subset.tags(true).len());
        let name = format!("{} services of {}", case.services, case.endpoints);
        assert_eq!(sizes, (case.near, case.all), "{name}");
    }
}

#[test]
fn vms_use_all_endpoints_between_them() {
    let catalog = catalog(1, 600);
    let mut uses: HashMap<u32, u32> = HashMap::new();
    for last in 0..75 {
        for tag in select(last, &catalog).tags(false) {
            *uses.entry(*tag).or_default() += 1;
        }
    }
    // 75 VMs with 64 of 600 endpoints each use one 8 times on average.
    let unused = 600 - uses.len();
    assert!(unused <= 2, "{unused} endpoints are in no subset");
    let most = uses.values().max().unwrap();
    assert!(*most <= 24, "an endpoint is in {most} subsets");
}

#[test]
fn equal_catalogs_give_equal_subsets() {
    let (left, right) = (catalog(2, 100), catalog(2, 100));
    let (here, elsewhere) = (select(1, &left), select(1, &right));
    assert_eq!(here.tags(true), elsewhere.tags(true));
    assert_eq!(here.checksum(), elsewhere.checksum());
    assert_ne!(here.checksum(), select(2, &left).checksum());
}

#[test]
fn a_subset_follows_the_catalog() {
    let mut catalog = catalog(1, 3);
    let mut subsets = SubsetCache::default();
    let mut tags = |catalog: &Catalog, ms| {
        let subset = subsets.get_or_select(vm(1), HERE, catalog, at(ms));
        subset.tags(false).len()
    };
    assert_eq!(tags(&catalog, 0), 3);
    catalog.apply_update(removed(1, 10), at(100), Duration::from_millis(500));
    catalog.advance(10, at(100));
    // The entry may return until its hold ends.
    assert_eq!(tags(&catalog, 100), 3);
    assert_eq!(tags(&catalog, 600), 2);
    let mut draining = entry("service-0", 2, HERE);
    draining.is_draining = true;
    catalog.apply_update(written(2, 11, draining), at(700), Duration::ZERO);
    catalog.advance(11, at(700));
    assert_eq!(tags(&catalog, 700), 1);
}
