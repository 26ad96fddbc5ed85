//! One data centre on loopback: platform, fabric, nodes, backend servers and callers.

use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use nix::sys::signal::Signal;
use ragwortbeam::document::{EndpointEntry, Note, ServiceChange, ServiceEntry, Snapshot};
use tempfile::TempDir;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::caller::{Caller, Target};
use crate::echo::{self, EchoServer};
use crate::fabric::{Fabric, Faults};
use crate::fleet::{Plan, Ports, Vm};
use crate::history::{Event, History};
use crate::network::Network;
use crate::platform::Platform;
use crate::server::{Server, ServiceTimes};

const DATA_CENTRE: &str = "nairobi-1";

/// Time that the fabric and the platform's list lag behind reality.
pub const LIST_LAG: Duration = Duration::from_millis(700);

/// How often the release numbers of all VMs are noted.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(200);

/// Names of the `requests` services in a world, in order of their ports.
pub const SERVICES: [&str; 2] = ["ledger", "certificates"];

/// Servers of the `datagrams` service.
const ECHO_SERVERS: usize = 4;

/// Sizes and faults of a world.
#[derive(Clone, Debug)]
pub struct WorldConfig {
    /// VMs at the start.
    pub vms: usize,
    /// Backend servers of the ledger.
    pub ledger_servers: usize,
    /// Backend servers of the certificates.
    pub certificate_servers: usize,
    /// Slots of each backend server.
    pub slots: u32,
    /// Service times.
    pub times: ServiceTimes,
    /// Faults of the fabric.
    pub faults: Faults,
    /// Seed of the fabric.
    pub seed: u64,
    /// Limits in the nodes' settings.
    pub limits: serde_json::Value,
    /// The testbed's executable; the running one where empty.
    pub executable: PathBuf,
}

impl Default for WorldConfig {
    fn default() -> Self {
        Self {
            vms: 4,
            ledger_servers: 5,
            certificate_servers: 3,
            slots: 3,
            times: ServiceTimes::default(),
            faults: Faults::default(),
            seed: 1,
            limits: serde_json::json!({}),
            executable: PathBuf::new(),
        }
    }
}

/// A running data centre.
pub struct World {
    /// Platform.
    pub platform: Arc<Platform>,
    /// Network between the VMs.
    pub network: Arc<Network>,
    /// Fabric.
    pub fabric: Arc<Fabric>,
    /// History of the run.
    pub history: Arc<History>,
    /// Running VMs by number.
    pub vms: BTreeMap<usize, Vm>,
    /// Backend servers by service.
    pub servers: Vec<Vec<Arc<Server>>>,
    /// Backend servers of the `datagrams` service.
    pub echo_servers: Vec<EchoServer>,
    config: WorldConfig,
    plan: Plan,
    ports: [u16; SERVICES.len() + 1],
    values: Vec<Arc<AtomicU64>>,
    next_vm: usize,
    tasks: Mutex<Vec<JoinHandle<()>>>,
    /// Removed when the world is dropped.
    folder: TempDir,
}

impl World {
    /// Name of the `datagrams` service, whose port follows those of [`SERVICES`].
    pub const DATAGRAM_SERVICE: &str = "gauges";

    /// Starts a data centre and waits until all VMs are ready.
    pub async fn start(config: WorldConfig) -> std::io::Result<Self> {
        let folder = tempfile::tempdir()?;
        let history = Arc::new(History::default());
        let fabric = Arc::new(Fabric::new(config.seed, config.faults));
        let ports = free_ports::<5>()?;
        let services = [ports[2], ports[3], ports[4]];
        let values: Vec<_> = SERVICES
            .iter()
            .map(|_| Arc::new(AtomicU64::new(1)))
            .collect();
        let counts = [config.ledger_servers, config.certificate_servers];
        let mut servers = Vec::new();
        for (index, name) in SERVICES.into_iter().enumerate() {
            let mut started = Vec::new();
            for _ in 0..counts[index] {
                let value = values[index].clone();
                let history = history.clone();
                started
                    .push(Server::start(name, config.slots, config.times, value, history).await?);
            }
            servers.push(started);
        }
        let mut echo_servers = Vec::new();
        for _ in 0..ECHO_SERVERS {
            echo_servers.push(EchoServer::start().await?);
        }
        let platform = Platform::start(snapshot(&services, &servers, &echo_servers)).await?;
        let plan = Plan {
            folder: folder.path().to_owned(),
            data_centre: DATA_CENTRE.to_owned(),
            platform_url: format!("http://{}", platform.address),
            ports: Ports {
                peer: ports[0],
                admin: ports[1],
            },
            subnet: [rand::random_range(1..255), rand::random_range(0..=255)],
            limits: config.limits.clone(),
            executable: if config.executable.as_os_str().is_empty() {
                std::env::current_exe()?
            } else {
                config.executable.clone()
            },
        };
        plan.write_key()?;
        let mut world = Self {
            network: Arc::default(),
            platform,
            fabric,
            history,
            vms: BTreeMap::new(),
            servers,
            echo_servers,
            next_vm: 0,
            plan,
            ports: services,
            values,
            tasks: Mutex::default(),
            folder,
            config,
        };
        for _ in 0..world.config.vms {
            world.start_vm().await?;
        }
        world.publish_vms(&[]);
        for vm in world.vms.values() {
            if !vm.wait_ready(world.vms.len()).await {
                let log = world.log(vm.index);
                return Err(std::io::Error::other(format!(
                    "{} not ready:\n{log}",
                    vm.name
                )));
            }
        }
        world.follow_fabric();
        Ok(world)
    }

