//! Callers' packets: each is sent on to an endpoint, answered with a reset or dropped.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicU64, Ordering};

use derive_more::Display;
use metrics::counter;
use ragwortbeam_base::logging::Budget;
use spdlog::{info, warn};
use tokio::net::UdpSocket;
use tokio::task::yield_now;
use tokio::time::sleep;

use crate::catalog::{Key, Traffic, address_mask};
use crate::choice::{self, Wish};
use crate::flow::{self, Ends, Flow};
use crate::load::Board;
use crate::packet::{Codec, Packet};
use crate::prelude::*;
use crate::reset::{self, Reason};

/// Largest datagram read: a header and 1,200 bytes of data, with room to spare.
const MAX_DATAGRAM_LEN: usize = 2048;

/// Packets handled before other tasks get a turn.
const BATCH: usize = 64;

/// Time in which an endpoint's answer to an opening packet brings the caller's next packet:
/// several round trips. Without one, the answer was lost, was a reset, or never came.
const OPENING_TIMEOUT: Duration = Duration::from_millis(60);

/// Pause between two looks for opening packets without an answer.
const OPENING_INTERVAL: Duration = Duration::from_millis(20);

/// Pause between two counts of open flows.
const RECOUNT_INTERVAL: Duration = Duration::from_millis(200);

/// Idle time of flows before the first configuration says one.
const DEFAULT_FLOW_IDLE: Duration = Duration::from_secs(15);

/// Packets that wait for the first catalog of a starting VM: a second of a busy VM's
/// opening packets. Further ones are discarded.
const MAX_EARLY: usize = 1024;

/// How often a starting VM looks whether it has a catalog.
const EARLY_INTERVAL: Duration = Duration::from_millis(2);

/// Lines a second about new flows.
static OPENED: Budget = Budget::new(20);
/// Lines a second about resets and dropped packets.
static REFUSED: Budget = Budget::new(20);

/// Why a packet is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Display)]
pub enum Discard {
    /// It is not a packet.
    #[display("malformed")]
    Malformed,
    /// It came before the first catalog, and too many wait for it.
    #[display("too_early")]
    TooEarly,
    /// Its token names no endpoint known here.
    #[display("unknown_token")]
    UnknownToken,
    /// It opens a flow without a route, and the catalog is too old to refuse it.
    #[display("catalog_outdated")]
    CatalogOutdated,
    /// It ends a flow that has no token.
    #[display("no_flow")]
    NoFlow,
}

impl Discard {
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
    data_centre: String,
    flow_lifetime: Duration,
    catalog: Arc<Mutex<Catalog>>,
    board: Arc<Mutex<Board>>,
    flows: Mutex<flow::Table>,
    /// Opening packets in the order in which they were sent on.
    openings: Mutex<VecDeque<(Ends, Moment)>>,
    last_packet_ms: AtomicU64,
}

