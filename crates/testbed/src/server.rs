//! Simulated CoAP backend server.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU16, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use coap_lite::{CoapOption, MessageClass, MessageType, Packet, RequestType, ResponseType};
use rand::RngExt;
use tokio::net::UdpSocket;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::history::{Event, History, OperationId, RequestKind};

/// Interval at which each observer is sent a notification.
pub const NOTIFY_INTERVAL: Duration = Duration::from_millis(500);

/// One in this many notifications to an observer is confirmable; the others are not.
const NOTIFICATIONS_PER_CONFIRMABLE: u64 = 5;

/// Max-Age option of each reading, seconds.
pub const READING_MAX_AGE_S: u8 = 8;

/// Length of one block, bytes.
const BLOCK_LEN: usize = 512;
/// Size exponent of [`BLOCK_LEN`] in the Block2 option (RFC 7959, section 2.2).
const BLOCK_EXPONENT: u8 = 5;

/// Number of blocks in a large response.
pub const LARGE_RESPONSE_BLOCKS: usize = 4;

/// Service time above which a request is acknowledged at once and answered by a separate response
/// (RFC 7252, section 5.2.2).
const SEPARATE_RESPONSE_THRESHOLD: Duration = Duration::from_millis(150);

/// Distribution of the service times of requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceTimes {
    /// Service time of requests that are not stragglers.
    pub ordinary: Duration,
    /// Probability that a request is a straggler, 0 to 1.
    pub straggler_share: f64,
    /// Service time of stragglers.
    pub straggler: Duration,
}

impl Default for ServiceTimes {
    fn default() -> Self {
        Self {
            ordinary: Duration::from_millis(8),
            straggler_share: 0.02,
            straggler: Duration::from_millis(400),
        }
    }
}

/// Encoded responses by source and message id; `None` while the request is in progress.
type ResponseCache = HashMap<(SocketAddr, u16), Option<Vec<u8>>>;

/// Backend server that runs POST requests, block-wise GET requests and observations.
#[derive(Debug)]
pub struct Server {
    /// Address that the server listens on.
    pub address: SocketAddr,
    /// Requests that the server runs at once; it refuses more with 5.03. Observations need no slot.
    pub slots: u32,
    service: &'static str,
    times: ServiceTimes,
    socket: UdpSocket,
    history: Arc<History>,
    busy_slots: AtomicU32,
    shed_requests: AtomicU64,
    /// Payload of the next response or notification to an observer; its lower 24 bits are the
    /// Observe value.
    next_reading: Arc<AtomicU64>,
    next_message_id: AtomicU16,
    observers: Mutex<HashMap<(SocketAddr, Vec<u8>), Observer>>,
    /// Responses that are repeated to duplicates of their request (RFC 7252, section 4.5).
    response_cache: Mutex<ResponseCache>,
    /// Sources whose packets are dropped, as are packets to them.
    dropped_sources: Mutex<HashSet<SocketAddr>>,
    /// False until [`Self::drop_known_sources`] is called.
    drops_known_sources: AtomicBool,
    tasks: Mutex<Vec<JoinHandle<()>>>,
}

#[derive(Clone, Copy, Debug)]
struct Observer {
    last_message_id: u16,
    notifications_sent: u64,
}

impl Server {
    /// Starts a server of `service`; all servers of a service share `next_reading`, so that its
    /// readings increase whichever server sends them.
    pub async fn start(
        service: &'static str,
        slots: u32,
        times: ServiceTimes,
        next_reading: Arc<AtomicU64>,
        history: Arc<History>,
    ) -> std::io::Result<Arc<Self>> {
        let socket = UdpSocket::bind("127.0.0.1:0").await?;
        let server = Arc::new(Self {
            address: socket.local_addr()?,
            slots,
            service,
            times,
            socket,
            history,
            busy_slots: AtomicU32::new(0),
            shed_requests: AtomicU64::new(0),
            next_reading,
            next_message_id: AtomicU16::new(rand::random()),
            observers: Mutex::default(),
            response_cache: Mutex::default(),
            dropped_sources: Mutex::default(),
            drops_known_sources: AtomicBool::new(false),
            tasks: Mutex::default(),
        });
        let tasks = vec![
            tokio::spawn(server.clone().receive_packets()),
            tokio::spawn(server.clone().send_notifications()),
        ];
        *server.tasks.lock().unwrap() = tasks;
        Ok(server)
    }

    /// Drops all packets from and to the sources seen so far; new source ports work.
    pub fn drop_known_sources(&self) {
        let observers = self.observers.lock().unwrap();
        let response_cache = self.response_cache.lock().unwrap();
        let sources = observers.keys().map(|(source, _)| *source);
        let sources = sources.chain(response_cache.keys().map(|(source, _)| *source));
        self.dropped_sources.lock().unwrap().extend(sources);
        self.drops_known_sources.store(true, Ordering::Relaxed);
    }

