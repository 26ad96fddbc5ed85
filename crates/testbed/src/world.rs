//! Simulated data centre on loopback: platform, fabric, nodes, backend servers and callers.
//!
//! The nodes run the product's `serve` command; [`crate::soak`] tests the steering VMs.

use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use nix::sys::signal::Signal;
use ragwortbeam::document::{EndpointEntry, Note, ServiceChange, ServiceEntry, Snapshot};
use tempfile::TempDir;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::caller::{Caller, Target};
use crate::echo::{self, EchoServer};
use crate::fabric::{Fabric, Faults};
use crate::fleet::{FleetConfig, NodePorts, Vm};
use crate::history::{Event, History};
use crate::network::Network;
use crate::platform::Platform;
use crate::proxy::{self, ProxySwitch};
use crate::server::{Server, ServiceTimes};

const DATA_CENTRE: &str = "nairobi-1";

/// Delay until the fabric uses a VM that has joined or no longer uses one that is stopping or has
/// been killed, and until the platform's list omits a killed VM.
pub const UPDATE_LAG: Duration = Duration::from_millis(700);

/// Interval at which the release numbers of all VMs are recorded.
const RELEASE_SAMPLE_INTERVAL: Duration = Duration::from_millis(200);

/// Names of the `requests` services in a world; their positions are the service indexes.
pub const SERVICES: [&str; 2] = ["ledger", "certificates"];

/// Number of echo servers of the `datagrams` service.
const ECHO_SERVER_COUNT: usize = 4;

/// Sizes, faults and limits of a world.
#[derive(Clone, Debug)]
pub struct WorldConfig {
    /// Number of VMs at the start.
    pub vms: usize,
    /// Number of backend servers of the `ledger` service at the start.
    pub ledger_servers: usize,
    /// Number of backend servers of the `certificates` service at the start.
    pub certificate_servers: usize,
    /// Requests that each backend server runs at once.
    pub slots: u32,
    /// Service times of all backend servers.
    pub times: ServiceTimes,
    /// Fault probabilities of the fabric.
    pub faults: Faults,
    /// Seed of the fabric's random faults and choices, and of the choices of a fault case.
    pub seed: u64,
    /// `limits` object in the nodes' settings.
    pub limits: serde_json::Value,
    /// Path of the testbed's executable; empty for the running one.
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

/// Running data centre.
pub struct World {
    /// Configuration service that the nodes read.
    pub platform: Arc<Platform>,
    /// Faults of the VMs' connections to the platform.
    pub platform_proxy: Arc<ProxySwitch>,
    /// Network between the VMs.
    pub network: Arc<Network>,
    /// Fabric between the callers and the VMs.
    pub fabric: Arc<Fabric>,
    /// History of the run so far.
    pub history: Arc<History>,
    /// Running VMs by index.
    pub vms: BTreeMap<usize, Vm>,
    /// Backend servers by service index, in the order in which they were started.
    pub servers: Vec<Vec<Arc<Server>>>,
    /// Backend servers of the `datagrams` service.
    pub echo_servers: Vec<EchoServer>,
    config: WorldConfig,
    fleet_config: FleetConfig,
    /// Ports that callers use, by service index; the last is that of the `datagrams` service.
    entry_ports: [u16; SERVICES.len() + 1],
    /// Next reading of each service, by service index; its servers share it.
    next_readings: Vec<Arc<AtomicU64>>,
    /// Index of the next VM to add; an index is never given to another VM.
    next_vm: usize,
    tasks: Mutex<Vec<JoinHandle<()>>>,
    /// Folder for settings, key and logs; removed when the world is dropped.
    folder: TempDir,
}

impl World {
    /// Name of the `datagrams` service, whose port follows those of [`SERVICES`].
    pub const DATAGRAM_SERVICE: &str = "gauges";

