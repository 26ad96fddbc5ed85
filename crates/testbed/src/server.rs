//! Stand-in for a backend server that speaks CoAP.

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

/// Time between two notifications of a reading.
pub const NOTIFY_INTERVAL: Duration = Duration::from_millis(500);

/// Every so many notifications one is confirmable.
const CONFIRMABLE_EVERY: u64 = 5;

/// Freshness stated with each reading, seconds.
pub const READING_MAX_AGE_S: u8 = 8;

/// Size of one block, bytes; the exponent in Block2 is 5.
const BLOCK_LEN: usize = 512;
const BLOCK_EXPONENT: u8 = 5;

/// Blocks of a large answer.
pub const LARGE_BLOCKS: usize = 4;

/// Service time above which the answer is a separate one (RFC 7252, section 5.2.2).
const SEPARATE_AFTER: Duration = Duration::from_millis(150);

/// How long requests take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceTimes {
    /// Ordinary service time.
    pub ordinary: Duration,
    /// Share of stragglers.
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

/// Answers by source and message id; `None` while one is in progress.
type Seen = HashMap<(SocketAddr, u16), Option<Vec<u8>>>;

/// A backend server.
#[derive(Debug)]
pub struct Server {
    /// Where it listens.
    pub address: SocketAddr,
    /// Requests served at once.
    pub slots: u32,
    service: &'static str,
    times: ServiceTimes,
    socket: UdpSocket,
    history: Arc<History>,
    busy: AtomicU32,
    shed_requests: AtomicU64,
    value: Arc<AtomicU64>,
    next_message_id: AtomicU16,
    observers: Mutex<HashMap<(SocketAddr, Vec<u8>), Observer>>,
    /// Answers by caller and message id, for duplicates (RFC 7252, section 4.5).
    seen: Mutex<Seen>,
    /// Sources whose packets are lost without a trace.
    silenced: Mutex<HashSet<SocketAddr>>,
    is_silent_to_known: AtomicBool,
    tasks: Mutex<Vec<JoinHandle<()>>>,
}

#[derive(Clone, Copy, Debug)]
struct Observer {
    last_message_id: u16,
    sent: u64,
}