impl Steering {
    /// Returns the steering of a VM in `data_centre`.
    pub fn new(
        data_centre: &str,
        flow_lifetime: Duration,
        catalog: Arc<Mutex<Catalog>>,
        board: Arc<Mutex<Board>>,
    ) -> Self {
        Self {
            data_centre: data_centre.to_owned(),
            flow_lifetime,
            catalog,
            board,
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
            flow.is_noted = true;
            if board.note_unanswered(flow.endpoint, opened_at, now) {
                log_silent(&catalog, flow.endpoint, now);
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
        board.recount(&flows.counts(now));
        let gone = catalog.drop_gone(now, self.flow_lifetime);
        board.forget(&gone);
    }

    fn open(
        &self,
        packet: &Packet,
        catalog: &Catalog,
        board: &mut Board,
        flows: &mut flow::Table,
        now: Moment,
    ) -> Outcome {
        let ends = Ends::of(packet);
        let Some(route) = catalog.route(packet.destination) else {
            if reset::may_refuse_unrouted(catalog, now) {
                return Outcome::Reset(Reason::NoRoute);
            }
            return Outcome::Discard(Discard::CatalogOutdated);
        };
        let earlier = flows.get_mut(ends).filter(|flow| !flow.is_open());
        let mut avoid = [None, None];
        if let Some(flow) = &earlier {
            let is_usable = catalog
                .endpoint(flow.endpoint)
                .is_some_and(|endpoint| endpoint.takes_flows(now));
            let is_new_copy = packet.acknowledged > flow.copies;
            if is_new_copy
                && !flow.is_noted
                && board.note_unanswered(flow.endpoint, flow.opened_at, now)
            {
                log_silent(catalog, flow.endpoint, now);
            }
            let is_alive = board.is_alive(flow.endpoint, now.since(flow.opened_at), now);
            if is_usable && (!is_new_copy || is_alive && flow.tried.is_none()) {
                let key = flow.endpoint;
                if let Some(flow) = earlier {
                    flow.reopen(key, packet, now);
                }
                return forward(catalog, key, Some(packet.destination));
            }
            avoid = [Some(flow.endpoint), flow.tried];
        }
        let mut random = rand::rng();
        let wish = Wish {
            service: route.service(hash(ends)),
            traffic: route.traffic,
            data_centre: &self.data_centre,
            avoid,
        };
        let Some(key) = choice::choose(&wish, catalog, board, now, &mut random) else {
            return Outcome::Reset(Reason::NoEndpoint);
        };
        if board.may_retry(key, now) {
            board.note_retry(key, now);
        }
        log_opened(packet, &wish, catalog, board, key, now);
        self.openings.lock().unwrap().push_back((ends, now));
        match earlier {
            Some(flow) => flow.reopen(key, packet, now),
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
    board: &mut Board,
    flows: &mut flow::Table,
    now: Moment,
) -> Outcome {
    if packet.token == 0 {
        return Outcome::Discard(Discard::NoFlow);
    }
    let Some(key) = catalog.by_token(packet.token, packet.destination) else {
        return Outcome::Discard(Discard::UnknownToken);
    };
    let ends = Ends::of(packet);
    let held = flows.get_mut(ends).filter(|flow| flow.endpoint == key);
    let observation = match held {
        Some(flow) => flow.observe(packet, now),
        None => {
            let traffic = catalog
                .route(packet.destination)
                .map_or(Traffic::Idempotent, |route| route.traffic);
            let mut flow = Flow::joined(key, traffic, packet, now);
            let observation = flow.observe(packet, now);
            flows.insert(ends, flow);
            observation
        }
    };
    if observation.answered {
        board.note_alive(key, now);
    }
    let may_reset = catalog
        .endpoint(key)
        .is_some_and(|endpoint| reset::may_reset_open(key, endpoint, board, now));
    if observation.repeated && may_reset {
        flows.remove(ends);
        return Outcome::Reset(Reason::EndpointGone);
    }
    forward(catalog, key, None)
}

fn forward(catalog: &Catalog, key: Key, opened: Option<SocketAddrV4>) -> Outcome {
    let (Some(endpoint), Some(target)) = (catalog.endpoint(key), catalog.target(key)) else {
        return Outcome::Discard(Discard::UnknownToken);
    };
    Outcome::Forward {
        endpoint: target.id,
        address: target.entry.address,
        token: opened.map(|destination| endpoint.tag ^ address_mask(destination)),
    }
}

/// Returns the same number for all copies of a flow's opening packet, on every VM.
fn hash(ends: Ends) -> u64 {
    let text = format!("{}>{}", ends.caller, ends.destination);
    xxhash_rust::xxh3::xxh3_64(text.as_bytes())
}

/// Runs for the life of the process.
pub async fn run(steering: Arc<Steering>, codec: Box<dyn Codec>, socket: Arc<UdpSocket>) {
    // The first write after binding fails until the runtime knows the socket as writable.
    if let Err(error) = socket.writable().await {
        warn!("event=packet_socket_failed error=\"{error}\"");
    }
    let mut datagram = [0; MAX_DATAGRAM_LEN];
    let mut out = Vec::with_capacity(MAX_DATAGRAM_LEN);
    for early in receive_early(&steering, &socket).await {
        handle(&steering, &*codec, &socket, &early, &mut out);
    }
    loop {
        if let Err(error) = socket.readable().await {
            warn!("event=packet_socket_failed error=\"{error}\"");
            sleep(RECOUNT_INTERVAL).await;
            continue;
        }
        for _ in 0..BATCH {
            // An error is the socket's way to say that it is empty, or that an endpoint's
            // port was closed; the packet's caller repeats it.
            let Ok((len, _)) = socket.try_recv_from(&mut datagram) else {
                break;
            };
            handle(&steering, &*codec, &socket, &datagram[..len], &mut out);
        }
        yield_now().await;
    }
}

/// Keeps packets until there is a catalog, so that those of callers that wait since before
/// this VM's start are answered with it and not only when they are sent again.
async fn receive_early(steering: &Steering, socket: &UdpSocket) -> Vec<Vec<u8>> {
    let mut early = Vec::new();
    let mut datagram = [0; MAX_DATAGRAM_LEN];
    while !steering.is_loaded() {
        while let Ok((len, _)) = socket.try_recv_from(&mut datagram) {
            if early.len() < MAX_EARLY {
                early.push(datagram[..len].to_vec());
            } else {
                count_discard(Discard::TooEarly);
            }
        }
        sleep(EARLY_INTERVAL).await;
    }
    info!("event=steering early_packets={}", early.len());
    early
}

/// Looks for opening packets without an answer for the life of the process.
pub async fn watch_openings(steering: Arc<Steering>) {
    loop {
        sleep(OPENING_INTERVAL).await;
        steering.note_unanswered(Moment::now());
    }
}

/// Keeps counts current for the life of the process.
pub async fn recount(steering: Arc<Steering>) {
    let mut ticks = tokio::time::interval(RECOUNT_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        steering.recount(Moment::now());
    }
}

fn handle(
    steering: &Steering,
    codec: &dyn Codec,
    socket: &UdpSocket,
    datagram: &[u8],
    out: &mut Vec<u8>,
) {
    let Some(packet) = codec.decode(datagram) else {
        count_discard(Discard::Malformed);
        return;
    };
    let now_ms = ragwortbeam_base::clock::monotonic_ms();
    steering.last_packet_ms.store(now_ms, Ordering::Relaxed);
    let outcome = steering.decide(&packet, Moment::now());
    let address = match outcome {
        Outcome::Forward {
            endpoint,
            address,
            token,
        } => {
            codec.forward(datagram, endpoint, token, out);
            counter!("ragwortbeam_packets_forwarded_total").increment(1);
            address
        }
        Outcome::Reset(reason) => {
            codec.reset(&packet, out);
            counter!("ragwortbeam_flows_reset_total", "reason" => reason.label()).increment(1);
            log_refused("flow_reset", &packet, reason.label(), steering);
            let port = socket.local_addr().map_or(0, |address| address.port());
            SocketAddrV4::new(*packet.caller.ip(), port)
        }
        Outcome::Discard(reason) => {
            count_discard(reason);
            log_refused("packet_discarded", &packet, reason.label(), steering);
            return;
        }
    };
    if let Err(error) = socket.try_send_to(out, address.into()) {
        counter!("ragwortbeam_packet_send_failures_total").increment(1);
        if let Some(left_out) = REFUSED.take() {
            info!("event=send_failed to={address} error=\"{error}\" left_out={left_out}");
        }
    }
}

fn count_discard(reason: Discard) {
    counter!("ragwortbeam_packets_discarded_total", "reason" => reason.label()).increment(1);
}

fn log_refused(event: &str, packet: &Packet, reason: &str, steering: &Steering) {
    let Some(left_out) = REFUSED.take() else {
        return;
    };
    let catalog = steering.catalog.lock().unwrap();
    info!(
        "event={event} flow={}>{} reason={reason} opens={} copy_or_ack={} token={:08x} config={} revision={} catalog_age_ms={} left_out={left_out}",
        packet.caller,
        packet.destination,
        packet.flags.opens,
        packet.acknowledged,
        packet.token,
        catalog.configuration().version,
        catalog.revision(),
        catalog.age(Moment::now()).as_millis(),
    );
}

fn log_opened(
    packet: &Packet,
    wish: &Wish<'_>,
    catalog: &Catalog,
    board: &Board,
    key: Key,
    now: Moment,
) {
    let Some(left_out) = OPENED.take() else {
        return;
    };
    let Some(endpoint) = catalog.endpoint(key) else {
        return;
    };
    let own = board.own(key);
    let reported = board.reported(endpoint, now);
    info!(
        "event=flow_placed flow={}>{} copy={} service={} endpoint={:x} busy_here={} busy_elsewhere={} open_here={} open_elsewhere={} contributors={} config={} revision={} catalog_age_ms={} left_out={left_out}",
        packet.caller,
        packet.destination,
        packet.acknowledged,
        wish.service,
        endpoint.id,
        own.busy,
        reported.busy,
        own.open,
        reported.open,
        board.contributors(),
        catalog.configuration().version,
        catalog.revision(),
        catalog.age(now).as_millis(),
    );
}

fn log_silent(catalog: &Catalog, key: Key, now: Moment) {
    let Some(endpoint) = catalog.endpoint(key) else {
        return;
    };
    counter!("ragwortbeam_endpoints_silent_total").increment(1);
    info!(
        "event=endpoint_silent endpoint={:x} service={} address={} revision={} catalog_age_ms={}",
        endpoint.id,
        endpoint.entry.service,
        endpoint.entry.address,
        endpoint.revision,
        catalog.age(now).as_millis(),
    );
}