    /// Starts a data centre and waits until all VMs are ready. When a VM is not ready in time, the
    /// error contains its log.
    pub async fn start(config: WorldConfig) -> std::io::Result<Self> {
        let folder = tempfile::tempdir()?;
        let history = Arc::new(History::default());
        let fabric = Arc::new(Fabric::new(config.seed, config.faults));
        let ports = free_ports::<5>()?;
        let service_ports = [ports[2], ports[3], ports[4]];
        let next_readings: Vec<_> = SERVICES
            .iter()
            .map(|_| Arc::new(AtomicU64::new(1)))
            .collect();
        let server_counts = [config.ledger_servers, config.certificate_servers];
        let mut servers = Vec::new();
        for (index, name) in SERVICES.into_iter().enumerate() {
            let mut service_servers = Vec::new();
            for _ in 0..server_counts[index] {
                let next_reading = next_readings[index].clone();
                let history = history.clone();
                service_servers.push(
                    Server::start(name, config.slots, config.times, next_reading, history).await?,
                );
            }
            servers.push(service_servers);
        }
        let mut echo_servers = Vec::new();
        for _ in 0..ECHO_SERVER_COUNT {
            echo_servers.push(EchoServer::start().await?);
        }
        let platform = Platform::start(snapshot(&service_ports, &servers, &echo_servers)).await?;
        let platform_proxy: Arc<ProxySwitch> = Arc::default();
        let proxy_listener = TcpListener::bind("127.0.0.1:0").await?;
        let platform_url = format!("http://{}", proxy_listener.local_addr()?);
        proxy::spawn(proxy_listener, platform.address, platform_proxy.clone());
        let fleet_config = FleetConfig {
            folder: folder.path().to_owned(),
            data_centre: DATA_CENTRE.to_owned(),
            platform_url,
            ports: NodePorts {
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
        fleet_config.write_key()?;
        let mut world = Self {
            network: Arc::default(),
            platform,
            platform_proxy,
            fabric,
            history,
            vms: BTreeMap::new(),
            servers,
            echo_servers,
            next_vm: 0,
            fleet_config,
            entry_ports: service_ports,
            next_readings,
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
        world.update_fabric();
        Ok(world)
    }

    /// Returns the address at which VM `index` serves callers of a service.
    pub fn entry_address(&self, index: usize, service: usize) -> SocketAddr {
        let ip = self.fleet_config.real_address(index).ip();
        SocketAddr::new(ip, self.entry_ports[service])
    }

    /// Returns the address at which VM `index` serves callers of the `datagrams` service.
    pub fn datagram_address(&self, index: usize) -> SocketAddr {
        self.entry_address(index, SERVICES.len())
    }

    /// Returns the configuration that all nodes of this world share.
    pub fn fleet_config(&self) -> &FleetConfig {
        &self.fleet_config
    }

    /// Reads the 32-byte key that the VMs share from its file.
    pub fn key(&self) -> std::io::Result<Vec<u8>> {
        std::fs::read(self.folder.path().join("key"))
    }

    /// Returns the name and port under which callers reach a service.
    pub fn target(&self, service: usize) -> Target {
        Target {
            service: SERVICES[service],
            port: self.entry_ports[service],
        }
    }

    /// Starts one datagram flow to the `datagrams` service; it runs until the world is closed.
    pub fn start_datagram_flow(&self) {
        let target = Target {
            service: Self::DATAGRAM_SERVICE,
            port: self.entry_ports[SERVICES.len()],
        };
        self.spawn(echo::run_datagram_flow(
            target,
            self.fabric.clone(),
            self.history.clone(),
        ));
    }

    /// Opens a caller of the service with index `service`.
    pub async fn caller(&self, service: usize) -> std::io::Result<Arc<Caller>> {
        Caller::open(
            self.target(service),
            self.fabric.clone(),
            self.history.clone(),
        )
        .await
    }

    /// Runs a task until the world is closed.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.tasks.lock().unwrap().push(tokio::spawn(task));
    }

    /// Starts one more VM, publishes it and waits until it is ready; the fabric uses it after a
    /// further [`UPDATE_LAG`]. Returns its index.
    ///
    /// # Errors
    ///
    /// Returns an error with the VM's log if it is not ready in time or cannot be started.
    pub async fn join(&mut self) -> std::io::Result<usize> {
        let index = self.start_vm().await?;
        self.publish_vms(&[]);
        if !self.vms[&index].wait_ready(1).await {
            return Err(self.not_ready(index));
        }
        sleep(UPDATE_LAG).await;
        self.update_fabric();
        Ok(index)
    }

    /// Kills a VM; the fabric and the platform's list reflect it after [`UPDATE_LAG`].
    pub async fn kill(&mut self, index: usize) {
        if let Some(mut vm) = self.vms.remove(&index) {
            vm.kill().await;
        }
        sleep(UPDATE_LAG).await;
        self.update_fabric();
        self.publish_vms(&[]);
    }

    /// Kills a VM and starts it again under the same name; the platform's list does not change.
    pub async fn restart(&mut self, index: usize) -> std::io::Result<()> {
        if let Some(vm) = self.vms.get_mut(&index) {
            vm.kill().await;
        }
        let vm = self.fleet_config.start(index)?;
        let is_ready = vm.wait_ready(1).await;
        self.vms.insert(index, vm);
        if !is_ready {
            return Err(self.not_ready(index));
        }
        Ok(())
    }

    fn not_ready(&self, index: usize) -> std::io::Error {
        let log = self.log(index);
        std::io::Error::other(format!("vm-{index} not ready:\n{log}"))
    }

    /// Stops a VM gracefully: it is listed as leaving and receives SIGTERM, and the fabric stops
    /// using it after [`UPDATE_LAG`]. Returns whether it exited with success in time; false also
    /// when no VM with this index runs.
    pub async fn stop(&mut self, index: usize) -> bool {
        self.publish_vms(&[index]);
        let Some(mut vm) = self.vms.remove(&index) else {
            return false;
        };
        vm.signal(Signal::SIGTERM);
        sleep(UPDATE_LAG).await;
        self.update_fabric();
        let status = vm.wait_exit().await;
        self.publish_vms(&[]);
        status.is_some_and(|status| status.success())
    }

    /// Stops a VM's process with SIGSTOP and resumes it after `time`.
    pub async fn pause(&mut self, index: usize, time: Duration) {
        if let Some(vm) = self.vms.get(&index) {
            vm.signal(Signal::SIGSTOP);
            sleep(time).await;
            vm.signal(Signal::SIGCONT);
        }
    }

    /// Publishes a release that drains backend server `index` of a service; returns its number.
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

    /// Starts one more backend server and publishes it; returns the number of the release.
    pub async fn add_server(&mut self, service: usize) -> std::io::Result<u64> {
        let server = Server::start(
            SERVICES[service],
            self.config.slots,
            self.config.times,
            self.next_readings[service].clone(),
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

    /// Waits until all VMs have release `number` in force and returns the time since the call;
    /// `None` when that takes longer than `limit`.
    pub async fn wait_release(&self, number: u64, limit: Duration) -> Option<Duration> {
        let started_at = std::time::Instant::now();
        while started_at.elapsed() < limit {
            let mut is_in_force = true;
            for vm in self.vms.values() {
                let report = vm.status().await;
                is_in_force &= report.is_some_and(|report| report.release >= number);
            }
            if is_in_force {
                return Some(started_at.elapsed());
            }
            sleep(Duration::from_millis(10)).await;
        }
        None
    }

    /// Records the release number of each VM once; VMs that do not answer are skipped.
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

    /// Waits for `time` and records the release numbers of all VMs meanwhile.
    pub async fn run_for(&self, time: Duration) {
        let deadline = std::time::Instant::now() + time;
        while std::time::Instant::now() < deadline {
            self.sample_releases().await;
            sleep(RELEASE_SAMPLE_INTERVAL).await;
        }
    }

    /// Records the end of the run and stops the relays and the tasks of the world.
    pub fn close(&self) {
        self.history.add(Event::Closing);
        self.network.close();
        for task in self.tasks.lock().unwrap().drain(..) {
            task.abort();
        }
    }

    /// Returns the log of VM `index`; empty when it cannot be read.
    pub fn log(&self, index: usize) -> String {
        let path = self.folder.path().join(format!("vm-{index}.log"));
        std::fs::read_to_string(path).unwrap_or_default()
    }

    async fn start_vm(&mut self) -> std::io::Result<usize> {
        let index = self.next_vm;
        self.next_vm += 1;
        let real_address = self.fleet_config.real_address(index);
        let listed_address = self.fleet_config.listed_address(index);
        self.network.add(real_address, listed_address).await?;
        let vm = self.fleet_config.start(index)?;
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
            self.fleet_config.list_entry(*index, state)
        });
        self.platform.publish_vms(entries.collect());
    }

    fn update_fabric(&self) {
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

/// Returns ports that are free on 127.0.0.1; they are then assumed to be free on the other
/// loopback addresses, too.
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
