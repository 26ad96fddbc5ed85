//! Stand-ins for endpoints, which register in the store and respond to callers directly, not
//! through a VM.

use std::collections::{HashMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use ragwortbeam_platform_standin::{self as wire, ACK, CHECKSUM, FIN, RST, SYN, WirePacket};
use tokio::net::UdpSocket;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use super::guarantees::GuaranteeChecker;
use super::store::Store;
use super::{port, vms};

/// Services, each with its number of endpoints at the start of a run.
pub(crate) const SERVICES: [(&str, u8); 2] = [("ledger", 6), ("vault", 3)];

/// Execution time of a request; retransmissions of it are answered at once.
const REQUEST_DURATION: Duration = Duration::from_millis(8);

/// Duration of the warm-up of an endpoint of `ledger`.
pub(crate) const WARMUP_TIME: Duration = Duration::from_secs(2);

/// Requests a second that such an endpoint bears meanwhile.
pub(crate) const WARMUP_RATE_PER_S: f64 = 2.0;

/// Factor for that rate in the VMs' settings.
pub(crate) const WARMUP_OVERRUN: f64 = 1.5;

/// Requests a second beyond the multiplied rate in the VMs' settings.
pub(crate) const WARMUP_SLACK: f64 = 1.0;

/// Most flows that the endpoint may get in any second.
const MAX_WARMUP_OPENINGS: usize = (WARMUP_RATE_PER_S * WARMUP_OVERRUN + WARMUP_SLACK) as usize;

/// Time from an endpoint's start until VMs have to know it, and from its last packet fault
/// until VMs must not reset its flows.
const SETTLING_TIME: Duration = Duration::from_secs(4);

/// Time during which VMs have to keep using endpoints whose entries expired.
const EXPIRED_ENTRY_GRACE: Duration = Duration::from_millis(1000);

/// Largest delay until VMs learn of entries that were registered again.
const MAX_REREGISTRATION_DELAY: Duration = Duration::from_millis(3000);

/// Fault that an endpoint injects into the packets it receives.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum PacketFault {
    /// No fault: all packets are handled.
    #[default]
    None,
    /// Drops all packets.
    Drop,
    /// Handles each packet after a delay of 30 ms.
    Delay,
}

#[derive(Debug)]
struct Endpoint {
    id: u64,
    service: &'static str,
    is_draining: bool,
    packet_fault: PacketFault,
    started_at: Instant,
    /// Last change of the packet fault, `None` if there was none.
    packet_fault_changed_at: Option<Instant>,
    task: JoinHandle<()>,
}

/// All endpoints of a run. An endpoint's number is the last byte of its address.
pub(crate) struct EndpointPool {
    subnet: u8,
    store: Arc<Store>,
    checker: Arc<GuaranteeChecker>,
    endpoints: Arc<Mutex<HashMap<u8, Endpoint>>>,
    /// Id of the endpoint started last.
    last_id: Mutex<u64>,
    /// `None` if the entries never expired in this run.
    expiry: Mutex<Option<Expiry>>,
}

/// The most recent expiry of all entries.
#[derive(Clone, Copy, Debug)]
struct Expiry {
    /// Time at which the entries were removed.
    at: Instant,
    /// Time at which the entries were registered again, `None` before.
    registered_at: Option<Instant>,
}

impl Expiry {
    /// Returns whether VMs may refuse flows because of the expiry: the entries were missing for
    /// longer than the grace, and VMs may not know yet that they were registered again.
    fn excuses_refusals(&self) -> bool {
        let registered_at = self.registered_at.unwrap_or_else(Instant::now);
        let exceeds_grace = registered_at - self.at >= EXPIRED_ENTRY_GRACE;
        let has_propagated = self
            .registered_at
            .is_some_and(|at| at.elapsed() > MAX_REREGISTRATION_DELAY);
        exceeds_grace && !has_propagated
    }
}

/// State of the task that runs one endpoint.
struct EndpointTask {
    id: u64,
    number: u8,
    service_name: &'static str,
    socket: Arc<UdpSocket>,
    checker: Arc<GuaranteeChecker>,
    endpoints: Arc<Mutex<HashMap<u8, Endpoint>>>,
}

