//! One steering VM's process: its parts, its start, its reloads and its graceful stop.

use std::net::SocketAddr;
use std::path::PathBuf;

use metrics::gauge;
use ragwortbeam_base::{clock, telemetry};
use rand::RngExt;
use socket2::{Domain, Protocol, Socket, Type};
use spdlog::{info, warn};
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::{interval, sleep};

use crate::catalog_source::CatalogSource;
use crate::load::Board;
use crate::mesh::{self, Link};
use crate::operators::{self, Readiness};
use crate::packet::Codec;
use crate::prelude::*;
use crate::reader::Reader;
use crate::settings::{self, Settings};
use crate::steer::{self, Steering};

/// Kernel buffer for callers' packets, bytes: half a second of a busy VM.
const SOCKET_BUFFER_LEN: usize = 1 << 20;

/// Time for which a stopping VM steers at least: two missed readiness checks.
const MIN_STOP: Duration = Duration::from_millis(1600);

/// Time without a packet after which a stopping VM has none left to steer.
const QUIET: Duration = Duration::from_millis(700);

/// How often a stopping VM looks whether it is done.
const STOP_POLL: Duration = Duration::from_millis(50);

/// Part of the stop timeout that is used, in percent; the rest is for ending the process.
const STOP_PERCENT: u32 = 85;

/// Pause between two looks at the settings file, which may change without a signal.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(2);

/// Pause between two updates of gauges.
const GAUGE_INTERVAL: Duration = Duration::from_secs(1);

/// What a deployment's adapter brings.
pub struct Adapter {
    /// Packet format.
    pub codec: Box<dyn Codec>,
    /// Source of configuration and endpoints.
    pub catalog_source: Box<dyn CatalogSource>,
}

/// Runs a VM until it is told to stop.
///
/// # Errors
///
/// [`Error::Io`] when an address cannot be bound or a signal cannot be received.
pub async fn run(path: PathBuf, settings: Settings, adapter: Adapter) -> Result<()> {
    let mut terminate = listen(SignalKind::terminate())?;
    let mut interrupt = listen(SignalKind::interrupt())?;
    let mut hangup = listen(SignalKind::hangup())?;
    let node = Node::start(&settings, adapter).await?;
    let mut files = interval(SETTINGS_INTERVAL);
    let mut current = settings;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => node.reload(&path, &mut current, "signal"),
            _ = files.tick() => node.reload(&path, &mut current, "file"),
        }
    }
    node.stop(current.stop_timeout).await;
    Ok(())
}

struct Node {
    steering: Arc<Steering>,
    link: Arc<Link>,
    readiness: Arc<Readiness>,
}

impl Node {
    async fn start(settings: &Settings, adapter: Adapter) -> Result<Self> {
        let incarnation: u64 = rand::rng().random();
        info!(
            "event=start vm={} data_centre={} incarnation={incarnation} weight={}",
            settings.vm, settings.data_centre, settings.weight
        );
        let packets = Arc::new(bind_udp(settings.packet_address)?);
        let peers = bind_udp(settings.peer_address)?;
        let ready = bind_tcp(settings.ready_address).await?;
        let calls = bind_tcp(settings.peer_address).await?;
        let metrics = bind_tcp(settings.metrics_address).await?;
        let catalog: Arc<Mutex<Catalog>> = Arc::default();
        let board: Arc<Mutex<Board>> = Arc::default();
        let members = Arc::new(Mutex::new(mesh::Table::new(
            settings.advertised_ip,
            incarnation,
            &settings.data_centre,
            settings.weight,
        )));
        let link = Link::new(settings, peers, members, catalog.clone(), board.clone());
        let link = Arc::new(link);
        let steering = Arc::new(Steering::new(
            settings.advertised_ip,
            &settings.data_centre,
            settings.flow_lifetime,
            catalog.clone(),
            board,
            link.subsets.clone(),
        ));
        let readiness: Arc<Readiness> = Arc::default();
        let parts = operators::Parts {
            readiness: readiness.clone(),
            catalog: catalog.clone(),
            link: link.clone(),
        };
        let reader = Reader::new(
            settings,
            adapter.catalog_source,
            catalog.clone(),
            link.clone(),
        );
        tokio::spawn(mesh::receive(link.clone()));
        tokio::spawn(mesh::beat(link.clone()));
        tokio::spawn(reader.run());
        tokio::spawn(operators::serve_ready(parts.clone(), ready));
        tokio::spawn(operators::serve_peers(parts.clone(), calls));
        tokio::spawn(operators::serve_metrics(parts, metrics));
        tokio::spawn(steer::run(steering.clone(), adapter.codec, packets));
        tokio::spawn(steer::watch_openings(steering.clone()));
        tokio::spawn(steer::recount(steering.clone()));
        tokio::spawn(report(steering.clone(), catalog, link.clone()));
        Ok(Self {
            steering,
            link,
            readiness,
        })
    }

