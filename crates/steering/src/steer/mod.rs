//! Callers' packets: each is sent on to an endpoint, answered with a reset or discarded.

mod lines;
mod tasks;

use std::collections::VecDeque;
use std::net::Ipv4Addr;
use std::sync::atomic::{AtomicU64, Ordering};

use metrics::histogram;
use ragwortbeam_base::clock;

use crate::catalog::{EndpointKey, Traffic, address_mask};
use crate::choice::{self, PlacementRequest};
use crate::flow::{self, AddressPair, Flow};
use crate::load::EndpointLoads;
use crate::packet::Packet;
use crate::prelude::*;
use crate::reset::{self, Reason};
use crate::subset::SubsetCache;

pub use tasks::{recount, run, watch_openings};

/// Time in which an endpoint's answer to an opening packet brings the caller's next packet:
/// several round trips. Without one, the answer was lost, was a reset, or never came.
const OPENING_TIMEOUT: Duration = Duration::from_millis(60);

/// Idle time of flows before the first configuration says one.
const DEFAULT_FLOW_IDLE: Duration = Duration::from_secs(15);

/// Why a packet is discarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discard {
    /// It is not a packet.
    Malformed,
    /// It came before the first catalog, and too many wait for it.
    TooEarly,
    /// Its token names no endpoint known here.
    UnknownToken,
    /// It opens a flow without a route, and the catalog is too old to refuse it.
    CatalogOutdated,
    /// It opens no flow and carries no token.
    NoFlow,
}

impl Discard {
    /// Returns the name, for logs and metrics.
    fn label(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::TooEarly => "too_early",
            Self::UnknownToken => "unknown_token",
            Self::CatalogOutdated => "catalog_outdated",
            Self::NoFlow => "no_flow",
        }
    }
}

/// What happens to a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It goes to an endpoint.
    Forward {
        /// Endpoint.
        endpoint: u64,
        /// Its address.
        address: SocketAddrV4,
        /// Token to write, on an opening packet.
        token: Option<u32>,
    },
    /// Its flow is reset.
    Reset(Reason),
    /// It is dropped.
    Discard(Discard),
}

/// What steering needs; shared with the tasks that keep it current.
pub struct Steering {
    vm: Ipv4Addr,
    data_centre: String,
    flow_lifetime: Duration,
    catalog: Arc<Mutex<Catalog>>,
    board: Arc<Mutex<EndpointLoads>>,
    subsets: Arc<Mutex<SubsetCache>>,
    flows: Mutex<flow::Table>,
    /// Opening packets in the order in which they were sent on.
    openings: Mutex<VecDeque<(AddressPair, Moment)>>,
    last_packet_ms: AtomicU64,
}

impl Steering {
    /// Returns the steering of a VM, which its address names, in `data_centre`.
    pub fn new(
        vm: Ipv4Addr,
        data_centre: &str,
        flow_lifetime: Duration,
        catalog: Arc<Mutex<Catalog>>,
        board: Arc<Mutex<EndpointLoads>>,
        subsets: Arc<Mutex<SubsetCache>>,
    ) -> Self {
        Self {
            vm,
            data_centre: data_centre.to_owned(),
            flow_lifetime,
            catalog,
            board,
            subsets,
            flows: Mutex::default(),
            openings: Mutex::default(),
            last_packet_ms: AtomicU64::new(0),
        }
    }

    /// Returns the number of flows seen lately.
    pub fn flow_count(&self) -> usize {
        self.flows.lock().unwrap().len()
    }

    /// Returns the monotonic time of the last packet, milliseconds.
    pub fn last_packet_ms(&self) -> u64 {
        self.last_packet_ms.load(Ordering::Relaxed)
    }

    /// Returns whether there is a catalog to decide by.
    pub fn is_loaded(&self) -> bool {
        self.catalog.lock().unwrap().is_loaded()
    }

    /// Decides what happens to a packet.
    pub fn decide(&self, packet: &Packet, now: Moment) -> Outcome {
        self.last_packet_ms
            .store(clock::monotonic_ms(), Ordering::Relaxed);
        let catalog = self.catalog.lock().unwrap();
        let mut board = self.board.lock().unwrap();
        let mut flows = self.flows.lock().unwrap();
        if packet.flags.opens {
            return self.open(packet, &catalog, &mut board, &mut flows, now);
        }
        continue_flow(packet, &catalog, &mut board, &mut flows, now)
    }

    /// Counts opening packets that have no answer after [`OPENING_TIMEOUT`].
    pub fn note_unanswered(&self, now: Moment) {
        let catalog = self.catalog.lock().unwrap();
        let mut board = self.board.lock().unwrap();
        let mut flows = self.flows.lock().unwrap();
        let mut openings = self.openings.lock().unwrap();
        while let Some((ends, opened_at)) = openings.front().copied() {
            if now.since(opened_at) < OPENING_TIMEOUT {
                break;
            }
            openings.pop_front();
            let Some(flow) = flows.get_mut(ends) else {
                continue;
            };
            if flow.is_open() || flow.opened_at != opened_at {
                continue;
            }
            flow.is_counted_unanswered = true;
            if board.record_unanswered(flow.endpoint, opened_at, now) {
                lines::endpoint_silent(&catalog, flow.endpoint, now);
            }
        }
    }