impl EndpointTask {
    /// Checks a new flow against the evacuation of the data centre and the limit for endpoints that
    /// warm up; `openings` has the times of the flows of the last second.
    fn check_new_flow(&self, openings: &mut VecDeque<Instant>) {
        let now = Instant::now();
        openings.push_back(now);
        while openings
            .front()
            .is_some_and(|at| now - *at >= Duration::from_secs(1))
        {
            openings.pop_front();
        }
        let endpoints = self.endpoints.lock().unwrap();
        let is_warming_up = endpoints
            .get(&self.number)
            .is_some_and(|it| it.id == self.id && it.started_at.elapsed() < WARMUP_TIME);
        if self.service_name == "ledger" && is_warming_up {
            self.checker
                .check_warmup(self.id, openings.len(), MAX_WARMUP_OPENINGS);
        }
        let data_centre = vms::data_centre(self.number);
        let elsewhere = endpoints.iter().filter(|(number, endpoint)| {
            endpoint.service == self.service_name
                && !endpoint.is_draining
                && endpoint.packet_fault == PacketFault::None
                && endpoint.started_at.elapsed() > SETTLING_TIME
                && !self.checker.is_evacuated(vms::data_centre(**number))
                && !self.checker.evacuation_ended_within(
                    vms::data_centre(**number),
                    MAX_REREGISTRATION_DELAY + Duration::from_millis(500),
                )
        });
        let has_endpoint_elsewhere = elsewhere.count() > 0;
        drop(endpoints);
        self.checker
            .check_evacuation(data_centre, self.id, has_endpoint_elsewhere);
    }
}

impl EndpointPool {
    pub(crate) fn new(subnet: u8, store: Arc<Store>, checker: Arc<GuaranteeChecker>) -> Self {
        Self {
            subnet,
            store,
            checker,
            endpoints: Arc::default(),
            last_id: Mutex::new(0x7f3a_0000),
            expiry: Mutex::default(),
        }
    }

    /// Starts the initial endpoints of all services.
    pub(crate) async fn start_all(&self) -> std::io::Result<()> {
        let mut number = 0;
        for (service, count) in SERVICES {
            for _ in 0..count {
                number += 1;
                self.start(number, service).await?;
            }
        }
        Ok(())
    }

    /// Starts and registers an endpoint at an unused address.
    pub(crate) async fn start(&self, number: u8, service: &'static str) -> std::io::Result<()> {
        let address = SocketAddrV4::new(self.ip(number), port::ENDPOINT);
        let socket = Arc::new(UdpSocket::bind(address).await?);
        let id = {
            let mut last = self.last_id.lock().unwrap();
            *last += 1;
            *last
        };
        let task = tokio::spawn(serve(EndpointTask {
            id,
            number,
            service_name: service,
            socket,
            checker: self.checker.clone(),
            endpoints: self.endpoints.clone(),
        }));
        let endpoint = Endpoint {
            id,
            service,
            is_draining: false,
            packet_fault: PacketFault::None,
            started_at: Instant::now(),
            packet_fault_changed_at: None,
            task,
        };
        self.register(number, &endpoint);
        self.endpoints.lock().unwrap().insert(number, endpoint);
        Ok(())
    }

    /// Returns the sorted numbers of the endpoints that are not draining.
    pub(crate) fn serving(&self) -> Vec<u8> {
        let endpoints = self.endpoints.lock().unwrap();
        let serving = endpoints.iter().filter(|(_, it)| !it.is_draining);
        let mut numbers: Vec<u8> = serving.map(|(number, _)| *number).collect();
        numbers.sort_unstable();
        numbers
    }

