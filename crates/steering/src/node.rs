//! Process of a steering VM: startup, settings reload and graceful stop.

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
use crate::http_server::{self, Readiness};
use crate::load::EndpointLoads;
use crate::mesh::{self, PeerLink};
use crate::packet::Codec;
use crate::prelude::*;
use crate::reader::Reader;
use crate::settings::{self, Settings};
use crate::steer::{self, Leasing, Steering};

/// Size of the kernel's receive buffer of a UDP socket, bytes; holds the packets that a busy VM
/// receives in half a second.
const SOCKET_BUFFER_LEN: usize = 1 << 20;

/// Minimum time for which a stopping VM keeps steering: long enough for two failed readiness
/// checks.
const MIN_STOP_TIME: Duration = Duration::from_millis(1600);

/// Time without a packet after which a stopping VM assumes that no more packets arrive.
const QUIET_PERIOD: Duration = Duration::from_millis(700);

/// Interval at which a stopping VM checks whether it may end.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Part of the stop timeout in which a stopping VM still steers packets, percent; the rest is left
/// for the process to exit.
const STOP_TIMEOUT_PERCENT: u32 = 85;

/// Interval at which the settings file is read again, as it may change without a signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Interval at which the gauges are updated.
const GAUGE_UPDATE_INTERVAL: Duration = Duration::from_secs(1);

/// Implementations that adapt the process to a deployment's platform.
pub struct Adapter {
    /// Codec of the platform's packet format.
    pub codec: Box<dyn Codec>,
    /// Source of the configuration and the endpoints.
    pub catalog_source: Box<dyn CatalogSource>,
}

/// Runs a VM until it receives `SIGTERM` or `SIGINT`, then stops it gracefully. `SIGHUP` reloads
/// the settings file at `path`.
///
/// # Errors
///
/// [`Error::Io`] when an address cannot be bound or a signal handler cannot be installed.
pub async fn run(path: PathBuf, settings: Settings, adapter: Adapter) -> Result<()> {
    let mut terminate = signal_stream(SignalKind::terminate())?;
    let mut interrupt = signal_stream(SignalKind::interrupt())?;
    let mut hangup = signal_stream(SignalKind::hangup())?;
    let node = Node::start(&settings, adapter).await?;
    let mut settings_poll = interval(SETTINGS_POLL_INTERVAL);
    let mut current_settings = settings;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => node.reload(&path, &mut current_settings, "signal"),
            _ = settings_poll.tick() => node.reload(&path, &mut current_settings, "file"),
        }
    }
    node.stop(current_settings.stop_timeout).await;
    Ok(())
}

struct Node {
    steering: Arc<Steering>,
    link: Arc<PeerLink>,
    readiness: Arc<Readiness>,
}

