//! Measures how memory, time and message sizes grow with flows, endpoints and VMs, by
//! calling the product's own code. docs/CAPACITY.md uses the slopes.

use std::hint::black_box;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use prost::Message;
use ragwortbeam::document::{EndpointEntry, Note, ServiceChange, ServiceEntry, Snapshot};
use ragwortbeam::flow::record::Feed;
use ragwortbeam::flow::{Key, Record, Table};
use ragwortbeam::id;
use ragwortbeam::membership::{Member, View};
use ragwortbeam::message::frame::Body;
use ragwortbeam::message::{Health, Ping, Records, Rumour};
use ragwortbeam::release::State;
use ragwortbeam::wire::coap::Token;
use ragwortbeam::wire::frame::{Key as FrameKey, Opener, Sealer};
use stats_alloc::{Region, StatsAlloc};
use std::alloc::System;

const DATA_CENTRE: &str = "nairobi-1";

/// Repetitions of a timed step. The shortest time is reported, because noise only adds
/// to it.
const REPETITIONS: usize = 5;

/// One measurement.
#[derive(Clone, Copy, Debug)]
pub struct Point {
    /// Size, such as a number of flows.
    pub x: f64,
    /// Value measured at that size.
    pub y: f64,
}

/// Linear regression by ordinary least squares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// Increase of the value for each unit of size.
    pub slope: f64,
    /// Value at size 0.
    pub intercept: f64,
    /// Standard error of the slope.
    pub slope_error: f64,
}

impl Fit {
    /// Fits a line to at least three points of different sizes.
    pub fn from_points(points: &[Point]) -> Self {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|point| point.x).sum::<f64>() / count;
        let mean_y = points.iter().map(|point| point.y).sum::<f64>() / count;
        let sum_of_squares_x: f64 = points.iter().map(|point| (point.x - mean_x).powi(2)).sum();
        let products = points
            .iter()
            .map(|point| (point.x - mean_x) * (point.y - mean_y));
        let slope = products.sum::<f64>() / sum_of_squares_x;
        let intercept = mean_y - slope * mean_x;
        let residuals = points
            .iter()
            .map(|point| (point.y - intercept - slope * point.x).powi(2));
        let slope_error = (residuals.sum::<f64>() / (count - 2.0) / sum_of_squares_x).sqrt();
        Self {
            slope,
            intercept,
            slope_error,
        }
    }
}

/// Runs all measurements and prints their results. `allocator` has to be the global
/// allocator, as it counts the bytes that the measurements allocate.
pub fn run(allocator: &'static StatsAlloc<System>) {
    println!("measure size reading unit");
    report("flow_memory", "bytes", flow_memory(allocator));
    report("flow_open", "ns", flow_open());
    report("flow_packet", "ns", flow_packet());
    report("owner_lookup", "ns", owner_lookup());
    report("view_memory", "bytes", view_memory(allocator));
    report("release_apply", "us", release_apply());
    report("release_delta", "bytes", release_delta());
    report("snapshot", "bytes", snapshot_bytes());
    report("probe_frame", "bytes", probe_frame());
    report("probe_round", "ns", probe_round());
    report("replica_feeds", "bytes", replica_feeds());
    report("handover", "bytes", handover_bytes());
    report("handover_plan", "us", handover_plan());
}

/// Prints the points of a measurement and their regression line.
pub fn report(name: &str, unit: &str, points: Vec<Point>) {
    for point in &points {
        println!("{name} {} {:.1} {unit}", point.x, point.y);
    }
    let fit = Fit::from_points(&points);
    println!(
        "{name} fit slope={:.4} intercept={:.1} slope_error={:.4} {unit}",
        fit.slope, fit.intercept, fit.slope_error
    );
}

fn flow_key(index: u32) -> Key {
    let ip = (0x0a00_0000 + index / 16).to_be_bytes();
    Key {
        service: id::Service(7),
        caller: SocketAddr::new(ip.into(), 1024 + (index % 16) as u16),
    }
}

fn table_with_flows(flows: u32) -> Table {
    let table = Table::new(flows as usize);
    for index in 0..flows {
        table
            .with_or_insert(flow_key(index), |record| {
                record.endpoint = Some(id::Endpoint(1))
            })
            .expect("the table has room for every flow");
    }
    table
}

/// Measures the memory of a flow table by its number of flows.
fn flow_memory(allocator: &'static StatsAlloc<System>) -> Vec<Point> {
    let sizes = [50_000, 100_000, 200_000, 500_000];
    let measure = |flows: u32| {
        let region = Region::new(allocator);
        let table = table_with_flows(flows);
        let change = region.change();
        black_box(&table);
        let retained_bytes = change.bytes_allocated as f64 - change.bytes_deallocated as f64
            + change.bytes_reallocated as f64;
        point(flows, retained_bytes)
    };
    sizes.into_iter().map(measure).collect()
}

