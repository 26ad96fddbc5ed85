//! Steering of packets from callers: each one is forwarded to an endpoint, answered with a reset
//! or discarded.

mod event_log;
mod leasing;
mod tasks;

use std::collections::VecDeque;
use std::net::Ipv4Addr;
use std::sync::atomic::{AtomicU64, Ordering};

use metrics::histogram;
use ragwortbeam_base::clock;

use crate::catalog::{EndpointKey, Traffic, address_mask};
use crate::choice::{self, PlacementRequest};
use crate::flow::{self, AddressPair, Flow, Lease};
use crate::load::EndpointLoads;
use crate::packet::Packet;
use crate::placement;
use crate::prelude::*;
use crate::reset::{self, Reason};
use crate::subset::{Subset, SubsetCache};

pub use leasing::{Leasing, Resolved};
pub use tasks::{check_openings, place_claimed, receive_packets, refresh_counts};

/// Time within which the caller's next packet shows that the endpoint answered an opening packet
/// and accepted the flow: several round trips. Otherwise the endpoint's answer was lost, was a
/// reset or was never sent.
const OPENING_TIMEOUT: Duration = Duration::from_millis(60);

/// Idle time after which a flow is dropped while the configuration does not set one.
const DEFAULT_FLOW_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Reason why a packet is discarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscardReason {
    /// The datagram cannot be decoded as a packet.
    Malformed,
    /// The packet arrived before the first catalog, when too many others were already queued.
    TooEarly,
    /// The token does not identify an endpoint in the catalog.
    UnknownToken,
    /// The packet opens a flow to an address without a route, but the catalog is too old to reset
    /// the flow.
    CatalogOutdated,
    /// The packet neither opens a flow nor carries a token.
    NoFlow,
    /// The packet opens a flow for which there is no slot, but was kept for so long that the flow
    /// may be open through another VM.
    HeldTooLong,
}

impl DiscardReason {
    /// Returns the label of the reason in logs and metrics.
    fn label(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::TooEarly => "too_early",
            Self::UnknownToken => "unknown_token",
            Self::CatalogOutdated => "catalog_outdated",
            Self::NoFlow => "no_flow",
            Self::HeldTooLong => "held_too_long",
        }
    }
}

/// Decision on a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The packet is forwarded to an endpoint.
    Forward {
        /// Identifier of the endpoint, which precedes the packet.
        endpoint: u64,
        /// Address of the endpoint.
        address: SocketAddrV4,
        /// Token to write into an opening packet; `None` for other packets.
        token: Option<u32>,
    },
    /// The caller gets a packet that resets its flow.
    Reset(Reason),
    /// The packet is kept until the claim with this number is answered.
    Pending(u64),
    /// The packet is discarded.
    Discard(DiscardReason),
}

/// What decisions on packets read and change, locked for one of them.
struct Tables<'a> {
    catalog: &'a Catalog,
    loads: &'a mut EndpointLoads,
    flows: &'a mut flow::Table,
    now: Moment,
}

/// Steering state of a VM, shared by the tasks that receive packets and update load counts.
pub struct Steering {
    vm_ip: Ipv4Addr,
    data_centre: String,
    flow_lifetime: Duration,
    catalog: Arc<Mutex<Catalog>>,
    endpoint_loads: Arc<Mutex<EndpointLoads>>,
    subsets: Arc<Mutex<SubsetCache>>,
    flows: Mutex<flow::Table>,
    /// Opening packets that were forwarded, oldest first, until [`OPENING_TIMEOUT`].
    pending_openings: Mutex<VecDeque<(AddressPair, Moment)>>,
    /// Claims of this VM; `None` for a VM that places all flows by itself.
    leasing: Mutex<Option<Leasing>>,
    pending_claims: AtomicU64,
    last_packet_ms: AtomicU64,
}

impl Steering {
    /// Returns the steering state of the VM with this IP in `data_centre`.
    pub fn new(
        vm_ip: Ipv4Addr,
        data_centre: &str,
        flow_lifetime: Duration,
        catalog: Arc<Mutex<Catalog>>,
        endpoint_loads: Arc<Mutex<EndpointLoads>>,
        subsets: Arc<Mutex<SubsetCache>>,
    ) -> Self {
        Self {
            vm_ip,
            data_centre: data_centre.to_owned(),
            flow_lifetime,
            catalog,
            endpoint_loads,
            subsets,
            flows: Mutex::default(),
            pending_openings: Mutex::default(),
            leasing: Mutex::default(),
            pending_claims: AtomicU64::new(0),
            last_packet_ms: AtomicU64::new(0),
        }
    }