    /// Returns the address at which a VM serves callers of a service.
    pub fn entry_address(&self, index: usize, service: usize) -> SocketAddr {
        let ip = self.plan.real_address(index).ip();
        SocketAddr::new(ip, self.ports[service])
    }

    /// Returns the address at which a VM serves callers of the `datagrams` service.
    pub fn datagram_address(&self, index: usize) -> SocketAddr {
        self.entry_address(index, SERVICES.len())
    }

    /// Returns what the nodes of this world have in common.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Returns the key that the VMs share.
    pub fn key(&self) -> std::io::Result<Vec<u8>> {
        std::fs::read(self.folder.path().join("key"))
    }

    /// Returns how callers reach a service.
    pub fn target(&self, service: usize) -> Target {
        Target {
            service: SERVICES[service],
            port: self.ports[service],
        }
    }

    /// Starts a caller of the `datagrams` service.
    pub fn start_datagram_flow(&self) {
        let target = Target {
            service: Self::DATAGRAM_SERVICE,
            port: self.ports[SERVICES.len()],
        };
        self.spawn(echo::run_datagram_flow(
            target,
            self.fabric.clone(),
            self.history.clone(),
        ));
    }

    /// Opens a caller of a service.
    pub async fn caller(&self, service: usize) -> std::io::Result<Arc<Caller>> {
        Caller::open(
            self.target(service),
            self.fabric.clone(),
            self.history.clone(),
        )
        .await
    }

    /// Runs a task until the world ends.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.tasks.lock().unwrap().push(tokio::spawn(task));
    }

    /// Starts one more VM and lists it; returns its number.
    pub async fn join(&mut self) -> std::io::Result<usize> {
        let index = self.start_vm().await?;
        self.publish_vms(&[]);
        self.vms[&index].wait_ready(1).await;
        sleep(LIST_LAG).await;
        self.follow_fabric();
        Ok(index)
    }

    /// Kills a VM; list and fabric learn of it after their lag.
    pub async fn kill(&mut self, index: usize) {
        if let Some(mut vm) = self.vms.remove(&index) {
            vm.kill().await;
        }
        sleep(LIST_LAG).await;
        self.follow_fabric();
        self.publish_vms(&[]);
    }

    /// Kills a VM and starts it again under its name, without telling the platform.
    pub async fn restart(&mut self, index: usize) -> std::io::Result<()> {
        if let Some(vm) = self.vms.get_mut(&index) {
            vm.kill().await;
        }
        let vm = self.plan.start(index)?;
        let is_ready = vm.wait_ready(1).await;
        self.vms.insert(index, vm);
        if !is_ready {
            let log = self.log(index);
            return Err(std::io::Error::other(format!(
                "vm-{index} not ready:\n{log}"
            )));
        }
        Ok(())
    }

    /// Stops a VM as planned: listed as leaving, out of the fabric after its lag, and
    /// told to stop. Returns whether it exited with success.
    pub async fn stop(&mut self, index: usize) -> bool {
        self.publish_vms(&[index]);
        let Some(mut vm) = self.vms.remove(&index) else {
            return false;
        };
        vm.signal(Signal::SIGTERM);
        sleep(LIST_LAG).await;
        self.follow_fabric();
        let status = vm.wait().await;
        self.publish_vms(&[]);
        status.is_some_and(|status| status.success())
    }

    /// Pauses a VM for a time.
    pub async fn pause(&mut self, index: usize, time: Duration) {
        if let Some(vm) = self.vms.get(&index) {
            vm.signal(Signal::SIGSTOP);
            sleep(time).await;
            vm.signal(Signal::SIGCONT);
        }
    }

    /// Publishes that backend server `index` of a service takes no new work.
    pub fn drain(&self, service: usize, index: usize) -> u64 {
        let endpoint = self.servers[service][index].address;
        let number = self.publish_change(ServiceChange {
            service: SERVICES[service].to_owned(),
            draining: vec![endpoint.to_string()],
            ..Default::default()
        });
        self.history.add(Event::Drained { endpoint });
        number
    }

    /// Starts one more backend server and publishes it.
    pub async fn add_server(&mut self, service: usize) -> std::io::Result<u64> {
        let server = Server::start(
            SERVICES[service],
            self.config.slots,
            self.config.times,
            self.values[service].clone(),
            self.history.clone(),
        )
        .await?;
        let entry = endpoint_entry(&server);
        self.servers[service].push(server);
        Ok(self.publish_change(ServiceChange {
            service: SERVICES[service].to_owned(),
            added: vec![entry],
            ..Default::default()
        }))
    }

    /// Waits until all VMs have release `number` in force and returns the time since
    /// the call; `None` when they do not in time.
    pub async fn wait_release(&self, number: u64, limit: Duration) -> Option<Duration> {
        let begun = std::time::Instant::now();
        while begun.elapsed() < limit {
            let mut is_everywhere = true;
            for vm in self.vms.values() {
                let report = vm.status().await;
                is_everywhere &= report.is_some_and(|report| report.release >= number);
            }
            if is_everywhere {
                return Some(begun.elapsed());
            }
            sleep(Duration::from_millis(10)).await;
        }
        None
    }

    /// Notes the release numbers of all VMs once.
    pub async fn sample_releases(&self) {
        for vm in self.vms.values() {
            if let Some(report) = vm.status().await {
                self.history.add(Event::Release {
                    vm: vm.index,
                    incarnation: report.incarnation,
                    number: report.release,
                });
            }
        }
    }

    /// Lets time pass while noting release numbers.
    pub async fn run_for(&self, time: Duration) {
        let deadline = std::time::Instant::now() + time;
        while std::time::Instant::now() < deadline {
            self.sample_releases().await;
            sleep(SAMPLE_INTERVAL).await;
        }
    }

    /// Marks the end of the run and stops all tasks of the world.
    pub fn close(&self) {
        self.history.add(Event::Closing);
        self.network.close();
        for task in self.tasks.lock().unwrap().drain(..) {
            task.abort();
        }
    }

    /// Returns the log of a VM.
    pub fn log(&self, index: usize) -> String {
        let path = self.folder.path().join(format!("vm-{index}.log"));
        std::fs::read_to_string(path).unwrap_or_default()
    }

    async fn start_vm(&mut self) -> std::io::Result<usize> {
        let index = self.next_vm;
        self.next_vm += 1;
        let real = self.plan.real_address(index);
        let listed = self.plan.listed_address(index);
        self.network.add(real, listed).await?;
        let vm = self.plan.start(index)?;
        self.vms.insert(index, vm);
        Ok(index)
    }

    fn publish_vms(&self, leaving: &[usize]) {
        let entries = self.vms.keys().map(|index| {
            let state = if leaving.contains(index) {
                "leaving"
            } else {
                "live"
            };
            self.plan.entry(*index, state)
        });
        self.platform.publish_vms(entries.collect());
    }

    fn follow_fabric(&self) {
        self.fabric
            .set_vms(self.vms.values().map(|vm| vm.ip).collect());
    }

    fn publish_change(&self, change: ServiceChange) -> u64 {
        self.platform.publish(Note {
            changed: vec![change],
            ..Default::default()
        })
    }
}

