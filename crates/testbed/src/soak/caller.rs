//! Stand-ins for callers, which open flows through the VMs in rotation and check the responses.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use ragwortbeam_platform_standin::{ACK, CHECKSUM, FIN, RST, SYN, WirePacket};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep, timeout_at};

use super::faults::{
    CHANGING_ROUTE, LEDGER_IDEMPOTENT_ROUTE, LEDGER_NON_IDEMPOTENT_ROUTE, VAULT_ROUTE,
};
use super::{Cluster, port};

/// Times since the start of an opening at which its SYN is sent.
const SYN_TIMES_MS: [u64; 3] = [0, 200, 600];

/// Time after which an unanswered opening fails.
const OPENING_TIMEOUT: Duration = Duration::from_millis(1400);

/// Time after which an unanswered request fails.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(3000);

/// Interval between retransmissions of an unanswered request.
const RETRANSMIT_INTERVAL_MS: u64 = 200;

/// Largest number of requests on one flow of an idempotent route.
const MAX_FLOW_REQUESTS: u32 = 12;

/// One flow of a caller.
struct Flow<'a> {
    cluster: &'a Cluster,
    socket: &'a UdpSocket,
    source: SocketAddrV4,
    destination: SocketAddrV4,
    /// Steering token; 0 until an endpoint accepted the flow.
    token: u32,
    sequence: u32,
    /// Number of earlier SYNs during the opening, then the endpoint's sequence number.
    acknowledged: u32,
}

/// Opens flows, one at a time, until the task is aborted.
pub(crate) async fn run(cluster: Arc<Cluster>, number: u8) {
    let address = SocketAddrV4::new(cluster.ip(2, number), port::PACKET);
    let socket = UdpSocket::bind(address)
        .await
        .expect("the caller's address is unused");
    let mut rng = StdRng::seed_from_u64(cluster.options.seed << 8 | u64::from(number));
    let routes = [
        LEDGER_IDEMPOTENT_ROUTE,
        LEDGER_NON_IDEMPOTENT_ROUTE,
        VAULT_ROUTE,
        CHANGING_ROUTE,
    ];
    let mut next_port: u16 = 1024;
    loop {
        next_port = next_port.checked_add(1).unwrap_or(1024);
        let destination = routes[rng.random_range(0..routes.len())];
        let mut flow = Flow {
            cluster: &cluster,
            socket: &socket,
            source: SocketAddrV4::new(*address.ip(), next_port),
            destination,
            token: 0,
            sequence: rng.random(),
            acknowledged: 0,
        };
        let is_idempotent = destination.port().is_multiple_of(2);
        let requests = if is_idempotent {
            rng.random_range(1..=MAX_FLOW_REQUESTS)
        } else {
            1
        };
        let is_served = flow.run_requests(requests, &mut rng).await;
        // A flow to the changing route may fail because the route is not configured.
        if destination != CHANGING_ROUTE {
            cluster.checker.record_flow(is_served);
        }
        sleep(Duration::from_millis(rng.random_range(5..60))).await;
    }
}

