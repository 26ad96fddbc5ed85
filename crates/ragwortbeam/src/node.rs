//! Process of one VM: its shared state, its start and its graceful stop.

use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Instant;

use coap_lite::Packet;
use ragwortbeam_base::telemetry;
use spdlog::{info, warn};
use tokio::net::{TcpListener, UdpSocket};
use tokio::time::sleep;

use crate::admin;
use crate::backend;
use crate::clock;
use crate::dispatch;
use crate::entry;
use crate::flow::{self, Key};
use crate::membership;
use crate::peer;
use crate::platform::{self, Platform};
use crate::prelude::*;
use crate::release;
use crate::settings::Settings;
use crate::wire;

/// Minimum length of the key file, bytes.
const MIN_KEY_LEN: usize = 32;

/// Delay between two attempts to read the first configuration.
const FIRST_READ_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Time without a packet of a caller, direct or forwarded, after which a stopping VM expects no
/// more late packets.
const IDLE_TIME_BEFORE_EXIT: Duration = Duration::from_millis(1000);

/// Interval at which recorded samples are added to the histograms, so that they do not accumulate
/// between two reads of the metrics.
const METRICS_UPKEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which a stopping VM checks whether it can exit.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// State of one VM's process, shared by its tasks.
pub struct Node {
    /// Settings that were read at the start.
    pub settings: Settings,
    /// Membership of this VM and the others.
    pub members: Arc<membership::Table>,
    /// Release in force and the latest notes.
    pub releases: release::ReleaseLog,
    /// Read access to the platform.
    pub platform: Box<dyn Platform>,
    /// Connections to other VMs.
    pub peers: peer::Peers,
    /// Records of owned flows, and replicas of those that other VMs own.
    pub flows: flow::Table,
    /// Queue of changed flows that have to be replicated.
    pub replicas: flow::replication::Queue,
    /// UDP listeners for callers, one per service.
    pub entry: entry::Listeners,
    /// Connections to endpoints of `requests` services.
    pub links: backend::Links,
    /// Sockets for endpoints of `datagrams` services.
    pub backend_sockets: dispatch::datagrams::BackendSockets,
    /// Endpoint slots and request queues by service.
    pub pools: dispatch::Pools,
    /// Number of refusals by reason.
    pub refusals: refusal::Counts,
    /// True while a pull of releases from another VM is in progress.
    pub is_pulling: AtomicBool,
    /// True during a read of the VM list that [`platform::refresh_list`] started and for 1 s after
    /// it, which limits the rate of these reads.
    pub is_refreshing_list: AtomicBool,
    is_ready: AtomicBool,
    in_flight: Arc<AtomicUsize>,
    /// Monotonic time of the last packet of a caller, milliseconds; 0 before the first one.
    last_packet_ms: AtomicU64,
}