/// Measures the time to fill a flow table by its number of flows.
fn flow_open() -> Vec<Point> {
    let measure = |flows: u32| {
        let time_ns = min_time_ns(|| {
            black_box(table_with_flows(flows));
        });
        point(flows, time_ns)
    };
    [50_000, 100_000, 200_000]
        .into_iter()
        .map(measure)
        .collect()
}

/// Measures the time to look up the flows of packets by the number of packets.
fn flow_packet() -> Vec<Point> {
    let table = table_with_flows(200_000);
    let measure = |packets: u32| {
        let time_ns = min_time_ns(|| {
            // The large step spreads consecutive packets over the table.
            for index in 0..packets {
                black_box(table.with(flow_key(index.wrapping_mul(7919) % 200_000), |_| ()));
            }
        });
        point(packets, time_ns)
    };
    [50_000, 100_000, 200_000]
        .into_iter()
        .map(measure)
        .collect()
}

fn view(vms: u32) -> View {
    let members = (1..vms).map(|index| {
        let member = Member {
            name: format!("vm-{index}"),
            address: SocketAddr::new([10, 0, 0, 1].into(), 7400),
            data_centre: DATA_CENTRE.to_owned(),
            listed_leaving: false,
            incarnation: 1,
            revision: 0,
            health: Health::Alive,
        };
        (id::Vm::of(&member.name), Arc::new(member))
    });
    View::new(id::Vm::of("me"), DATA_CENTRE, members.collect(), true)
}

/// Measures the time to rank the VMs for one flow by the number of VMs.
fn owner_lookup() -> Vec<Point> {
    let lookups = 10_000;
    let measure = |vms: u32| {
        let view = view(vms);
        let time_ns = min_time_ns(|| {
            for hash in 0..lookups {
                black_box(view.rank(hash));
            }
        });
        point(vms, time_ns / lookups as f64)
    };
    [17, 69, 138, 275, 300].into_iter().map(measure).collect()
}

/// Measures the memory of one more copy of a membership view by its number of VMs. Each
/// change of the owners adds a copy.
fn view_memory(allocator: &'static StatsAlloc<System>) -> Vec<Point> {
    let measure = |vms: u32| {
        let view = view(vms);
        let region = Region::new(allocator);
        let copy = black_box(view.clone());
        let bytes = region.change().bytes_allocated as f64;
        drop(copy);
        point(vms, bytes)
    };
    [1000, 2000, 4400].into_iter().map(measure).collect()
}

fn endpoints(range: std::ops::Range<u32>) -> Vec<EndpointEntry> {
    let entry = |index: u32| EndpointEntry {
        address: SocketAddr::new((0x0a80_0000 + index).to_be_bytes().into(), 5683).to_string(),
        data_centre: DATA_CENTRE.to_owned(),
        slots: 3,
        draining: false,
    };
    range.map(entry).collect()
}

/// Returns a snapshot whose services have ten endpoints each; `endpoint_count` is a
/// multiple of ten.
fn snapshot(endpoint_count: u32) -> Snapshot {
    let per_service = 10;
    let services = (0..endpoint_count / per_service).map(|index| ServiceEntry {
        name: format!("service-{index}"),
        kind: "requests".to_owned(),
        address: SocketAddr::new((0x0a40_0000 + index).to_be_bytes().into(), 5683).to_string(),
        data_centres: vec![DATA_CENTRE.to_owned()],
        endpoints: endpoints(index * per_service..(index + 1) * per_service),
    });
    Snapshot {
        number: 1,
        services: services.collect(),
    }
}

/// Returns a note that adds ten endpoints to each of `count / 10` services.
fn note(count: u32) -> Note {
    let changed = (0..count / 10).map(|index| ServiceChange {
        service: format!("service-{index}"),
        added: endpoints(1_000_000 + index * 10..1_000_000 + (index + 1) * 10),
        ..ServiceChange::default()
    });
    Note {
        number: 2,
        changed: changed.collect(),
        ..Note::default()
    }
}

/// Measures the time to apply a note that adds 100 endpoints, by the number of endpoints in the
/// release.
fn release_apply() -> Vec<Point> {
    let note = note(100);
    let measure = |endpoints: u32| {
        let state = State::from_snapshot(&snapshot(endpoints)).expect("the snapshot is valid");
        let time_ns = min_time_ns(|| {
            black_box(
                state
                    .apply(&note)
                    .expect("the note applies to the snapshot"),
            );
        });
        point(endpoints, time_ns / 1000.0)
    };
    [3000, 12_000, 49_000].into_iter().map(measure).collect()
}