    /// Places flows through allocators from now on, where there are enough VMs.
    pub fn set_leasing(&self, leasing: Leasing) {
        *self.leasing.lock().unwrap() = Some(leasing);
    }

    /// Returns the number of claims that were pending lately.
    pub fn pending_claims(&self) -> u64 {
        self.pending_claims.load(Ordering::Relaxed)
    }

    /// Returns the number of flows in the flow table, which has those with recent packets here.
    pub fn flow_count(&self) -> usize {
        self.flows.lock().unwrap().len()
    }

    /// Returns the monotonic time of the last decoded packet, milliseconds; 0 before the first one.
    pub fn last_packet_ms(&self) -> u64 {
        self.last_packet_ms.load(Ordering::Relaxed)
    }

    /// Returns whether a catalog is loaded, without which no packet can be steered.
    pub fn is_loaded(&self) -> bool {
        self.catalog.lock().unwrap().is_loaded()
    }

    /// Decides whether to forward a packet, reset its flow or discard it.
    pub fn decide(&self, packet: &Packet, now: Moment) -> Outcome {
        self.last_packet_ms
            .store(clock::monotonic_ms(), Ordering::Relaxed);
        self.with_tables(now, |tables| {
            if packet.flags.opens {
                self.steer_opening(packet, tables)
            } else {
                self.steer_established(packet, tables)
            }
        })
    }

