//! Measures how message sizes, memory and time of steering VMs grow with the number of
//! endpoints, by calling the product's own code. docs/CAPACITY.md uses the slopes.

use std::hint::black_box;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use prost::Message;
use ragwortbeam_base::clock::Moment;
use ragwortbeam_steering::catalog::{Catalog, Change, Entry, EntryUpdate, Revision, Traffic};
use ragwortbeam_steering::choice::{PlacementRequest, choose};
use ragwortbeam_steering::load::{EndpointLoads, Loads, ReportedLoad};
use ragwortbeam_steering::mesh::columns;
use ragwortbeam_steering::subset::Subset;
use stats_alloc::{Region, StatsAlloc};
use std::alloc::System;

use crate::capacity::{Point, min_time_ns, point, report};

/// Data centres at the target size.
const DATA_CENTRES: u64 = 16;
/// Services with endpoints in each data centre, at the target size.
const SERVICES_PER_DATA_CENTRE: u64 = 275;

/// Numbers of endpoints to measure with, up to the target size.
const ENDPOINT_COUNTS: [u32; 4] = [3000, 12_000, 25_000, 49_000];

/// Address of the VM whose subset is selected.
const VM: Ipv4Addr = Ipv4Addr::new(10, 1, 0, 1);

/// Runs all measurements and prints their results. `allocator` has to be the global
/// allocator, as it counts the bytes that the measurements allocate.
pub fn run(allocator: &'static StatsAlloc<System>) {
    report("digest", "bytes", digest_bytes());
    report("load_report", "bytes", report_bytes());
    report("catalog_memory", "bytes", catalog_memory(allocator));
    report("subset", "us", subset_time());
    report("choice", "ns", choice_time());
}

fn sample_load(number: u32) -> ReportedLoad {
    ReportedLoad {
        open: number % 30,
        busy: number % 4,
        unanswered: 0,
        is_alive: true,
    }
}

/// Measures the size of a hub's digest by the number of endpoints in the subset.
fn digest_bytes() -> Vec<Point> {
    let sizes = [10, 100, 500, 1100];
    let points = sizes.map(|size| {
        let reports: Vec<ReportedLoad> = (0..size)
            .map(|number| ReportedLoad {
                is_alive: false,
                ..sample_load(number)
            })
            .collect();
        point(
            size,
            columns::encode_without_tags(&reports).encoded_len() as f64,
        )
    });
    points.to_vec()
}

/// Measures the size of a VM's load report by the number of endpoints whose load changed.
fn report_bytes() -> Vec<Point> {
    let sizes = [1, 10, 50, 200];
    let points = sizes.map(|size| {
        let loads: Loads = (0..size)
            .map(|number| (0x8000_0000 + number, sample_load(number)))
            .collect();
        point(size, columns::encode_with_tags(&loads).encoded_len() as f64)
    });
    points.to_vec()
}

/// Returns a catalog in which the endpoints of each service are all in one data centre.
fn catalog(endpoints: u32) -> Catalog {
    let endpoints = u64::from(endpoints);
    let mut catalog = Catalog::default();
    for number in 0..endpoints {
        let data_centre = number % DATA_CENTRES;
        let service = number / DATA_CENTRES % SERVICES_PER_DATA_CENTRE;
        let entry = Entry {
            service: service_name(data_centre, service),
            address: SocketAddrV4::new(Ipv4Addr::from(0x0a80_0000 + number as u32), 8080),
            data_centre: format!("dc-{data_centre}").into(),
            slots: 2,
            is_draining: false,
            warmup_left: Duration::ZERO,
            born_ms: 1,
        };
        let update = EntryUpdate {
            endpoint: number,
            revision: Revision::new(0, number + 1),
            change: Change::Written(entry),
        };
        catalog.apply_update(update, Moment::default(), Duration::ZERO);
    }
    catalog.advance(Revision::new(0, endpoints), Moment::default());
    catalog
}

fn service_name(data_centre: u64, service: u64) -> Arc<str> {
    format!("service-{data_centre}-{service}").into()
}

/// Measures the memory of a catalog by its number of endpoints.
fn catalog_memory(allocator: &'static StatsAlloc<System>) -> Vec<Point> {
    let measure = |endpoints: u32| {
        let region = Region::new(allocator);
        let catalog = catalog(endpoints);
        let change = region.change();
        black_box(&catalog);
        let bytes = change.bytes_allocated as f64 - change.bytes_deallocated as f64;
        point(endpoints, bytes)
    };
    ENDPOINT_COUNTS.map(measure).to_vec()
}

/// Measures the time to select a VM's subset anew after a change of the catalog, by the catalog's
/// number of endpoints.
fn subset_time() -> Vec<Point> {
    let measure = |endpoints: u32| {
        let catalog = catalog(endpoints);
        let time_ns = min_time_ns(|| {
            black_box(Subset::select(VM, "dc-0", &catalog, Moment::default()));
        });
        point(endpoints, time_ns / 1000.0)
    };
    ENDPOINT_COUNTS.map(measure).to_vec()
}

/// Measures the time to choose an endpoint for a new flow by the number of endpoints in the
/// catalog.
fn choice_time() -> Vec<Point> {
    const CHOICES: u32 = 10_000;
    let measure = |endpoints: u32| {
        let catalog = catalog(endpoints);
        let subset = Subset::select(VM, "dc-0", &catalog, Moment::default());
        let endpoint_loads = EndpointLoads::default();
        let service = service_name(0, 1);
        let request = PlacementRequest {
            service: &service,
            traffic: Traffic::Idempotent,
            data_centre: "dc-0",
            avoid: [None, None],
        };
        let mut random = rand::rng();
        let time_ns = min_time_ns(|| {
            for _ in 0..CHOICES {
                let now = Moment::default();
                black_box(choose(
                    &request,
                    &subset,
                    &catalog,
                    &endpoint_loads,
                    now,
                    &mut random,
                ));
            }
        });
        point(endpoints, time_ns / f64::from(CHOICES))
    };
    ENDPOINT_COUNTS.map(measure).to_vec()
}