/// Counts one request as in progress until this value is dropped.
pub struct RequestGuard {
    in_flight: Arc<AtomicUsize>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Node {
    /// Starts a node; returns once it serves callers. Until the platform or a seed provides the
    /// first configuration, this waits and keeps requesting it.
    ///
    /// # Errors
    ///
    /// [`Error::Io`] if the key file cannot be read or an address cannot be bound,
    /// [`Error::Settings`] if the key is too short.
    pub async fn start(settings: Settings) -> Result<Arc<Self>> {
        let key = read_key(&settings)?;
        let udp = entry::bind_udp(settings.peer_address)
            .and_then(UdpSocket::from_std)
            .map_err(|error| Error::io(settings.peer_address.to_string(), error))?;
        let tcp = bind_tcp(settings.peer_address).await?;
        let admin = bind_tcp(settings.admin_address).await?;
        let incarnation = clock::wall_ms();
        let members = membership::Table::new(&settings.vm, &settings.data_centre, incarnation);
        let members = Arc::new(members);
        let (replicas, changed_flows) = flow::replication::Queue::new();
        let node = Arc::new(Self {
            platform: Box::new(platform::Http::new(&settings.platform_url)),
            peers: peer::Peers::new(members.clone(), udp, settings.peer_address.ip(), &key),
            flows: flow::Table::new(settings.limits.max_flows),
            members,
            replicas,
            settings,
            releases: release::ReleaseLog::default(),
            entry: entry::Listeners::default(),
            links: backend::Links::default(),
            backend_sockets: dispatch::datagrams::BackendSockets::default(),
            pools: dispatch::Pools::default(),
            refusals: refusal::Counts::default(),
            is_pulling: AtomicBool::new(false),
            is_refreshing_list: AtomicBool::new(false),
            is_ready: AtomicBool::new(false),
            in_flight: Arc::default(),
            last_packet_ms: AtomicU64::new(0),
        });
        tokio::spawn(admin::serve(node.clone(), admin));
        tokio::spawn(keep_up_metrics());
        tokio::spawn(peer::serve(node.clone(), tcp, key));
        tokio::spawn(peer::receive::run(node.clone()));
        node.read_first_configuration().await;
        tokio::spawn(entry::run(node.clone()));
        tokio::spawn(backend::draining::run(node.clone()));
        tokio::spawn(flow::replication::run(node.clone(), changed_flows));
        tokio::spawn(flow::handover::run(node.clone()));
        tokio::spawn(flow::handover::follow_releases(node.clone()));
        membership::join(&node).await;
        tokio::spawn(membership::run(node.clone()));
        tokio::spawn(platform::run(node.clone()));
        node.is_ready.store(true, Ordering::Release);
        info!(
            "event=ready vm={} incarnation={incarnation}",
            node.settings.vm
        );
        Ok(node)
    }

    /// Stops gracefully: takes no new flows, hands over flow records, finishes the requests in
    /// progress and forwards late packets, for at most the stop timeout of the settings.
    ///
    /// Returns whether all records were handed over, all requests finished and all replicas
    /// forwarded.
    pub async fn stop(self: &Arc<Self>) -> bool {
        info!("event=stopping in_flight={}", self.in_flight());
        let deadline = Instant::now() + self.settings.limits.stop_timeout;
        self.is_ready.store(false, Ordering::Release);
        self.members.begin_leaving();
        membership::announce(self);
        let mut remaining_records = flow::handover::hand_over_all(self).await;
        while Instant::now() < deadline {
            if remaining_records == 0 && self.in_flight() == 0 && self.is_idle() {
                return self.complete_leave().await;
            }
            sleep(STOP_CHECK_INTERVAL).await;
            remaining_records = flow::handover::hand_over_all(self).await;
        }
        warn!(
            "event=stop_timed_out records={remaining_records} in_flight={}",
            self.in_flight()
        );
        false
    }

    /// Forwards the replicas that this VM holds, then announces that it has stopped without the
    /// loss of a record.
    ///
    /// Returns whether all replicas were forwarded; otherwise there is no announcement.
    async fn complete_leave(self: &Arc<Self>) -> bool {
        let is_complete = flow::handover::forward_replicas(self).await;
        if is_complete {
            self.members.finish_leaving();
            membership::announce(self);
        }
        info!("event=stopped is_complete={is_complete}");
        is_complete
    }

    /// Returns whether the node is ready: its start is complete and no stop has begun.
    pub fn is_ready(&self) -> bool {
        self.is_ready.load(Ordering::Acquire)
    }

    /// Returns the number of requests in progress.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Acquire)
    }

    /// Counts one request as in progress until the returned value is dropped.
    pub fn begin_request(&self) -> RequestGuard {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        RequestGuard {
            in_flight: self.in_flight.clone(),
        }
    }

    /// Records the arrival of a caller's packet, received directly or from another VM.
    pub fn record_packet_arrival(&self) {
        self.last_packet_ms
            .store(clock::monotonic_ms(), Ordering::Relaxed);
    }

    /// Handles a notification from an endpoint for the flow `key`; returns whether a feed of the
    /// flow uses `endpoint_token`.
    pub fn handle_notification(
        self: &Arc<Self>,
        key: Key,
        endpoint_token: u64,
        packet: Packet,
    ) -> bool {
        dispatch::handle_notification(self, key, endpoint_token, packet)
    }

    fn is_idle(&self) -> bool {
        let last_ms = self.last_packet_ms.load(Ordering::Relaxed);
        let idle_ms = clock::monotonic_ms().saturating_sub(last_ms);
        idle_ms >= IDLE_TIME_BEFORE_EXIT.as_millis() as u64
    }

    /// Reads the first configuration from the platform, or from the seeds if that fails, and
    /// repeats this until one of them has it.
    async fn read_first_configuration(self: &Arc<Self>) {
        loop {
            match platform::read_all(self).await {
                Ok(()) => return,
                Err(error) => warn!("event=first_read_failed error=\"{error}\""),
            }
            if peer::releases::pull_from_seeds(self).await {
                return;
            }
            sleep(FIRST_READ_RETRY_DELAY).await;
        }
    }
}

fn read_key(settings: &Settings) -> Result<wire::frame::Key> {
    let path = settings.key_file.display().to_string();
    let key_material =
        std::fs::read(&settings.key_file).map_err(|source| Error::io(&path, source))?;
    if key_material.len() < MIN_KEY_LEN {
        let expected = format!("at least {MIN_KEY_LEN} bytes");
        let found = format!("{} bytes", key_material.len());
        let error = crate::settings::ValidationError::new(&path, "contents", &expected, found);
        return Err(Error::Settings(error));
    }
    Ok(wire::frame::Key::derive(&key_material))
}

async fn bind_tcp(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .map_err(|source| Error::io(address.to_string(), source))
}

/// Adds recorded samples to the histograms until the process ends.
async fn keep_up_metrics() {
    loop {
        sleep(METRICS_UPKEEP_INTERVAL).await;
        telemetry::run_upkeep();
    }
}