impl Flow<'_> {
    /// Opens the flow, sends `requests` requests and closes it; returns whether all of them
    /// were answered.
    async fn run_requests(&mut self, requests: u32, rng: &mut StdRng) -> bool {
        if !self.open().await {
            return false;
        }
        for _ in 0..requests {
            if !self.request(rng.random()).await {
                return false;
            }
            sleep(Duration::from_millis(rng.random_range(10..300))).await;
        }
        self.send(FIN | ACK, Vec::new()).await;
        true
    }

    /// Opens the flow; returns whether an endpoint accepted it.
    async fn open(&mut self) -> bool {
        let started_at = Instant::now();
        for (attempt, at_ms) in SYN_TIMES_MS.iter().enumerate() {
            self.acknowledged = attempt as u32;
            self.send(SYN, Vec::new()).await;
            let next_ms = SYN_TIMES_MS.get(attempt + 1);
            let timeout = next_ms.map_or(OPENING_TIMEOUT, |ms| Duration::from_millis(*ms));
            debug_assert!(Duration::from_millis(*at_ms) < timeout);
            let Some(packet) = self.receive(started_at + timeout).await else {
                continue;
            };
            if packet.flags & RST != 0 {
                // Only a VM's reset has checksum 0.
                if packet.checksum == 0 {
                    self.check_refusal();
                }
                return false;
            }
            self.token = packet.token;
            self.acknowledged = packet.sequence;
            return true;
        }
        false
    }

    /// Sends a request until it is answered; returns whether it was answered in time.
    async fn request(&mut self, request: u64) -> bool {
        let data = request.to_be_bytes().to_vec();
        // The endpoint uses its id as sequence number.
        let endpoint_id = u64::from(self.acknowledged);
        let started_at = Instant::now();
        let mut retransmit_at = started_at;
        while started_at.elapsed() < REQUEST_TIMEOUT {
            self.send(ACK, data.clone()).await;
            retransmit_at += Duration::from_millis(RETRANSMIT_INTERVAL_MS);
            let Some(packet) = self.receive(retransmit_at).await else {
                continue;
            };
            if packet.flags & RST != 0 {
                self.check_reset(&packet, endpoint_id);
                return false;
            }
            // A response consists of the request's data and the id of the endpoint. Other packets
            // are late responses, which are skipped.
            let Some(responder) = packet.data.strip_prefix(&data[..]) else {
                continue;
            };
            if responder != endpoint_id.to_be_bytes() {
                let violation = format!(
                    "flow from {} received a response from another endpoint",
                    self.source
                );
                self.cluster.checker.report_violation(violation);
            }
            self.sequence = self.sequence.wrapping_add(data.len() as u32);
            return true;
        }
        false
    }

    /// Checks a reset by which a VM refused to open the flow.
    fn check_refusal(&self) {
        self.cluster.checker.record_reset();
        let service = match self.destination {
            LEDGER_IDEMPOTENT_ROUTE | LEDGER_NON_IDEMPOTENT_ROUTE => "ledger",
            VAULT_ROUTE => "vault",
            // The changing route may not be configured.
            _ => return,
        };
        let is_service_available = self.cluster.endpoints.is_service_available(service);
        self.cluster
            .checker
            .check_refusal(self.destination, is_service_available);
    }

    /// Checks a reset of an open flow; a reset by the endpoint, whose checksum is not 0, is
    /// accepted.
    fn check_reset(&self, packet: &WirePacket, endpoint_id: u64) {
        if packet.checksum != 0 {
            return;
        }
        self.cluster.checker.record_reset();
        if self.cluster.endpoints.is_settled(endpoint_id) {
            let violation = format!(
                "flow from {} was reset although its endpoint {endpoint_id:x} runs without faults",
                self.source
            );
            self.cluster.checker.report_violation(violation);
        }
    }

    /// Sends a packet to the VM that the hash of the flow's addresses selects from the rotation.
    async fn send(&self, flags: u8, data: Vec<u8>) {
        let mut hasher = DefaultHasher::new();
        (self.source, self.destination).hash(&mut hasher);
        let vm = self.cluster.vms.select_vm(self.cluster, hasher.finish());
        let packet = WirePacket {
            token: self.token,
            flags,
            checksum: CHECKSUM,
            source: self.source,
            destination: self.destination,
            sequence: self.sequence,
            acknowledged: self.acknowledged,
            data,
        };
        if let Err(error) = self.socket.send_to(&packet.encode(), vm).await {
            println!("caller {}: sending a packet failed: {error}", self.source);
        }
    }

    /// Returns the next packet of this flow, or `None` at the deadline.
    async fn receive(&self, deadline: Instant) -> Option<WirePacket> {
        let mut datagram = [0; 2048];
        loop {
            let received = timeout_at(deadline, self.socket.recv_from(&mut datagram)).await;
            let Ok((len, _)) = received.ok()? else {
                continue;
            };
            let Some(packet) = WirePacket::decode(&datagram[..len]) else {
                let violation = format!("flow from {} received a malformed packet", self.source);
                self.cluster.checker.report_violation(violation);
                continue;
            };
            if packet.destination == self.source && packet.source == self.destination {
                return Some(packet);
            }
        }
    }
}