    /// Returns the service of an endpoint, or `None` if it is not running.
    pub(crate) fn service(&self, number: u8) -> Option<&'static str> {
        self.endpoints
            .lock()
            .unwrap()
            .get(&number)
            .map(|it| it.service)
    }

    /// Marks an endpoint's entry as draining. The withdrawal is recorded only while the store
    /// responds normally, since VMs may learn of it late otherwise.
    pub(crate) fn drain(&self, number: u8) {
        let mut endpoints = self.endpoints.lock().unwrap();
        let Some(endpoint) = endpoints.get_mut(&number) else {
            return;
        };
        endpoint.is_draining = true;
        self.register(number, endpoint);
        if self.store.responds_normally() {
            self.checker.record_withdrawal(endpoint.id);
        }
    }

    /// Stops an endpoint if it is running; its entry stays unless `is_entry_removed` is true.
    pub(crate) fn stop(&self, number: u8, is_entry_removed: bool) {
        let Some(endpoint) = self.endpoints.lock().unwrap().remove(&number) else {
            return;
        };
        endpoint.task.abort();
        if is_entry_removed {
            self.remove_entry(endpoint.id);
        }
    }

    /// Returns the id of an endpoint, or `None` if it is not running.
    pub(crate) fn id(&self, number: u8) -> Option<u64> {
        self.endpoints.lock().unwrap().get(&number).map(|it| it.id)
    }

    /// Removes the entry of the endpoint with this id. The withdrawal is recorded only while the
    /// store responds normally, since VMs may learn of it late otherwise.
    pub(crate) fn remove_entry(&self, id: u64) {
        self.store.remove(&wire::endpoint_key(id));
        if self.store.responds_normally() {
            self.checker.record_withdrawal(id);
        }
    }

    /// Removes all entries, as if their leases expired during an outage of the store.
    pub(crate) fn expire_all_entries(&self) {
        *self.expiry.lock().unwrap() = Some(Expiry {
            at: Instant::now(),
            registered_at: None,
        });
        for endpoint in self.endpoints.lock().unwrap().values() {
            self.store.remove(&wire::endpoint_key(endpoint.id));
        }
    }

    /// Registers all endpoints again.
    pub(crate) fn register_all(&self) {
        for (number, endpoint) in self.endpoints.lock().unwrap().iter() {
            self.register(*number, endpoint);
        }
        if let Some(expiry) = self.expiry.lock().unwrap().as_mut() {
            expiry.registered_at = Some(Instant::now());
        }
    }

    /// Removes the entries under the ids of endpoints that do not run, as if their leases expired.
    pub(crate) fn expire_entries_of_stopped(&self) {
        let endpoints = self.endpoints.lock().unwrap();
        let running: Vec<String> = endpoints
            .values()
            .map(|it| wire::endpoint_key(it.id))
            .collect();
        drop(endpoints);
        for key in self.store.entry_keys() {
            if !running.contains(&key) {
                self.store.remove(&key);
            }
        }
    }

    /// Sets the packet fault of an endpoint, if it is running.
    pub(crate) fn set_packet_fault(&self, number: u8, packet_fault: PacketFault) {
        self.checker.record_fault();
        if let Some(endpoint) = self.endpoints.lock().unwrap().get_mut(&number) {
            endpoint.packet_fault = packet_fault;
            endpoint.packet_fault_changed_at = Some(Instant::now());
        }
    }

    /// Returns whether an endpoint has run without a packet fault for long enough that VMs
    /// must not reset its flows.
    pub(crate) fn is_settled(&self, id: u64) -> bool {
        let endpoints = self.endpoints.lock().unwrap();
        endpoints.values().any(|endpoint| {
            let is_stable = endpoint
                .packet_fault_changed_at
                .is_none_or(|at| at.elapsed() > SETTLING_TIME);
            endpoint.id == id && endpoint.packet_fault == PacketFault::None && is_stable
        })
    }

    /// Returns whether VMs must accept flows of a service: it has an endpoint that is not
    /// draining and has run for long enough that they know it, and no expiry of the entries
    /// excuses a refusal.
    pub(crate) fn is_service_available(&self, service: &str) -> bool {
        let is_refusal_excused = self
            .expiry
            .lock()
            .unwrap()
            .is_some_and(|it| it.excuses_refusals());
        let endpoints = self.endpoints.lock().unwrap();
        let all_evacuated = [1, 2]
            .into_iter()
            .all(|number| self.checker.is_evacuated(vms::data_centre(number)));
        let mut available = endpoints.iter().filter(|(number, endpoint)| {
            let is_known = endpoint.started_at.elapsed() > SETTLING_TIME;
            // After an evacuation, VMs keep the limit for endpoints that warm up.
            let data_centre = vms::data_centre(**number);
            let may_warm_up = self
                .checker
                .evacuation_ended_within(data_centre, WARMUP_TIME + MAX_REREGISTRATION_DELAY);
            let is_left = all_evacuated || !self.checker.is_evacuated(data_centre);
            let is_usable = !endpoint.is_draining && is_known && is_left && !may_warm_up;
            endpoint.service == service && is_usable
        });
        available.next().is_some() && !is_refusal_excused
    }

    fn ip(&self, number: u8) -> Ipv4Addr {
        super::ip(self.subnet, 3, number)
    }

    fn register(&self, number: u8, endpoint: &Endpoint) {
        let value = wire::entry_value(&wire::Entry {
            service: endpoint.service,
            address: SocketAddrV4::new(self.ip(number), port::ENDPOINT),
            data_centre: vms::data_centre(number),
            slots: 3,
            is_draining: endpoint.is_draining,
            born_ms: 5,
            warmup_left_ms: WARMUP_TIME
                .saturating_sub(endpoint.started_at.elapsed())
                .as_millis() as u64,
        });
        if !endpoint.is_draining {
            self.checker.record_registration(endpoint.id);
        }
        self.store.put(&wire::endpoint_key(endpoint.id), value);
    }
}

