//! Stand-ins for callers: each opens flows through the rotation and checks its answers.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use ragwortbeam_platform_standin::{ACK, CHECKSUM, FIN, RST, SYN, WirePacket};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep, timeout_at};

use super::faults::{LEDGER_FEED, LEDGER_RECORD, MOVING, VAULT};
use super::{World, port};

/// Times after the first at which an opening packet is sent again.
const COPIES_MS: [u64; 3] = [0, 200, 600];

/// Time after which an opening is given up.
const OPENING_LIMIT: Duration = Duration::from_millis(1400);

/// Time after which a request is given up.
const REQUEST_LIMIT: Duration = Duration::from_millis(3000);

/// Pause before a request is sent again.
const REPEAT_MS: u64 = 200;

/// Most requests on one flow.
const MAX_REQUESTS: u32 = 12;

/// One flow of a caller.
struct Flow<'a> {
    world: &'a World,
    socket: &'a UdpSocket,
    near: SocketAddrV4,
    far: SocketAddrV4,
    token: u32,
    sequence: u32,
    acknowledged: u32,
}

/// Opens one flow after the other until it is aborted.
pub(crate) async fn run(world: Arc<World>, number: u8) {
    let address = SocketAddrV4::new(world.ip(2, number), port::PACKET);
    let socket = UdpSocket::bind(address)
        .await
        .expect("the caller's address is free");
    let mut random = StdRng::seed_from_u64(world.options.seed << 8 | u64::from(number));
    let routes = [LEDGER_FEED, LEDGER_RECORD, VAULT, MOVING];
    let mut next_port: u16 = 1024;
    loop {
        next_port = next_port.checked_add(1).unwrap_or(1024);
        let far = routes[random.random_range(0..routes.len())];
        let mut flow = Flow {
            world: &world,
            socket: &socket,
            near: SocketAddrV4::new(*address.ip(), next_port),
            far,
            token: 0,
            sequence: random.random(),
            acknowledged: 0,
        };
        let is_lasting = far.port().is_multiple_of(2);
        let requests = if is_lasting {
            random.random_range(1..=MAX_REQUESTS)
        } else {
            1
        };
        let is_served = flow.play(requests, &mut random).await;
        // Callers do not ask again for an address that may have no route.
        if far != MOVING {
            world.promises.note_try(is_served);
        }
        sleep(Duration::from_millis(random.random_range(5..60))).await;
    }
}

impl Flow<'_> {
    /// Returns whether all requests of the flow were answered.
    async fn play(&mut self, requests: u32, random: &mut StdRng) -> bool {
        if !self.open().await {
            return false;
        }
        for _ in 0..requests {
            if !self.request(random.random()).await {
                return false;
            }
            sleep(Duration::from_millis(random.random_range(10..300))).await;
        }
        self.send(FIN | ACK, Vec::new()).await;
        true
    }

    async fn open(&mut self) -> bool {
        let started_at = Instant::now();
        for (copy, at_ms) in COPIES_MS.iter().enumerate() {
            self.acknowledged = copy as u32;
            self.send(SYN, Vec::new()).await;
            let next_ms = COPIES_MS.get(copy + 1);
            let wait = next_ms.map_or(OPENING_LIMIT, |ms| Duration::from_millis(*ms));
            debug_assert!(Duration::from_millis(*at_ms) < wait);
            let Some(frame) = self.receive(started_at + wait).await else {
                continue;
            };
            if frame.flags & RST != 0 {
                if frame.checksum == 0 {
                    self.check_refusal();
                }
                return false;
            }
            self.token = frame.token;
            self.acknowledged = frame.sequence;
            return true;
        }
        false
    }

    async fn request(&mut self, request: u64) -> bool {
        let data = request.to_be_bytes().to_vec();
        let endpoint = u64::from(self.acknowledged);
        let started_at = Instant::now();
        let mut repeat_at = started_at;
        while started_at.elapsed() < REQUEST_LIMIT {
            self.send(ACK, data.clone()).await;
            repeat_at += Duration::from_millis(REPEAT_MS);
            let Some(frame) = self.receive(repeat_at).await else {
                continue;
            };
            if frame.flags & RST != 0 {
                self.check_reset(&frame, endpoint);
                return false;
            }
            let Some(answered) = frame.data.strip_prefix(&data[..]) else {
                continue;
            };
            if answered != endpoint.to_be_bytes() {
                let what = format!("{} got an answer of another endpoint", self.near);
                self.world.promises.break_promise(what);
            }
            self.sequence = self.sequence.wrapping_add(data.len() as u32);
            return true;
        }
        false
    }

    fn check_refusal(&self) {
        self.world.promises.note_reset();
        let service = match self.far {
            LEDGER_FEED | LEDGER_RECORD => "ledger",
            VAULT => "vault",
            _ => return,
        };
        let can_serve = self.world.endpoints.can_serve(service);
        self.world.promises.check_refusal(self.far, can_serve);
    }

    fn check_reset(&self, frame: &WirePacket, endpoint: u64) {
        if frame.checksum != 0 {
            return;
        }
        self.world.promises.note_reset();
        if self.world.endpoints.is_undisturbed(endpoint) {
            let what = format!("{} was reset on {endpoint:x}, which lives", self.near);
            self.world.promises.break_promise(what);
        }
    }

    async fn send(&self, flags: u8, data: Vec<u8>) {
        let mut hasher = DefaultHasher::new();
        (self.near, self.far).hash(&mut hasher);
        let vm = self.world.vms.pick(self.world, hasher.finish());
        let frame = WirePacket {
            token: self.token,
            flags,
            checksum: CHECKSUM,
            source: self.near,
            destination: self.far,
            sequence: self.sequence,
            acknowledged: self.acknowledged,
            data,
        };
        if let Err(error) = self.socket.send_to(&frame.encode(), vm).await {
            println!("caller {}: {error}", self.near);
        }
    }

    /// Returns the next packet of this flow, `None` at the deadline.
    async fn receive(&self, deadline: Instant) -> Option<WirePacket> {
        let mut datagram = [0; 2048];
        loop {
            let received = timeout_at(deadline, self.socket.recv_from(&mut datagram)).await;
            let Ok((len, _)) = received.ok()? else {
                continue;
            };
            let Some(frame) = WirePacket::decode(&datagram[..len]) else {
                let what = format!("{} got bytes that are no packet", self.near);
                self.world.promises.break_promise(what);
                continue;
            };
            if frame.destination == self.near && frame.source == self.far {
                return Some(frame);
            }
        }
    }
}