/// Measures the size of a note by the number of endpoints that it adds.
fn release_delta() -> Vec<Point> {
    let sizes = [10, 50, 100];
    let measure = |count: u32| point(count, note(count).encoded_len() as f64);
    sizes.into_iter().map(measure).collect()
}

/// Measures the size of a snapshot by its number of endpoints.
fn snapshot_bytes() -> Vec<Point> {
    let sizes = [3000, 12_000, 49_000];
    let measure = |count: u32| point(count, snapshot(count).encoded_len() as f64);
    sizes.into_iter().map(measure).collect()
}

fn probe(rumours: u32) -> Body {
    let rumour = |index: u32| Rumour {
        vm: u64::from(index) << 40,
        incarnation: 1_796_375_006_418,
        revision: 1,
        health: Health::Alive.into(),
    };
    Body::Ping(Ping {
        nonce: 1_000_000,
        release: 4_380_000,
        vm_list: 1_000_000,
        rumours: (0..rumours).map(rumour).collect(),
    })
}

fn sealer_and_opener() -> (Sealer, Opener) {
    let key = FrameKey::derive(&[1; 32]);
    (
        Sealer::new(key.clone(), id::Vm::of("me"), 1_796_375_006_418),
        Opener::new(key),
    )
}

/// Measures the size of a sealed probe by its number of rumours.
fn probe_frame() -> Vec<Point> {
    let (sealer, _) = sealer_and_opener();
    let measure = |rumours: u32| point(rumours, sealer.seal(probe(rumours)).len() as f64);
    [1, 3, 8].into_iter().map(measure).collect()
}

/// Measures the time to seal and open one probe by its number of rumours.
fn probe_round() -> Vec<Point> {
    let frames = 2000;
    let measure = |rumours: u32| {
        let time_ns = min_time_ns(|| {
            let (sealer, opener) = sealer_and_opener();
            for _ in 0..frames {
                let datagram = sealer.seal(probe(rumours));
                let now_ms = ragwortbeam::clock::wall_ms();
                black_box(opener.open(&datagram, now_ms, |_| true).is_ok());
            }
        });
        point(rumours, time_ns / f64::from(frames))
    };
    [1, 3, 8].into_iter().map(measure).collect()
}

fn record_with_feeds(index: u32, feeds: u32) -> Record {
    let mut record = Record::new(flow_key(index));
    let request: Arc<[u8]> = vec![0; 48].into();
    for feed in 0..feeds {
        record.coap_state_mut().feeds.push(Feed {
            token: Token::new(&feed.to_be_bytes()),
            request: request.clone(),
            endpoint: id::Endpoint(u64::MAX),
            endpoint_token: None,
            sequence: 0x00ff_ffff,
            last_message_id: 0,
            confirmed_at_ms: 0,
            unconfirmed: None,
        });
    }
    record
}

/// Measures the size of a replicated flow record by its number of feeds.
fn replica_feeds() -> Vec<Point> {
    let measure = |feeds: u32| {
        let message = record_with_feeds(1, feeds).to_message();
        point(feeds, message.encoded_len() as f64)
    };
    [1, 2, 4].into_iter().map(measure).collect()
}

/// Measures the size of a handover by its number of flows, with one feed each.
fn handover_bytes() -> Vec<Point> {
    let measure = |flows: u32| {
        let records = (0..flows).map(|index| record_with_feeds(index, 1).to_message());
        let message = Records {
            sender: 1,
            records: records.collect(),
        };
        point(flows, message.encoded_len() as f64)
    };
    [5000, 10_000, 20_000].into_iter().map(measure).collect()
}

/// Measures the time to find the flows whose ranking of VMs changes when one of 275 VMs
/// leaves, by the number of flows.
fn handover_plan() -> Vec<Point> {
    let (before, after) = (view(275), view(274));
    let measure = |flows: u32| {
        let table = table_with_flows(flows);
        let time_ns = min_time_ns(|| {
            let reassigned = table.keys(|record| {
                let hash = record.key.hash();
                before.rank(hash) != after.rank(hash)
            });
            black_box(reassigned);
        });
        point(flows, time_ns / 1000.0)
    };
    [5000, 10_000, 20_000].into_iter().map(measure).collect()
}

/// Returns the point for a whole-number size.
pub fn point(x: u32, y: f64) -> Point {
    Point { x: f64::from(x), y }
}

/// Runs a step several times and returns the shortest time, nanoseconds.
pub fn min_time_ns(mut step: impl FnMut()) -> f64 {
    let times = (0..REPETITIONS).map(|_| {
        let started_at = Instant::now();
        step();
        started_at.elapsed().as_nanos() as f64
    });
    times.fold(f64::INFINITY, f64::min)
}