/// Receives packets until the task is aborted.
async fn serve(endpoint: EndpointTask) {
    let mut datagram = [0; 2048];
    // Data of the requests executed on each flow, by the flow's source and destination.
    let mut flows: HashMap<(SocketAddrV4, SocketAddrV4), Vec<Vec<u8>>> = HashMap::new();
    let mut openings = VecDeque::new();
    loop {
        let Ok((len, _)) = endpoint.socket.recv_from(&mut datagram).await else {
            continue;
        };
        let packet_fault = {
            let endpoints = endpoint.endpoints.lock().unwrap();
            endpoints
                .get(&endpoint.number)
                .map_or(PacketFault::None, |it| it.packet_fault)
        };
        match packet_fault {
            PacketFault::None => {}
            PacketFault::Drop => continue,
            PacketFault::Delay => sleep(Duration::from_millis(30)).await,
        }
        // A VM puts the id of the endpoint in front of the caller's packet; 0 is accepted by all.
        let Some((id, rest)) = datagram[..len].split_first_chunk::<8>() else {
            continue;
        };
        let id = u64::from_be_bytes(*id);
        if id != 0 && id != endpoint.id {
            continue;
        }
        if let Some(packet) = WirePacket::decode(rest) {
            respond(&endpoint, &packet, &mut flows, &mut openings).await;
        }
    }
}

/// Handles one packet and sends the response to the caller directly, not through a VM.
async fn respond(
    endpoint: &EndpointTask,
    packet: &WirePacket,
    flows: &mut HashMap<(SocketAddrV4, SocketAddrV4), Vec<Vec<u8>>>,
    openings: &mut VecDeque<Instant>,
) {
    if packet.checksum != CHECKSUM {
        let violation = format!(
            "endpoint {:x} received a packet that no caller sent",
            endpoint.id
        );
        endpoint.checker.report_violation(violation);
    }
    let flow_key = (packet.source, packet.destination);
    let mut response = WirePacket {
        token: packet.token,
        flags: ACK,
        checksum: CHECKSUM,
        source: packet.destination,
        destination: packet.source,
        // The caller learns the endpoint's id from the sequence number.
        sequence: endpoint.id as u32,
        acknowledged: packet.sequence + packet.data.len() as u32,
        data: Vec::new(),
    };
    if packet.flags & SYN != 0 {
        flows.entry(flow_key).or_insert_with(|| {
            let destination = packet.destination;
            endpoint
                .checker
                .check_opening(destination, endpoint.service_name, endpoint.id);
            endpoint.check_new_flow(openings);
            Vec::new()
        });
        response.flags = SYN | ACK;
    } else if packet.flags & FIN != 0 {
        flows.remove(&flow_key);
    } else if let Some(executed) = flows.get_mut(&flow_key) {
        if packet.data.is_empty() {
            return;
        }
        if !executed.contains(&packet.data) {
            sleep(REQUEST_DURATION).await;
            // An odd port belongs to a non-idempotent route.
            if let (false, Ok(request)) = (
                packet.destination.port().is_multiple_of(2),
                packet.data[..].try_into(),
            ) {
                endpoint
                    .checker
                    .check_executed_once(u64::from_be_bytes(request));
            }
            executed.push(packet.data.clone());
        }
        response.data = [&packet.data[..], &endpoint.id.to_be_bytes()].concat();
    } else {
        response.flags = RST;
    }
    let caller_address = SocketAddrV4::new(*packet.source.ip(), port::PACKET);
    if let Err(error) = endpoint
        .socket
        .send_to(&response.encode(), caller_address)
        .await
    {
        println!(
            "endpoint {:x}: sending a packet failed: {error}",
            endpoint.id
        );
    }
}
