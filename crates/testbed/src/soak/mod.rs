//! Randomised soak test of the steering VMs.
//!
//! The real program runs as separate processes against stand-ins that speak the platform's
//! protocol. Bursts of overlapping faults, drawn from a seed, are injected from outside the
//! processes, while the stand-ins for callers and endpoints check the platform's guarantees.

mod caller;
mod drill;
mod endpoint;
mod faults;
mod guarantees;
mod links;
mod odd_entries;
mod restoration;
mod rotation;
mod status;
mod store;
mod takeover;
mod vms;

use std::io::ErrorKind;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::proxy;
pub use guarantees::{GuaranteeChecker, Routes};
pub use odd_entries::run_odd_entries_drill;
pub use rotation::run_rotation_drill;
pub use store::Store;
pub use takeover::run_takeover_drill;

/// Time without faults at the end of a run, within which service has to recover.
const FINAL_RECOVERY_TIME: Duration = Duration::from_secs(5);

/// Lowest second byte of a run's loopback addresses.
const FIRST_SUBNET: u8 = 128;
/// Number of second bytes that runs choose from; parallel runs use different ones.
const SUBNET_COUNT: u64 = 120;

/// Ports that are the same at every address of a run.
pub(crate) mod port {
    /// UDP port that receives packets of flows, at VMs and at callers.
    pub const PACKET: u16 = 8172;
    /// HTTP port of a VM's readiness check.
    pub const READY: u16 = 8167;
    /// UDP and TCP port of a VM for the other VMs.
    pub const PEER: u16 = 7720;
    /// HTTP port of a VM's metrics.
    pub const METRICS: u16 = 9464;
    /// UDP port of an endpoint.
    pub const ENDPOINT: u16 = 8080;
    /// HTTP port of the store and of the proxies in front of it.
    pub const STORE: u16 = 8169;
}

/// Seed, length and size of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Seed of the faults, the changes and the callers' requests. Timing, and loss and delay
    /// on degraded links, do not depend on it.
    pub seed: u64,
    /// Number of bursts of faults; 0 runs without faults and changes.
    pub bursts: usize,
    /// Number of VMs, from 1 to 200.
    pub vms: u8,
    /// Number of callers, from 1 to 200.
    pub callers: u8,
    /// Testbed binary of another version, which runs the VMs with odd numbers; `None` when this
    /// binary runs all.
    pub other_binary: Option<PathBuf>,
    /// True when the store is restored from a copy in each burst.
    pub restores_store: bool,
}

/// The VMs of a run and the stand-ins around them.
pub(crate) struct Cluster {
    pub(crate) options: Options,
    /// Second byte of every address of the run.
    pub(crate) subnet: u8,
    /// Directory of the VMs' settings files and logs.
    pub(crate) directory: PathBuf,
    pub(crate) store: Arc<Store>,
    pub(crate) checker: Arc<GuaranteeChecker>,
    pub(crate) vms: vms::Vms,
    pub(crate) links: links::Links,
    pub(crate) endpoints: endpoint::EndpointPool,
}

impl Cluster {
    /// Returns an address of the run, by its last two bytes. `group` is 1 for VMs, 2 for
    /// callers, 3 for endpoints, 4 for the store (number 1) and its proxies (10 plus the number
    /// of the VM), and 5 for the links to VMs.
    pub(crate) fn ip(&self, group: u8, number: u8) -> Ipv4Addr {
        ip(self.subnet, group, number)
    }
}

fn ip(subnet: u8, group: u8, number: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, subnet, group, number)
}