impl Node {
    async fn start(settings: &Settings, adapter: Adapter) -> Result<Self> {
        let incarnation: u64 = rand::rng().random();
        info!(
            "event=start vm={} data_centre={} incarnation={incarnation} weight={}",
            settings.vm, settings.data_centre, settings.weight
        );
        let packet_socket = Arc::new(bind_udp(settings.packet_address)?);
        let peer_socket = bind_udp(settings.peer_address)?;
        let ready_listener = bind_tcp(settings.ready_address).await?;
        let peer_listener = bind_tcp(settings.peer_address).await?;
        let metrics_listener = bind_tcp(settings.metrics_address).await?;
        let catalog: Arc<Mutex<Catalog>> = Arc::default();
        let endpoint_loads: Arc<Mutex<EndpointLoads>> = Arc::default();
        let members = Arc::new(Mutex::new(mesh::MembershipTable::new(
            settings.advertised_ip,
            incarnation,
            &settings.data_centre,
            settings.weight,
        )));
        let link = PeerLink::new(
            settings,
            peer_socket,
            members,
            catalog.clone(),
            endpoint_loads.clone(),
        );
        let link = Arc::new(link);
        let steering = Arc::new(Steering::new(
            settings.advertised_ip,
            &settings.data_centre,
            settings.flow_lifetime,
            catalog.clone(),
            endpoint_loads,
            link.subsets.clone(),
        ));
        steering.set_leasing(Leasing::new(
            link.members.clone(),
            settings.allocation_min_vms,
        ));
        let codec: Arc<dyn Codec> = adapter.codec.into();
        let readiness: Arc<Readiness> = Arc::default();
        let state = http_server::HandlerState {
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
        tokio::spawn(mesh::receive_frames(link.clone()));
        tokio::spawn(mesh::send_heartbeats(link.clone()));
        tokio::spawn(reader.run());
        tokio::spawn(http_server::serve_ready(state.clone(), ready_listener));
        tokio::spawn(http_server::serve_peers(state.clone(), peer_listener));
        tokio::spawn(http_server::serve_metrics(state, metrics_listener));
        tokio::spawn(steer::place_claimed(
            steering.clone(),
            codec.clone(),
            packet_socket.clone(),
            link.clone(),
        ));
        tokio::spawn(mesh::expire_leases(link.clone()));
        tokio::spawn(steer::receive_packets(
            steering.clone(),
            codec,
            packet_socket,
            link.clone(),
        ));
        tokio::spawn(steer::check_openings(steering.clone(), link.clone()));
        tokio::spawn(steer::refresh_counts(steering.clone()));
        tokio::spawn(update_gauges(steering.clone(), catalog, link.clone()));
        Ok(Self {
            steering,
            link,
            readiness,
        })
    }

    /// Applies changed seeds and stop timeout. Other settings take effect at a restart; the log
    /// line says whether one is needed.
    fn reload(&self, path: &std::path::Path, current_settings: &mut Settings, cause: &str) {
        let new_settings = match settings::load(path) {
            Ok(settings) => settings,
            Err(error) => {
                warn!("event=reload_failed cause={cause} error=\"{error}\"");
                return;
            }
        };
        if new_settings == *current_settings {
            return;
        }
        *self.link.seeds.lock().unwrap() = new_settings.seeds.clone();
        let needs_restart = Settings {
            seeds: current_settings.seeds.clone(),
            stop_timeout: current_settings.stop_timeout,
            is_first_start: current_settings.is_first_start,
            ..new_settings.clone()
        } != *current_settings;
        info!(
            "event=reloaded cause={cause} seeds={:?} needs_restart={needs_restart}",
            new_settings.seeds
        );
        *current_settings = new_settings;
    }

    /// Waits, ready, while less than half of the data centre's VMs would stay in rotation without
    /// this one, until `deadline` at the latest. The network fabric would then deliver packets to
    /// VMs that have already ended.
    async fn wait_for_turn(&self, deadline: Moment) {
        let started_at = Moment::now();
        loop {
            let now = Moment::now();
            let census = self.link.data_centre_state(now).unwrap_or_default().census;
            if census.may_leave() || now >= deadline {
                info!(
                    "event=stop_turn waited_ms={} known_vms={} able_vms={}",
                    now.since(started_at).as_millis(),
                    census.known,
                    census.able
                );
                return;
            }
            sleep(STOP_CHECK_INTERVAL).await;
        }
    }

    /// Fails the readiness check, so that the network fabric delivers no more packets to this VM,
    /// and steers until none arrive or the timeout is nearly over.
    async fn stop(&self, timeout: Duration) {
        let deadline = Moment::now() + timeout * STOP_TIMEOUT_PERCENT / 100;
        info!(
            "event=stopping flows={} timeout_ms={}",
            self.steering.flow_count(),
            timeout.as_millis()
        );
        self.wait_for_turn(deadline.before(MIN_STOP_TIME)).await;
        let started_at = Moment::now();
        self.readiness.stop();
        self.link.leave();
        loop {
            sleep(STOP_CHECK_INTERVAL).await;
            let now = Moment::now();
            let quiet_ms = clock::monotonic_ms().saturating_sub(self.steering.last_packet_ms());
            let is_quiet = quiet_ms >= QUIET_PERIOD.as_millis() as u64;
            let may_end = is_quiet && now.since(started_at) >= MIN_STOP_TIME;
            if may_end || now >= deadline {
                info!("event=stopped is_quiet={is_quiet} quiet_ms={quiet_ms}");
                return;
            }
        }
    }
}

/// Updates the gauges until the process ends.
async fn update_gauges(steering: Arc<Steering>, catalog: Arc<Mutex<Catalog>>, link: Arc<PeerLink>) {
    loop {
        sleep(GAUGE_UPDATE_INTERVAL).await;
        telemetry::run_upkeep();
        let now = Moment::now();
        let catalog = catalog.lock().unwrap();
        gauge!("ragwortbeam_catalog_age_seconds").set(catalog.age(now).as_secs_f64());
        let revision = catalog.revision();
        gauge!("ragwortbeam_catalog_revision").set(revision.number as f64);
        gauge!("ragwortbeam_catalog_era").set(revision.era as f64);
        gauge!("ragwortbeam_configuration_version").set(catalog.configuration().version as f64);
        let evacuated = catalog.evacuations().ordered().len();
        gauge!("ragwortbeam_evacuated_data_centres").set(evacuated as f64);
        gauge!("ragwortbeam_flows").set(steering.flow_count() as f64);
        gauge!("ragwortbeam_pending_claims").set(steering.pending_claims() as f64);
        let allocator = link.allocator.lock().unwrap();
        gauge!("ragwortbeam_waiting_claims").set(allocator.waiting_claims() as f64);
        let paced = allocator.ledger().paced_endpoints();
        gauge!("ragwortbeam_paced_endpoints").set(paced as f64);
        drop(allocator);
        gauge!("ragwortbeam_vms").set(link.members.lock().unwrap().local_vm_count(now) as f64);
    }
}

fn signal_stream(kind: SignalKind) -> Result<Signal> {
    signal(kind).map_err(|source| Error::io("signal handler", source))
}

fn bind_udp(address: SocketAddrV4) -> Result<UdpSocket> {
    let bind = || {
        let socket = Socket::new(Domain::IPV4, Type::DGRAM, Some(Protocol::UDP))?;
        socket.set_nonblocking(true)?;
        if let Err(error) = socket.set_recv_buffer_size(SOCKET_BUFFER_LEN) {
            warn!("event=buffer_size_rejected error=\"{error}\"");
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