    /// Stops the server at once, without notifying its peers, as a crash does.
    pub fn crash(&self) {
        for task in self.tasks.lock().unwrap().drain(..) {
            task.abort();
        }
    }

    /// Returns the number of requests refused because all slots were busy.
    pub fn shed_requests(&self) -> u64 {
        self.shed_requests.load(Ordering::Relaxed)
    }

    async fn receive_packets(self: Arc<Self>) {
        let mut buffer = vec![0; 65_535];
        loop {
            let Ok((len, source)) = self.socket.recv_from(&mut buffer).await else {
                continue;
            };
            if self.is_source_dropped(source) {
                continue;
            }
            if let Ok(packet) = Packet::from_bytes(&buffer[..len]) {
                self.handle_packet(source, packet);
            }
        }
    }

    fn is_source_dropped(&self, source: SocketAddr) -> bool {
        self.drops_known_sources.load(Ordering::Relaxed)
            && self.dropped_sources.lock().unwrap().contains(&source)
    }

    fn handle_packet(self: &Arc<Self>, source: SocketAddr, packet: Packet) {
        match (packet.header.code, packet.header.get_type()) {
            (MessageClass::Request(_), _) => self.handle_request(source, packet),
            (MessageClass::Empty, MessageType::Confirmable) => {
                self.send_empty(source, MessageType::Reset, packet.header.message_id);
            }
            (MessageClass::Empty, MessageType::Reset) => {
                let message_id = packet.header.message_id;
                let mut observers = self.observers.lock().unwrap();
                observers.retain(|(address, _), observer| {
                    *address != source || observer.last_message_id != message_id
                });
            }
            _ => {}
        }
    }

    fn handle_request(self: &Arc<Self>, source: SocketAddr, packet: Packet) {
        let key = (source, packet.header.message_id);
        {
            let mut response_cache = self.response_cache.lock().unwrap();
            if let Some(cached) = response_cache.get(&key) {
                if let Some(response) = cached {
                    let _ = self.socket.try_send_to(response, source);
                }
                return;
            }
            response_cache.insert(key, None);
        }
        let server = self.clone();
        tokio::spawn(async move { server.serve(source, packet).await });
    }

    async fn serve(self: Arc<Self>, source: SocketAddr, request: Packet) {
        let is_feed = request.get_observe_value().is_some();
        if !is_feed && self.busy_slots.fetch_add(1, Ordering::AcqRel) >= self.slots {
            self.busy_slots.fetch_sub(1, Ordering::AcqRel);
            self.shed_requests.fetch_add(1, Ordering::Relaxed);
            let response = response_to(&request, ResponseType::ServiceUnavailable);
            return self.send_response(source, &request, response);
        }
        self.record_execution(&request);
        let is_separate = !is_feed && self.run_for_service_time(source, &request).await;
        let mut response = self.build_response(source, &request);
        if is_separate {
            response.header.set_type(MessageType::Confirmable);
            response.header.message_id = self.next_message_id.fetch_add(1, Ordering::Relaxed);
        }
        if !is_feed {
            self.busy_slots.fetch_sub(1, Ordering::AcqRel);
        }
        self.send_response(source, &request, response);
    }

    /// Waits for the request's service time; returns whether an empty acknowledgement was sent
    /// before, so that the response has to be a separate one.
    async fn run_for_service_time(&self, source: SocketAddr, request: &Packet) -> bool {
        let is_straggler = rand::rng().random_bool(self.times.straggler_share);
        let service_time = if is_straggler {
            self.times.straggler
        } else {
            self.times.ordinary
        };
        let is_separate = service_time > SEPARATE_RESPONSE_THRESHOLD;
        if is_separate {
            let message_id = request.header.message_id;
            self.send_empty(source, MessageType::Acknowledgement, message_id);
        }
        sleep(service_time).await;
        is_separate
    }

    fn record_execution(&self, request: &Packet) {
        let queries = queries(request);
        let Some(id) = queries.get("id").and_then(|id| id.parse().ok()) else {
            return;
        };
        // A block-wise GET counts as one execution, recorded with its first block.
        if block_number(request) > 0 {
            return;
        }
        let kind = match request.header.code {
            MessageClass::Request(RequestType::Post) => RequestKind::Post,
            _ if request.get_observe_value().is_some() => RequestKind::Feed,
            _ => RequestKind::Fetch,
        };
        self.history.add(Event::Executed {
            id: OperationId(id),
            kind,
            service: self.service,
            requested_service: queries.get("service").cloned().unwrap_or_default(),
            endpoint: self.address,
        });
    }

    fn build_response(&self, source: SocketAddr, request: &Packet) -> Packet {
        match request.header.code {
            MessageClass::Request(RequestType::Post) => {
                let mut response = response_to(request, ResponseType::Created);
                response.payload = queries(request)
                    .remove("id")
                    .unwrap_or_default()
                    .into_bytes();
                response
            }
            _ if request.get_observe_value() == Some(Ok(0)) => {
                self.register_observer(source, request)
            }
            _ => self.large_response(request),
        }
    }

