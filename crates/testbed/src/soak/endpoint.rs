//! Stand-ins for endpoints: they register in the store and answer callers directly.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use ragwortbeam_platform_standin::{self as wire, ACK, CHECKSUM, FIN, RST, SYN, WirePacket};
use tokio::net::UdpSocket;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use super::promises::Promises;
use super::store::Store;
use super::{port, vms};

/// Services, and the number of endpoints that each starts with.
pub(crate) const SERVICES: [(&str, u8); 2] = [("ledger", 6), ("vault", 3)];

/// Time of one request.
const WORK: Duration = Duration::from_millis(8);

/// Time without a disturbance after which an endpoint's flows have to hold.
const UNDISTURBED: Duration = Duration::from_secs(4);

/// Time after entries lapsed in which VMs have to use their endpoints nevertheless.
const LAPSE_BOUND: Duration = Duration::from_millis(1000);

/// Time after the return of entries in which VMs learn of it.
const RETURN_BOUND: Duration = Duration::from_millis(3000);

/// What an endpoint does to packets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Link {
    /// Takes them.
    #[default]
    Well,
    /// Loses them.
    Silent,
    /// Takes them late.
    Late,
}

#[derive(Debug)]
struct Endpoint {
    id: u64,
    service: &'static str,
    is_draining: bool,
    link: Link,
    started_at: Instant,
    disturbed_at: Option<Instant>,
    task: JoinHandle<()>,
}

/// All endpoints by the last byte of their address.
pub(crate) struct Fleet {
    subnet: u8,
    store: Arc<Store>,
    promises: Arc<Promises>,
    endpoints: Arc<Mutex<HashMap<u8, Endpoint>>>,
    next_id: Mutex<u64>,
    lapse: Mutex<Option<Lapse>>,
}

/// The last time at which all entries were missing.
#[derive(Clone, Copy, Debug)]
struct Lapse {
    at: Instant,
    returned_at: Option<Instant>,
}

impl Lapse {
    /// Returns whether VMs may take the endpoints as gone.
    fn may_count(&self) -> bool {
        let returned_at = self.returned_at.unwrap_or_else(Instant::now);
        let is_long = returned_at - self.at >= LAPSE_BOUND;
        let is_known = self
            .returned_at
            .is_some_and(|at| at.elapsed() > RETURN_BOUND);
        is_long && !is_known
    }
}

/// What the task of one endpoint needs.
struct Service {
    id: u64,
    number: u8,
    name: &'static str,
    socket: Arc<UdpSocket>,
    promises: Arc<Promises>,
    endpoints: Arc<Mutex<HashMap<u8, Endpoint>>>,
}

impl Fleet {
    pub(crate) fn new(subnet: u8, store: Arc<Store>, promises: Arc<Promises>) -> Self {
        Self {
            subnet,
            store,
            promises,
            endpoints: Arc::default(),
            next_id: Mutex::new(0x7f3a_0000),
            lapse: Mutex::default(),
        }
    }

    /// Starts the endpoints that every run begins with.
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

    /// Starts an endpoint at a free address.
    pub(crate) async fn start(&self, number: u8, service: &'static str) -> std::io::Result<()> {
        let address = SocketAddrV4::new(self.ip(number), port::ENDPOINT);
        let socket = Arc::new(UdpSocket::bind(address).await?);
        let id = {
            let mut next = self.next_id.lock().unwrap();
            *next += 1;
            *next
        };
        let task = tokio::spawn(serve(Service {
            id,
            number,
            name: service,
            socket,
            promises: self.promises.clone(),
            endpoints: self.endpoints.clone(),
        }));
        let endpoint = Endpoint {
            id,
            service,
            is_draining: false,
            link: Link::Well,
            started_at: Instant::now(),
            disturbed_at: None,
            task,
        };
        self.register(number, &endpoint);
        self.endpoints.lock().unwrap().insert(number, endpoint);
        Ok(())
    }

    /// Returns the numbers of endpoints that serve and do not drain.
    pub(crate) fn serving(&self) -> Vec<u8> {
        let endpoints = self.endpoints.lock().unwrap();
        let serving = endpoints.iter().filter(|(_, it)| !it.is_draining);
        let mut numbers: Vec<u8> = serving.map(|(number, _)| *number).collect();
        numbers.sort_unstable();
        numbers
    }