/// Runs one seed; returns a description of each violation of a guarantee. The VMs' settings files
/// and logs are kept if there is a violation.
///
/// # Errors
///
/// Returns the I/O error of a stand-in or VM process that cannot be started.
///
/// # Panics
///
/// Panics if the VMs are not all ready within 20 s.
pub async fn run(options: Options) -> std::io::Result<Vec<String>> {
    let directory = tempfile::tempdir()?;
    let (cluster, mut rng, rotation_task) = start_cluster(options, directory.path()).await?;
    let callers: Vec<_> = (1..=cluster.options.callers)
        .map(|number| tokio::spawn(caller::run(cluster.clone(), number)))
        .collect();
    let mut evacuation_rng = StdRng::seed_from_u64(!cluster.options.seed);
    let mut restoration_rng = StdRng::seed_from_u64(cluster.options.seed.rotate_left(32));
    for _ in 0..cluster.options.bursts {
        let restoration = cluster.options.restores_store.then(|| {
            let seed = restoration_rng.random();
            tokio::spawn(restoration::run(cluster.clone(), seed))
        });
        faults::run_burst(&cluster, &mut rng, &mut evacuation_rng).await;
        if let Some(restoration) = restoration {
            restoration.await.expect("a restoration does not panic");
        }
    }
    sleep(FINAL_RECOVERY_TIME).await;
    cluster.checker.check_service_recovered();
    for caller in callers {
        caller.abort();
    }
    cluster.vms.stop_all(&cluster).await;
    rotation_task.abort();
    let violations = cluster.checker.violations();
    if !violations.is_empty() {
        let kept = directory.keep();
        println!(
            "seed {}: logs are kept in {}",
            cluster.options.seed,
            kept.display()
        );
    }
    println!("{}", cluster.checker.summary(cluster.options.seed));
    Ok(violations)
}

/// Starts the stand-ins and VMs, and the task that keeps the rotation, and waits until all VMs are
/// ready. Also returns the random numbers that continue those of the configuration.
async fn start_cluster(
    options: Options,
    directory: &Path,
) -> std::io::Result<(Arc<Cluster>, StdRng, JoinHandle<()>)> {
    let checker = Arc::new(GuaranteeChecker::default());
    let (subnet, store) = claim_subnet(options.seed, &checker).await?;
    let cluster = Arc::new(Cluster {
        subnet,
        directory: directory.to_owned(),
        vms: vms::Vms::new(options.vms),
        links: links::Links::default(),
        endpoints: endpoint::EndpointPool::new(subnet, store.clone(), checker.clone()),
        store,
        checker,
        options,
    });
    cluster.endpoints.start_all().await?;
    for number in 1..=cluster.options.vms {
        start_proxy(&cluster, number).await?;
        links::start(&cluster, number).await?;
        cluster.vms.start(&cluster, number).await?;
    }
    let mut rng = StdRng::seed_from_u64(cluster.options.seed);
    faults::write_random_configuration(&cluster, &mut rng);
    let rotation_task = tokio::spawn(vms::update_rotation(cluster.clone()));
    cluster.vms.wait_ready().await;
    Ok((cluster, rng, rotation_task))
}

/// Starts the proxy between a VM and the store.
async fn start_proxy(cluster: &Arc<Cluster>, number: u8) -> std::io::Result<()> {
    let address = SocketAddrV4::new(cluster.ip(4, 10 + number), port::STORE);
    let listener = TcpListener::bind(address).await?;
    let target = cluster.store.address.into();
    proxy::spawn(listener, target, cluster.vms.proxy_switch(number));
    Ok(())
}

/// Starts the store in the first subnet that no other run uses. The store's bound address marks
/// the subnet as used, so that a parallel run fails to bind it and tries the next one.
async fn claim_subnet(
    seed: u64,
    checker: &Arc<GuaranteeChecker>,
) -> std::io::Result<(u8, Arc<Store>)> {
    let first = u64::from(std::process::id()).wrapping_add(seed);
    for attempt in 0..SUBNET_COUNT {
        let subnet = FIRST_SUBNET + (first.wrapping_add(attempt) % SUBNET_COUNT) as u8;
        match Store::start(ip(subnet, 4, 1), checker.clone()).await {
            Ok(store) => return Ok((subnet, store)),
            Err(error) if error.kind() == ErrorKind::AddrInUse => {}
            Err(error) => return Err(error),
        }
    }
    Err(ErrorKind::AddrInUse.into())
}

/// Runs consecutive seeds, one at a time; returns whether no guarantee was violated.
///
/// # Errors
///
/// Returns the I/O error of a stand-in or VM process that cannot be started.
pub async fn run_seeds(options: &Options, seeds: u64) -> std::io::Result<bool> {
    let mut failed = Vec::new();
    for seed in options.seed..options.seed + seeds {
        let violations = run(Options {
            seed,
            ..options.clone()
        })
        .await?;
        for violation in &violations {
            println!("seed {seed}: violation: {violation}");
        }
        if !violations.is_empty() {
            failed.push(seed);
        }
    }
    println!("{} of {seeds} seeds failed: {failed:?}", failed.len());
    Ok(failed.is_empty())
}
