//! Slopes for docs/CAPACITY.md, measured by driving the product's own code.

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

/// Repetitions of a timed step; the least time counts, as noise only adds.
const REPEATS: usize = 5;

/// One measured size.
#[derive(Clone, Copy, Debug)]
pub struct Point {
    /// Size.
    pub x: f64,
    /// Reading.
    pub y: f64,
}

/// Least-squares line through some points.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// Reading for each unit of size.
    pub slope: f64,
    /// Reading at size 0.
    pub intercept: f64,
    /// Standard error of the slope.
    pub error: f64,
}

impl Fit {
    /// Fits a line to at least three points of different sizes.
    pub fn of(points: &[Point]) -> Self {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|point| point.x).sum::<f64>() / count;
        let mean_y = points.iter().map(|point| point.y).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|point| (point.x - mean_x).powi(2)).sum();
        let covariance = points
            .iter()
            .map(|point| (point.x - mean_x) * (point.y - mean_y));
        let slope = covariance.sum::<f64>() / spread;
        let intercept = mean_y - slope * mean_x;
        let residuals = points
            .iter()
            .map(|point| (point.y - intercept - slope * point.x).powi(2));
        let error = (residuals.sum::<f64>() / (count - 2.0) / spread).sqrt();
        Self {
            slope,
            intercept,
            error,
        }
    }
}

/// Runs all measurements and prints them; `allocator` counts what they allocate.
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

/// Prints some points and the line through them.
pub fn report(name: &str, unit: &str, points: Vec<Point>) {
    for point in &points {
        println!("{name} {} {:.1} {unit}", point.x, point.y);
    }
    let fit = Fit::of(&points);
    println!(
        "{name} fit slope={:.4} intercept={:.1} slope_error={:.4} {unit}",
        fit.slope, fit.intercept, fit.error
    );
}

fn key(index: u32) -> Key {
    let ip = (0x0a00_0000 + index / 16).to_be_bytes();
    Key {
        service: id::Service(7),
        caller: SocketAddr::new(ip.into(), 1024 + (index % 16) as u16),
    }
}

fn filled(flows: u32) -> Table {
    let table = Table::new(flows as usize);
    for index in 0..flows {
        table
            .with_or_insert(key(index), |record| record.endpoint = Some(id::Endpoint(1)))
            .expect("within the limit");
    }
    table
}

fn flow_memory(allocator: &'static StatsAlloc<System>) -> Vec<Point> {
    let sizes = [50_000, 100_000, 200_000, 500_000];
    let measure = |flows: u32| {
        let region = Region::new(allocator);
        let table = filled(flows);
        let change = region.change();
        black_box(&table);
        let kept = change.bytes_allocated as f64 - change.bytes_deallocated as f64
            + change.bytes_reallocated as f64;
        point(flows, kept)
    };
    sizes.into_iter().map(measure).collect()
}

fn flow_open() -> Vec<Point> {
    let measure = |flows: u32| {
        let time = least(|| {
            black_box(filled(flows));
        });
        point(flows, time)
    };
    [50_000, 100_000, 200_000]
        .into_iter()
        .map(measure)
        .collect()
}

fn flow_packet() -> Vec<Point> {
    let table = filled(200_000);
    let measure = |packets: u32| {
        let time = least(|| {
            for index in 0..packets {
                black_box(table.with(key(index.wrapping_mul(7919) % 200_000), |_| ()));
            }
        });
        point(packets, time)
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

fn owner_lookup() -> Vec<Point> {
    let lookups = 10_000;
    let measure = |vms: u32| {
        let view = view(vms);
        let time = least(|| {
            for hash in 0..lookups {
                black_box(view.rank(hash));
            }
        });
        point(vms, time / lookups as f64)
    };
    [17, 69, 138, 275, 300].into_iter().map(measure).collect()
}

/// Memory of one more view of a fleet, as kept for each change of the owners.
fn view_memory(allocator: &'static StatsAlloc<System>) -> Vec<Point> {
    let measure = |vms: u32| {
        let view = view(vms);
        let region = Region::new(allocator);
        let kept = black_box(view.clone());
        let bytes = region.change().bytes_allocated as f64;
        drop(kept);
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

/// A configuration of services with ten endpoints each and one with the rest.
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

/// A note that adds `count` endpoints, ten to each of as many services as that takes.
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

fn release_apply() -> Vec<Point> {
    let note = note(100);
    let measure = |endpoints: u32| {
        let state = State::from_snapshot(&snapshot(endpoints)).expect("the snapshot is right");
        let time = least(|| {
            black_box(state.apply(&note).expect("the note is right"));
        });
        point(endpoints, time / 1000.0)
    };
    [3000, 12_000, 49_000].into_iter().map(measure).collect()
}

fn release_delta() -> Vec<Point> {
    let sizes = [10, 50, 100];
    let measure = |count: u32| point(count, note(count).encoded_len() as f64);
    sizes.into_iter().map(measure).collect()
}

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

fn sealer() -> (Sealer, Opener) {
    let key = FrameKey::derive(&[1; 32]);
    (
        Sealer::new(key.clone(), id::Vm::of("me"), 1_796_375_006_418),
        Opener::new(key),
    )
}

fn probe_frame() -> Vec<Point> {
    let (sealer, _) = sealer();
    let measure = |rumours: u32| point(rumours, sealer.seal(probe(rumours)).len() as f64);
    [1, 3, 8].into_iter().map(measure).collect()
}

fn probe_round() -> Vec<Point> {
    let frames = 2000;
    let measure = |rumours: u32| {
        let time = least(|| {
            let (sealer, opener) = sealer();
            for _ in 0..frames {
                let datagram = sealer.seal(probe(rumours));
                let now_ms = ragwortbeam::clock::wall_ms();
                black_box(opener.open(&datagram, now_ms, |_| true).is_ok());
            }
        });
        point(rumours, time / f64::from(frames))
    };
    [1, 3, 8].into_iter().map(measure).collect()
}

fn record_with_feeds(index: u32, feeds: u32) -> Record {
    let mut record = Record::new(key(index));
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

fn replica_feeds() -> Vec<Point> {
    let measure = |feeds: u32| {
        let message = record_with_feeds(1, feeds).to_message();
        point(feeds, message.encoded_len() as f64)
    };
    [1, 2, 4].into_iter().map(measure).collect()
}

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

/// Time to find what a view change moves, among 275 VMs.
fn handover_plan() -> Vec<Point> {
    let (before, after) = (view(275), view(274));
    let measure = |flows: u32| {
        let table = filled(flows);
        let time = least(|| {
            let moved = table.keys(|record| {
                let hash = record.key.hash();
                before.rank(hash) != after.rank(hash)
            });
            black_box(moved);
        });
        point(flows, time / 1000.0)
    };
    [5000, 10_000, 20_000].into_iter().map(measure).collect()
}

/// Returns a measured size.
pub fn point(x: u32, y: f64) -> Point {
    Point { x: f64::from(x), y }
}

/// Returns the least time of several runs, nanoseconds.
pub fn least(mut step: impl FnMut()) -> f64 {
    let times = (0..REPEATS).map(|_| {
        let begun = Instant::now();
        step();
        begun.elapsed().as_nanos() as f64
    });
    times.fold(f64::INFINITY, f64::min)
}