    /// Takes changed settings; those that a running process cannot change are logged.
    fn reload(&self, path: &std::path::Path, current: &mut Settings, cause: &str) {
        let changed = match settings::load(path) {
            Ok(settings) => settings,
            Err(error) => {
                warn!("event=reload_refused cause={cause} error=\"{error}\"");
                return;
            }
        };
        if changed == *current {
            return;
        }
        *self.link.seeds.lock().unwrap() = changed.seeds.clone();
        let needs_restart = Settings {
            seeds: current.seeds.clone(),
            stop_timeout: current.stop_timeout,
            is_first_start: current.is_first_start,
            ..changed.clone()
        } != *current;
        info!(
            "event=reloaded cause={cause} seeds={:?} needs_restart={needs_restart}",
            changed.seeds
        );
        *current = changed;
    }

    /// Leaves the fabric's rotation and steers until packets stop coming.
    async fn stop(&self, timeout: Duration) {
        let started_at = Moment::now();
        let deadline = started_at + timeout * STOP_PERCENT / 100;
        info!(
            "event=stopping flows={} timeout_ms={}",
            self.steering.flow_count(),
            timeout.as_millis()
        );
        self.readiness.stop();
        self.link.leave();
        loop {
            sleep(STOP_POLL).await;
            let now = Moment::now();
            let quiet_ms = clock::monotonic_ms().saturating_sub(self.steering.last_packet_ms());
            let is_quiet = quiet_ms >= QUIET.as_millis() as u64;
            let is_done = is_quiet && now.since(started_at) >= MIN_STOP;
            if is_done || now >= deadline {
                info!("event=stopped is_quiet={is_quiet} quiet_ms={quiet_ms}");
                return;
            }
        }
    }
}

/// Updates gauges for the life of the process.
async fn report(steering: Arc<Steering>, catalog: Arc<Mutex<Catalog>>, link: Arc<Link>) {
    loop {
        sleep(GAUGE_INTERVAL).await;
        telemetry::run_upkeep();
        let now = Moment::now();
        let catalog = catalog.lock().unwrap();
        gauge!("ragwortbeam_catalog_age_seconds").set(catalog.age(now).as_secs_f64());
        gauge!("ragwortbeam_catalog_revision").set(catalog.revision() as f64);
        gauge!("ragwortbeam_configuration_version").set(catalog.configuration().version as f64);
        gauge!("ragwortbeam_flows").set(steering.flow_count() as f64);
        gauge!("ragwortbeam_vms").set(link.members.lock().unwrap().size(now) as f64);
    }
}

fn listen(kind: SignalKind) -> Result<Signal> {
    signal(kind).map_err(|source| Error::io("signal", source))
}

fn bind_udp(address: SocketAddrV4) -> Result<UdpSocket> {
    let bind = || {
        let socket = Socket::new(Domain::IPV4, Type::DGRAM, Some(Protocol::UDP))?;
        socket.set_nonblocking(true)?;
        if let Err(error) = socket.set_recv_buffer_size(SOCKET_BUFFER_LEN) {
            warn!("event=buffer_size_refused error=\"{error}\"");
        }
        socket.bind(&SocketAddr::from(address).into())?;
        UdpSocket::from_std(socket.into())
    };
    bind().map_err(|source| Error::io(address.to_string(), source))
}

async fn bind_tcp(address: SocketAddrV4) -> Result<TcpListener> {
    TcpListener::bind(SocketAddr::from(address))
        .await
        .map_err(|source| Error::io(address.to_string(), source))
}