    fn with_tables<T>(&self, now: Moment, action: impl FnOnce(&mut Tables<'_>) -> T) -> T {
        let catalog = self.catalog.lock().unwrap();
        let mut loads = self.endpoint_loads.lock().unwrap();
        let mut flows = self.flows.lock().unwrap();
        action(&mut Tables {
            catalog: &catalog,
            loads: &mut loads,
            flows: &mut flows,
            now,
        })
    }

    /// Counts opening packets that are unanswered after `OPENING_TIMEOUT` against their endpoints.
    pub fn count_unanswered(&self, now: Moment) {
        if let Some(leasing) = &mut *self.leasing.lock().unwrap() {
            leasing.tick(now);
        }
        let catalog = self.catalog.lock().unwrap();
        let mut endpoint_loads = self.endpoint_loads.lock().unwrap();
        let mut flows = self.flows.lock().unwrap();
        let mut pending_openings = self.pending_openings.lock().unwrap();
        while let Some((addresses, opened_at)) = pending_openings.front().copied() {
            if now.since(opened_at) < OPENING_TIMEOUT {
                break;
            }
            pending_openings.pop_front();
            let Some(flow) = flows.get_mut(addresses) else {
                continue;
            };
            if flow.is_open() || flow.opened_at != opened_at {
                continue;
            }
            flow.is_counted_unanswered = true;
            if flow.lease.is_some() {
                self.release(flow, placement::Outcome::Unanswered);
                endpoint_loads.begin_request(flow.endpoint);
                continue;
            }
            if endpoint_loads.record_unanswered(flow.endpoint, opened_at, now) {
                event_log::log_silent_endpoint(&catalog, flow.endpoint, now);
            }
        }
    }

    /// Recounts flows by endpoint and drops idle flows and endpoints that have been gone for too
    /// long.
    pub fn refresh_counts(&self, now: Moment) {
        let mut catalog = self.catalog.lock().unwrap();
        let mut endpoint_loads = self.endpoint_loads.lock().unwrap();
        let mut flows = self.flows.lock().unwrap();
        let idle_timeout = match catalog.configuration().flow_idle {
            Duration::ZERO => DEFAULT_FLOW_IDLE_TIMEOUT,
            idle_timeout => idle_timeout,
        };
        flows.expire(idle_timeout, now);
        endpoint_loads.set_counts(&flows.counts(now));
        endpoint_loads.forget_unanswered(now);
        self.refresh_leasing(now);
        for key in endpoint_loads.take_silent_by_report(&catalog, now) {
            event_log::log_reported_silence(&catalog, key, now);
        }
        catalog.settle(now);
        let dropped = catalog.drop_gone(now, self.flow_lifetime);
        endpoint_loads.remove(&dropped);
    }

    /// Decides on an opening packet: it is forwarded to an endpoint unless no route or endpoint is
    /// available, or kept for the answer of an allocator.
    fn steer_opening(&self, packet: &Packet, tables: &mut Tables<'_>) -> Outcome {
        let (catalog, now) = (tables.catalog, tables.now);
        let addresses = AddressPair::of(packet);
        if let Some(number) = self.pending_claim(addresses) {
            return Outcome::Pending(number);
        }
        let Some(route) = catalog.route(packet.destination) else {
            if reset::may_reset_unrouted(catalog, now) {
                return Outcome::Reset(Reason::NoRoute);
            }
            return Outcome::Discard(DiscardReason::CatalogOutdated);
        };
        let opening_flow = tables.flows.get_mut(addresses);
        let opening_flow = opening_flow.filter(|flow| !flow.is_open());
        let mut avoid = [None, None];
        if let Some(flow) = opening_flow {
            let is_usable = catalog
                .endpoint(flow.endpoint)
                .is_some_and(|endpoint| catalog.is_available(endpoint, now));
            let is_retransmission = packet.acknowledged > flow.retransmissions;
            if is_retransmission
                && !flow.is_counted_unanswered
                && flow.lease.is_none()
                && tables
                    .loads
                    .record_unanswered(flow.endpoint, flow.opened_at, now)
            {
                event_log::log_silent_endpoint(catalog, flow.endpoint, now);
            }
            let waited = now.since(flow.opened_at);
            let has_answered = tables.loads.answered_within(flow.endpoint, waited, now);
            // A duplicate from the network goes to the same endpoint, and so does the first
            // retransmission if the endpoint has answered another flow since: probably just the
            // packet or its answer was lost.
            if is_usable && (!is_retransmission || has_answered && flow.previous_endpoint.is_none())
            {
                let key = flow.endpoint;
                flow.retry_opening(key, packet, now);
                self.pending_openings
                    .lock()
                    .unwrap()
                    .push_back((addresses, now));
                return forward(catalog, key, Some(packet.destination));
            }
            avoid = [Some(flow.endpoint), flow.previous_endpoint];
            self.release(flow, placement::Outcome::Unanswered);
        }
        let request = PlacementRequest {
            service: route.select_service(flow_hash(addresses)),
            traffic: route.traffic,
            data_centre: &self.data_centre,
            avoid,
        };
        self.begin_claim(packet, &request, tables)
            .unwrap_or_else(|| self.choose_and_bind(packet, &request, tables))
    }

    /// Chooses an endpoint by what this VM knows, and binds the flow of an opening packet to it.
    fn choose_and_bind(
        &self,
        packet: &Packet,
        request: &PlacementRequest<'_>,
        tables: &mut Tables<'_>,
    ) -> Outcome {
        let (catalog, now) = (tables.catalog, tables.now);
        let subset = self.subset(catalog, now);
        let mut random = rand::rng();
        let chosen = choice::choose(request, &subset, catalog, tables.loads, now, &mut random);
        let Some(key) = chosen else {
            return Outcome::Reset(Reason::NoEndpoint);
        };
        if tables.loads.is_retry_due(key, now) {
            tables.loads.record_retry(key, now);
        }
        event_log::log_evacuation_override(request, catalog, key);
        self.bind_flow(packet, request, key, None, tables)
    }

    /// Binds the flow of an opening packet to an endpoint, to which the packet is forwarded.
    fn bind_flow(
        &self,
        packet: &Packet,
        request: &PlacementRequest<'_>,
        key: EndpointKey,
        lease: Option<Lease>,
        tables: &mut Tables<'_>,
    ) -> Outcome {
        let (catalog, now) = (tables.catalog, tables.now);
        event_log::log_flow_placed(packet, request, catalog, tables.loads, key, now);
        let addresses = AddressPair::of(packet);
        self.pending_openings
            .lock()
            .unwrap()
            .push_back((addresses, now));
        let known = tables.flows.get_mut(addresses);
        match known.filter(|flow| !flow.is_open()) {
            Some(flow) => {
                flow.retry_opening(key, packet, now);
                flow.lease = lease;
            }
            None => {
                let mut flow = Flow::opening(key, request.traffic, packet, now);
                flow.lease = lease;
                tables.flows.insert(addresses, flow);
                tables.loads.add_flow(key, lease.is_some());
            }
        }
        forward(catalog, key, Some(packet.destination))
    }

    fn subset(&self, catalog: &Catalog, now: Moment) -> Arc<Subset> {
        let mut subsets = self.subsets.lock().unwrap();
        subsets.get_or_select(self.vm_ip, &self.data_centre, catalog, now)
    }

    /// Steers a packet of a flow that is already open.
    fn steer_established(&self, packet: &Packet, tables: &mut Tables<'_>) -> Outcome {
        let (catalog, now) = (tables.catalog, tables.now);
        // 0 is also the token of an endpoint whose tag equals the mask of the destination.
        let Some(key) = catalog.by_token(packet.token, packet.destination) else {
            return Outcome::Discard(match packet.token {
                0 => DiscardReason::NoFlow,
                _ => DiscardReason::UnknownToken,
            });
        };
        let addresses = AddressPair::of(packet);
        let known_flow = tables.flows.get_mut(addresses);
        let observation = match known_flow.filter(|flow| flow.endpoint == key) {
            Some(flow) => {
                if !flow.is_open() {
                    let waited = now.since(flow.opened_at);
                    histogram!("ragwortbeam_opening_answer_seconds").record(waited);
                }
                let observation = flow.observe(packet, now);
                self.count_requests(observation, flow, tables.loads);
                observation
            }
            None => {
                let traffic = catalog
                    .route(packet.destination)
                    .map_or(Traffic::Idempotent, |route| route.traffic);
                let mut flow = Flow::established(key, traffic, packet, now);
                let observation = flow.observe(packet, now);
                self.count_requests(observation, &mut flow, tables.loads);
                if let Some(mut previous) = tables.flows.insert(addresses, flow) {
                    self.release(&mut previous, placement::Outcome::Unused);
                }
                observation
            }
        };
        if observation.endpoint_answered {
            tables.loads.record_answer(key, now);
        }
        if observation.is_retransmission && reset::may_reset_open(key, catalog, tables.loads, now) {
            if let Some(mut flow) = tables.flows.remove(addresses) {
                self.release(&mut flow, placement::Outcome::Unused);
            }
            return Outcome::Reset(Reason::EndpointGone);
        }
        forward(catalog, key, None)
    }

    /// Applies the begin or end of a request to the counts at once; the next recount would be too
    /// late for the flows that are placed meanwhile.
    fn count_requests(
        &self,
        observation: flow::Observation,
        flow: &mut Flow,
        loads: &mut EndpointLoads,
    ) {
        if observation.begins_request {
            loads.begin_request(flow.endpoint);
        }
        if observation.ends_request {
            if flow.lease.is_some() {
                self.release(flow, placement::Outcome::Answered);
            } else {
                loads.end_request(flow.endpoint);
            }
        }
    }
}

/// Returns the decision to forward a packet to the newest instance of an endpoint. An opening
/// packet gets a token for its destination, `opening_destination`, which is `None` for other
/// packets.
fn forward(
    catalog: &Catalog,
    key: EndpointKey,
    opening_destination: Option<SocketAddrV4>,
) -> Outcome {
    let (Some(endpoint), Some(target)) = (catalog.endpoint(key), catalog.forwarding_endpoint(key))
    else {
        return Outcome::Discard(DiscardReason::UnknownToken);
    };
    Outcome::Forward {
        endpoint: target.id,
        address: target.entry.address,
        token: opening_destination.map(|destination| endpoint.tag ^ address_mask(destination)),
    }
}

/// Returns a hash of the flow's addresses, which is the same on every VM and for all transmissions
/// of the opening packet.
fn flow_hash(addresses: AddressPair) -> u64 {
    let text = format!("{}>{}", addresses.caller, addresses.destination);
    xxhash_rust::xxh3::xxh3_64(text.as_bytes())
}