impl Server {
    /// Starts a server of `service`; all servers of a service share `value`.
    pub async fn start(
        service: &'static str,
        slots: u32,
        times: ServiceTimes,
        value: Arc<AtomicU64>,
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
            busy: AtomicU32::new(0),
            shed_requests: AtomicU64::new(0),
            value,
            next_message_id: AtomicU16::new(rand::random()),
            observers: Mutex::default(),
            seen: Mutex::default(),
            silenced: Mutex::default(),
            is_silent_to_known: AtomicBool::new(false),
            tasks: Mutex::default(),
        });
        let tasks = vec![
            tokio::spawn(server.clone().receive()),
            tokio::spawn(server.clone().notify()),
        ];
        *server.tasks.lock().unwrap() = tasks;
        Ok(server)
    }

    /// Loses all packets from and to the sources known so far; fresh ports work.
    pub fn drop_known_sources(&self) {
        let observers = self.observers.lock().unwrap();
        let seen = self.seen.lock().unwrap();
        let sources = observers.keys().map(|(source, _)| *source);
        let sources = sources.chain(seen.keys().map(|(source, _)| *source));
        self.silenced.lock().unwrap().extend(sources);
        self.is_silent_to_known.store(true, Ordering::Relaxed);
    }

    /// Stops as a crash does.
    pub fn crash(&self) {
        for task in self.tasks.lock().unwrap().drain(..) {
            task.abort();
        }
    }

    /// Returns the requests refused for want of a slot.
    pub fn shed_requests(&self) -> u64 {
        self.shed_requests.load(Ordering::Relaxed)
    }

    async fn receive(self: Arc<Self>) {
        let mut buffer = vec![0; 65_535];
        loop {
            let Ok((len, source)) = self.socket.recv_from(&mut buffer).await else {
                continue;
            };
            if self.is_silenced(source) {
                continue;
            }
            if let Ok(packet) = Packet::from_bytes(&buffer[..len]) {
                self.take(source, packet);
            }
        }
    }

    fn is_silenced(&self, source: SocketAddr) -> bool {
        self.is_silent_to_known.load(Ordering::Relaxed)
            && self.silenced.lock().unwrap().contains(&source)
    }

    fn take(self: &Arc<Self>, source: SocketAddr, packet: Packet) {
        match (packet.header.code, packet.header.get_type()) {
            (MessageClass::Request(_), _) => self.take_request(source, packet),
            (MessageClass::Empty, MessageType::Confirmable) => {
                self.send_empty(source, MessageType::Reset, packet.header.message_id);
            }
            (MessageClass::Empty, MessageType::Reset) => {
                let id = packet.header.message_id;
                let mut observers = self.observers.lock().unwrap();
                observers.retain(|(observer, _), state| {
                    *observer != source || state.last_message_id != id
                });
            }
            _ => {}
        }
    }

    fn take_request(self: &Arc<Self>, source: SocketAddr, packet: Packet) {
        let key = (source, packet.header.message_id);
        {
            let mut seen = self.seen.lock().unwrap();
            if let Some(answer) = seen.get(&key) {
                if let Some(answer) = answer {
                    let _ = self.socket.try_send_to(answer, source);
                }
                return;
            }
            seen.insert(key, None);
        }
        let server = self.clone();
        tokio::spawn(async move { server.serve(source, packet).await });
    }

    async fn serve(self: Arc<Self>, source: SocketAddr, request: Packet) {
        let is_feed = request.get_observe_value().is_some();
        if !is_feed && self.busy.fetch_add(1, Ordering::AcqRel) >= self.slots {
            self.busy.fetch_sub(1, Ordering::AcqRel);
            self.shed_requests.fetch_add(1, Ordering::Relaxed);
            let answer = answer_to(&request, ResponseType::ServiceUnavailable);
            return self.answer(source, &request, answer);
        }
        self.note_execution(&request);
        let is_separate = !is_feed && self.work(source, &request).await;
        let mut answer = self.build_answer(source, &request);
        if is_separate {
            answer.header.set_type(MessageType::Confirmable);
            answer.header.message_id = self.next_message_id.fetch_add(1, Ordering::Relaxed);
        }
        if !is_feed {
            self.busy.fetch_sub(1, Ordering::AcqRel);
        }
        self.answer(source, &request, answer);
    }

    /// Takes the request's service time; returns whether it was acknowledged before.
    async fn work(&self, source: SocketAddr, request: &Packet) -> bool {
        let is_straggler = rand::rng().random_bool(self.times.straggler_share);
        let time = if is_straggler {
            self.times.straggler
        } else {
            self.times.ordinary
        };
        let is_separate = time > SEPARATE_AFTER;
        if is_separate {
            let id = request.header.message_id;
            self.send_empty(source, MessageType::Acknowledgement, id);
        }
        sleep(time).await;
        is_separate
    }

    fn note_execution(&self, request: &Packet) {
        let queries = queries(request);
        let Some(id) = queries.get("id").and_then(|id| id.parse().ok()) else {
            return;
        };
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

    fn build_answer(&self, source: SocketAddr, request: &Packet) -> Packet {
        match request.header.code {
            MessageClass::Request(RequestType::Post) => {
                let mut answer = answer_to(request, ResponseType::Created);
                answer.payload = queries(request)
                    .remove("id")
                    .unwrap_or_default()
                    .into_bytes();
                answer
            }
            _ if request.get_observe_value() == Some(Ok(0)) => self.register(source, request),
            _ => self.large_answer(request),
        }
    }

    fn register(&self, source: SocketAddr, request: &Packet) -> Packet {
        let key = (source, request.get_token().to_vec());
        let observer = Observer {
            last_message_id: request.header.message_id,
            sent: 0,
        };
        self.observers.lock().unwrap().insert(key, observer);
        self.reading(answer_to(request, ResponseType::Content))
    }

    fn reading(&self, mut packet: Packet) -> Packet {
        let value = self.value.fetch_add(1, Ordering::Relaxed);
        packet.set_observe_value((value & 0x00ff_ffff) as u32);
        packet.add_option(CoapOption::MaxAge, vec![READING_MAX_AGE_S]);
        packet.payload = value.to_string().into_bytes();
        packet
    }

    /// Returns one block; its content names the request and the server, so that blocks
    /// of different servers cannot be joined unseen.
    fn large_answer(&self, request: &Packet) -> Packet {
        let number = block_number(request);
        let mut answer = answer_to(request, ResponseType::Content);
        let id = queries(request).remove("id").unwrap_or_default();
        let has_more = number + 1 < LARGE_BLOCKS;
        answer.add_option(CoapOption::ETag, self.address.port().to_be_bytes().to_vec());
        let block = (number as u8) << 4 | u8::from(has_more) << 3 | BLOCK_EXPONENT;
        answer.add_option(CoapOption::Block2, vec![block]);
        let line = format!("{id}/{}/{number};", self.address.port());
        answer.payload = line.bytes().cycle().take(BLOCK_LEN).collect();
        answer
    }

    fn answer(&self, source: SocketAddr, request: &Packet, answer: Packet) {
        let datagram = answer.to_bytes().expect("a built answer encodes");
        let key = (source, request.header.message_id);
        if !self.is_silenced(source) {
            let _ = self.socket.try_send_to(&datagram, source);
        }
        self.seen.lock().unwrap().insert(key, Some(datagram));
    }

    async fn notify(self: Arc<Self>) {
        loop {
            sleep(NOTIFY_INTERVAL).await;
            let observers: Vec<_> = {
                let observers = self.observers.lock().unwrap();
                observers.keys().cloned().collect()
            };
            for key in observers {
                self.notify_one(&key);
            }
        }
    }

    fn notify_one(&self, key: &(SocketAddr, Vec<u8>)) {
        let id = self.next_message_id.fetch_add(1, Ordering::Relaxed);
        let sent = {
            let mut observers = self.observers.lock().unwrap();
            let Some(observer) = observers.get_mut(key) else {
                return;
            };
            observer.last_message_id = id;
            observer.sent += 1;
            observer.sent
        };
        if self.is_silenced(key.0) {
            return;
        }
        let mut packet = Packet::new();
        packet.header.code = MessageClass::Response(ResponseType::Content);
        packet.header.message_id = id;
        packet
            .header
            .set_type(if sent.is_multiple_of(CONFIRMABLE_EVERY) {
                MessageType::Confirmable
            } else {
                MessageType::NonConfirmable
            });
        packet.set_token(key.1.clone());
        let packet = self.reading(packet);
        let datagram = packet.to_bytes().expect("a built notification encodes");
        let _ = self.socket.try_send_to(&datagram, key.0);
    }

    fn send_empty(&self, target: SocketAddr, kind: MessageType, id: u16) {
        let mut packet = Packet::new();
        packet.header.set_type(kind);
        packet.header.code = MessageClass::Empty;
        packet.header.message_id = id;
        let datagram = packet.to_bytes().expect("an empty message encodes");
        let _ = self.socket.try_send_to(&datagram, target);
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.crash();
    }
}

fn answer_to(request: &Packet, code: ResponseType) -> Packet {
    let mut packet = Packet::new();
    packet.header.set_type(MessageType::Acknowledgement);
    packet.header.code = MessageClass::Response(code);
    packet.header.message_id = request.header.message_id;
    packet.set_token(request.get_token().to_vec());
    packet
}

/// Returns the number of the requested block.
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