    /// Returns the service of an endpoint.
    pub(crate) fn service(&self, number: u8) -> Option<&'static str> {
        self.endpoints
            .lock()
            .unwrap()
            .get(&number)
            .map(|it| it.service)
    }

    /// Reports an endpoint as draining.
    pub(crate) fn drain(&self, number: u8) {
        let mut endpoints = self.endpoints.lock().unwrap();
        let Some(endpoint) = endpoints.get_mut(&number) else {
            return;
        };
        endpoint.is_draining = true;
        self.register(number, endpoint);
        if self.store.is_well() {
            self.promises.note_left(endpoint.id);
        }
    }

    /// Ends an endpoint; its entry goes when `is_noticed`.
    pub(crate) fn end(&self, number: u8, is_noticed: bool) {
        let Some(endpoint) = self.endpoints.lock().unwrap().remove(&number) else {
            return;
        };
        endpoint.task.abort();
        if is_noticed {
            self.forget(endpoint.id);
        }
    }

    /// Returns the id of an endpoint.
    pub(crate) fn id(&self, number: u8) -> Option<u64> {
        self.endpoints.lock().unwrap().get(&number).map(|it| it.id)
    }

    /// Removes the entry of an endpoint.
    pub(crate) fn forget(&self, id: u64) {
        self.store.remove(&wire::endpoint_key(id));
        if self.store.is_well() {
            self.promises.note_left(id);
        }
    }

    /// Removes all entries, as when they lapse while the store is away.
    pub(crate) fn lapse_all(&self) {
        *self.lapse.lock().unwrap() = Some(Lapse {
            at: Instant::now(),
            returned_at: None,
        });
        for endpoint in self.endpoints.lock().unwrap().values() {
            self.store.remove(&wire::endpoint_key(endpoint.id));
        }
    }

    /// Writes all entries again.
    pub(crate) fn register_all(&self) {
        for (number, endpoint) in self.endpoints.lock().unwrap().iter() {
            self.register(*number, endpoint);
        }
        if let Some(lapse) = self.lapse.lock().unwrap().as_mut() {
            lapse.returned_at = Some(Instant::now());
        }
    }

    /// Changes what an endpoint does to packets.
    pub(crate) fn set_link(&self, number: u8, link: Link) {
        self.promises.note_fault();
        if let Some(endpoint) = self.endpoints.lock().unwrap().get_mut(&number) {
            endpoint.link = link;
            endpoint.disturbed_at = Some(Instant::now());
        }
    }

    /// Returns whether an endpoint has run without a disturbance for long enough that its
    /// flows have to hold.
    pub(crate) fn is_undisturbed(&self, id: u64) -> bool {
        let endpoints = self.endpoints.lock().unwrap();
        endpoints.values().any(|endpoint| {
            let is_calm = endpoint
                .disturbed_at
                .is_none_or(|at| at.elapsed() > UNDISTURBED);
            endpoint.id == id && endpoint.link == Link::Well && is_calm
        })
    }

    /// Returns whether VMs have to find an endpoint of a service.
    pub(crate) fn can_serve(&self, service: &str) -> bool {
        let is_lapsed = self.lapse.lock().unwrap().is_some_and(|it| it.may_count());
        let endpoints = self.endpoints.lock().unwrap();
        let mut lives = endpoints.values().filter(|endpoint| {
            let is_known = endpoint.started_at.elapsed() > UNDISTURBED;
            endpoint.service == service && !endpoint.is_draining && is_known
        });
        lives.next().is_some() && !is_lapsed
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
        });
        if !endpoint.is_draining {
            self.promises.note_back(endpoint.id);
        }
        self.store.put(&wire::endpoint_key(endpoint.id), value);
    }
}

async fn serve(service: Service) {
    let mut datagram = [0; 2048];
    // Requests answered on each flow, by the flow's two ends.
    let mut flows: HashMap<(SocketAddrV4, SocketAddrV4), Vec<Vec<u8>>> = HashMap::new();
    loop {
        let Ok((len, _)) = service.socket.recv_from(&mut datagram).await else {
            continue;
        };
        let link = {
            let endpoints = service.endpoints.lock().unwrap();
            endpoints
                .get(&service.number)
                .map_or(Link::Well, |it| it.link)
        };
        match link {
            Link::Well => {}
            Link::Silent => continue,
            Link::Late => sleep(Duration::from_millis(30)).await,
        }
        let Some((id, rest)) = datagram[..len].split_first_chunk::<8>() else {
            continue;
        };
        let id = u64::from_be_bytes(*id);
        if id != 0 && id != service.id {
            continue;
        }
        if let Some(frame) = WirePacket::decode(rest) {
            answer(&service, &frame, &mut flows).await;
        }
    }
}

async fn answer(
    service: &Service,
    frame: &WirePacket,
    flows: &mut HashMap<(SocketAddrV4, SocketAddrV4), Vec<Vec<u8>>>,
) {
    if frame.checksum != CHECKSUM {
        let what = format!("endpoint {:x} got a packet nobody sent", service.id);
        service.promises.break_promise(what);
    }
    let ends = (frame.source, frame.destination);
    let mut reply = WirePacket {
        token: frame.token,
        flags: ACK,
        checksum: CHECKSUM,
        source: frame.destination,
        destination: frame.source,
        sequence: service.id as u32,
        acknowledged: frame.sequence + frame.data.len() as u32,
        data: Vec::new(),
    };
    if frame.flags & SYN != 0 {
        flows.entry(ends).or_insert_with(|| {
            let destination = frame.destination;
            service
                .promises
                .check_opening(destination, service.name, service.id);
            Vec::new()
        });
        reply.flags = SYN | ACK;
    } else if frame.flags & FIN != 0 {
        flows.remove(&ends);
    } else if let Some(ran) = flows.get_mut(&ends) {
        if frame.data.is_empty() {
            return;
        }
        if !ran.contains(&frame.data) {
            sleep(WORK).await;
            if let (false, Ok(request)) = (
                frame.destination.port().is_multiple_of(2),
                frame.data[..].try_into(),
            ) {
                service
                    .promises
                    .check_runs_once(u64::from_be_bytes(request));
            }
            ran.push(frame.data.clone());
        }
        reply.data = [&frame.data[..], &service.id.to_be_bytes()].concat();
    } else {
        reply.flags = RST;
    }
    let to = SocketAddrV4::new(*frame.source.ip(), port::PACKET);
    if let Err(error) = service.socket.send_to(&reply.encode(), to).await {
        println!("endpoint {:x}: {error}", service.id);
    }
}