fn snapshot(ports: &[u16], servers: &[Vec<Arc<Server>>], echo_servers: &[EchoServer]) -> Snapshot {
    let requests = SERVICES.into_iter().enumerate().map(|(index, name)| {
        let endpoints = servers[index].iter().map(|server| endpoint_entry(server));
        service_entry(name, "requests", ports[index], endpoints.collect())
    });
    let mut services: Vec<ServiceEntry> = requests.collect();
    let endpoints = echo_servers.iter().map(|echo| EndpointEntry {
        address: echo.address.to_string(),
        data_centre: DATA_CENTRE.to_owned(),
        slots: 1,
        draining: false,
    });
    let port = ports[SERVICES.len()];
    services.push(service_entry(
        World::DATAGRAM_SERVICE,
        "datagrams",
        port,
        endpoints.collect(),
    ));
    Snapshot {
        number: 1,
        services,
    }
}

fn service_entry(name: &str, kind: &str, port: u16, endpoints: Vec<EndpointEntry>) -> ServiceEntry {
    ServiceEntry {
        name: name.to_owned(),
        kind: kind.to_owned(),
        address: SocketAddr::new([127, 0, 0, 1].into(), port).to_string(),
        data_centres: vec![DATA_CENTRE.to_owned()],
        endpoints,
    }
}

fn endpoint_entry(server: &Server) -> EndpointEntry {
    EndpointEntry {
        address: server.address.to_string(),
        data_centre: DATA_CENTRE.to_owned(),
        slots: server.slots,
        draining: false,
    }
}

/// Returns ports that are free on one loopback address, as a sign that they are on the
/// others.
fn free_ports<const COUNT: usize>() -> std::io::Result<[u16; COUNT]> {
    let sockets: Vec<UdpSocket> = (0..COUNT)
        .map(|_| UdpSocket::bind("127.0.0.1:0"))
        .collect::<Result<_, _>>()?;
    let mut ports = [0; COUNT];
    for (port, socket) in ports.iter_mut().zip(&sockets) {
        *port = socket.local_addr()?.port();
    }
    Ok(ports)
}