    fn register_observer(&self, source: SocketAddr, request: &Packet) -> Packet {
        let key = (source, request.get_token().to_vec());
        let observer = Observer {
            last_message_id: request.header.message_id,
            notifications_sent: 0,
        };
        self.observers.lock().unwrap().insert(key, observer);
        self.add_reading(response_to(request, ResponseType::Content))
    }

    fn add_reading(&self, mut packet: Packet) -> Packet {
        let value = self.next_reading.fetch_add(1, Ordering::Relaxed);
        packet.set_observe_value((value & 0x00ff_ffff) as u32);
        packet.add_option(CoapOption::MaxAge, vec![READING_MAX_AGE_S]);
        packet.payload = value.to_string().into_bytes();
        packet
    }

    /// Returns one block; its content names the request and the server, so that a mix of blocks
    /// from different servers is detected.
    fn large_response(&self, request: &Packet) -> Packet {
        let number = block_number(request);
        let mut response = response_to(request, ResponseType::Content);
        let id = queries(request).remove("id").unwrap_or_default();
        let has_more = number + 1 < LARGE_RESPONSE_BLOCKS;
        response.add_option(CoapOption::ETag, self.address.port().to_be_bytes().to_vec());
        let block = (number as u8) << 4 | u8::from(has_more) << 3 | BLOCK_EXPONENT;
        response.add_option(CoapOption::Block2, vec![block]);
        let line = format!("{id}/{}/{number};", self.address.port());
        response.payload = line.bytes().cycle().take(BLOCK_LEN).collect();
        response
    }

    fn send_response(&self, source: SocketAddr, request: &Packet, response: Packet) {
        let datagram = response.to_bytes().expect("a built response encodes");
        let key = (source, request.header.message_id);
        if !self.is_source_dropped(source) {
            let _ = self.socket.try_send_to(&datagram, source);
        }
        self.response_cache
            .lock()
            .unwrap()
            .insert(key, Some(datagram));
    }

    async fn send_notifications(self: Arc<Self>) {
        loop {
            sleep(NOTIFY_INTERVAL).await;
            let observers: Vec<_> = {
                let observers = self.observers.lock().unwrap();
                observers.keys().cloned().collect()
            };
            for key in observers {
                self.send_notification(&key);
            }
        }
    }

    fn send_notification(&self, key: &(SocketAddr, Vec<u8>)) {
        let message_id = self.next_message_id.fetch_add(1, Ordering::Relaxed);
        let notifications_sent = {
            let mut observers = self.observers.lock().unwrap();
            let Some(observer) = observers.get_mut(key) else {
                return;
            };
            observer.last_message_id = message_id;
            observer.notifications_sent += 1;
            observer.notifications_sent
        };
        if self.is_source_dropped(key.0) {
            return;
        }
        let mut packet = Packet::new();
        packet.header.code = MessageClass::Response(ResponseType::Content);
        packet.header.message_id = message_id;
        packet.header.set_type(
            if notifications_sent.is_multiple_of(NOTIFICATIONS_PER_CONFIRMABLE) {
                MessageType::Confirmable
            } else {
                MessageType::NonConfirmable
            },
        );
        packet.set_token(key.1.clone());
        let packet = self.add_reading(packet);
        let datagram = packet.to_bytes().expect("a built notification encodes");
        let _ = self.socket.try_send_to(&datagram, key.0);
    }

    fn send_empty(&self, peer: SocketAddr, message_type: MessageType, message_id: u16) {
        let mut packet = Packet::new();
        packet.header.set_type(message_type);
        packet.header.code = MessageClass::Empty;
        packet.header.message_id = message_id;
        let datagram = packet.to_bytes().expect("an empty message encodes");
        let _ = self.socket.try_send_to(&datagram, peer);
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.crash();
    }
}

/// Returns a piggybacked response without payload; a separate response needs another type and
/// message id.
fn response_to(request: &Packet, code: ResponseType) -> Packet {
    let mut packet = Packet::new();
    packet.header.set_type(MessageType::Acknowledgement);
    packet.header.code = MessageClass::Response(code);
    packet.header.message_id = request.header.message_id;
    packet.set_token(request.get_token().to_vec());
    packet
}

/// Returns the block number in the Block2 option; 0 without the option.
pub fn block_number(packet: &Packet) -> usize {
    let value = packet.get_first_option(CoapOption::Block2);
    value.map_or(0, |bytes| {
        let value = bytes
            .iter()
            .fold(0usize, |value, byte| value << 8 | usize::from(*byte));
        value >> 4
    })
}

fn queries(packet: &Packet) -> HashMap<String, String> {
    let segments = packet
        .get_option(CoapOption::UriQuery)
        .into_iter()
        .flatten();
    segments
        .filter_map(|segment| {
            let text = String::from_utf8_lossy(segment);
            let (name, value) = text.split_once('=')?;
            Some((name.to_owned(), value.to_owned()))
        })
        .collect()
}