    /// Counts flows anew and drops what is outdated.
    pub fn recount(&self, now: Moment) {
        let mut catalog = self.catalog.lock().unwrap();
        let mut board = self.board.lock().unwrap();
        let mut flows = self.flows.lock().unwrap();
        let idle = match catalog.configuration().flow_idle {
            Duration::ZERO => DEFAULT_FLOW_IDLE,
            idle => idle,
        };
        flows.expire(idle, now);
        board.set_counts(&flows.counts(now));
        let gone = catalog.drop_gone(now, self.flow_lifetime);
        board.remove(&gone);
    }

    fn open(
        &self,
        packet: &Packet,
        catalog: &Catalog,
        board: &mut EndpointLoads,
        flows: &mut flow::Table,
        now: Moment,
    ) -> Outcome {
        let ends = AddressPair::of(packet);
        let Some(route) = catalog.route(packet.destination) else {
            if reset::may_reset_unrouted(catalog, now) {
                return Outcome::Reset(Reason::NoRoute);
            }
            return Outcome::Discard(Discard::CatalogOutdated);
        };
        let earlier = flows.get_mut(ends).filter(|flow| !flow.is_open());
        let mut avoid = [None, None];
        if let Some(flow) = &earlier {
            let is_usable = catalog
                .endpoint(flow.endpoint)
                .is_some_and(|endpoint| endpoint.accepts_flows(now));
            let is_new_copy = packet.acknowledged > flow.retransmissions;
            if is_new_copy
                && !flow.is_counted_unanswered
                && board.record_unanswered(flow.endpoint, flow.opened_at, now)
            {
                lines::endpoint_silent(catalog, flow.endpoint, now);
            }
            let is_alive = board.answered_within(flow.endpoint, now.since(flow.opened_at), now);
            if is_usable && (!is_new_copy || is_alive && flow.previous_endpoint.is_none()) {
                let key = flow.endpoint;
                if let Some(flow) = earlier {
                    flow.retry_opening(key, packet, now);
                }
                self.openings.lock().unwrap().push_back((ends, now));
                return forward(catalog, key, Some(packet.destination));
            }
            avoid = [Some(flow.endpoint), flow.previous_endpoint];
        }
        let subset = {
            let mut subsets = self.subsets.lock().unwrap();
            subsets.get_or_select(self.vm, &self.data_centre, catalog, now)
        };
        let mut random = rand::rng();
        let wish = PlacementRequest {
            service: route.select_service(hash(ends)),
            traffic: route.traffic,
            data_centre: &self.data_centre,
            avoid,
        };
        let Some(key) = choice::choose(&wish, &subset, catalog, board, now, &mut random) else {
            return Outcome::Reset(Reason::NoEndpoint);
        };
        if board.is_retry_due(key, now) {
            board.record_retry(key, now);
        }
        lines::flow_placed(packet, &wish, catalog, board, key, now);
        self.openings.lock().unwrap().push_back((ends, now));
        match earlier {
            Some(flow) => flow.retry_opening(key, packet, now),
            None => {
                flows.insert(ends, Flow::opening(key, route.traffic, packet, now));
                board.add_flow(key);
            }
        }
        forward(catalog, key, Some(packet.destination))
    }
}

/// Steers a packet of a flow that is open.
fn continue_flow(
    packet: &Packet,
    catalog: &Catalog,
    board: &mut EndpointLoads,
    flows: &mut flow::Table,
    now: Moment,
) -> Outcome {
    if packet.token == 0 {
        return Outcome::Discard(Discard::NoFlow);
    }
    let Some(key) = catalog.by_token(packet.token, packet.destination) else {
        return Outcome::Discard(Discard::UnknownToken);
    };
    let ends = AddressPair::of(packet);
    let held = flows.get_mut(ends).filter(|flow| flow.endpoint == key);
    let observation = match held {
        Some(flow) => {
            if !flow.is_open() {
                let waited = now.since(flow.opened_at);
                histogram!("ragwortbeam_opening_answer_seconds").record(waited);
            }
            flow.observe(packet, now)
        }
        None => {
            let traffic = catalog
                .route(packet.destination)
                .map_or(Traffic::Idempotent, |route| route.traffic);
            let mut flow = Flow::established(key, traffic, packet, now);
            let observation = flow.observe(packet, now);
            flows.insert(ends, flow);
            observation
        }
    };
    if observation.endpoint_answered {
        board.record_answer(key, now);
    }
    let may_reset = || {
        let endpoint = catalog.endpoint(key);
        endpoint.is_some_and(|endpoint| reset::may_reset_open(key, endpoint, board, now))
    };
    if observation.is_retransmission && may_reset() {
        flows.remove(ends);
        return Outcome::Reset(Reason::EndpointGone);
    }
    forward(catalog, key, None)
}

fn forward(catalog: &Catalog, key: EndpointKey, opened: Option<SocketAddrV4>) -> Outcome {
    let (Some(endpoint), Some(target)) = (catalog.endpoint(key), catalog.forwarding_endpoint(key))
    else {
        return Outcome::Discard(Discard::UnknownToken);
    };
    Outcome::Forward {
        endpoint: target.id,
        address: target.entry.address,
        token: opened.map(|destination| endpoint.tag ^ address_mask(destination)),
    }
}

/// Returns the same number for all copies of a flow's opening packet, on every VM.
fn hash(ends: AddressPair) -> u64 {
    let text = format!("{}>{}", ends.caller, ends.destination);
    xxhash_rust::xxh3::xxh3_64(text.as_bytes())
}
