//! Randomised soak of the steering VMs on the users' platform.
//!
//! The real program runs as separate processes against stand-ins that speak the platform's
//! protocol. Faults come from outside the processes, by seed, in bursts that overlap;
//! callers and endpoints check the promises meanwhile.

mod caller;
mod endpoint;
mod faults;
mod promises;
mod proxy;
mod store;
mod vms;
mod wires;

use std::io::ErrorKind;
use std::net::Ipv4Addr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::sleep;

pub use promises::{Promises, Routes};
pub use store::Store;

/// Time without a fault at the end, in which service has to be back.
const LAST_CALM: Duration = Duration::from_secs(5);

/// Second bytes of loopback addresses that runs may take.
const FIRST_SUBNET: u8 = 128;
const SUBNETS: u64 = 120;

/// Ports that all VMs of a run share.
pub(crate) mod port {
    /// Callers' packets.
    pub const PACKET: u16 = 8172;
    /// Readiness check.
    pub const READY: u16 = 8167;
    /// Other VMs.
    pub const PEER: u16 = 7720;
    /// Metrics.
    pub const METRICS: u16 = 9464;
    /// Endpoints.
    pub const ENDPOINT: u16 = 8080;
    /// The store, and the proxies towards it.
    pub const STORE: u16 = 8169;
}

/// Size and length of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Seed of all that can be decided.
    pub seed: u64,
    /// Bursts of faults.
    pub bursts: usize,
    /// VMs.
    pub vms: u8,
    /// Callers.
    pub callers: u8,
}

/// Parts of a run.
pub(crate) struct World {
    pub(crate) options: Options,
    /// Second byte of all addresses of the run.
    pub(crate) subnet: u8,
    pub(crate) folder: PathBuf,
    pub(crate) store: Arc<Store>,
    pub(crate) promises: Arc<Promises>,
    pub(crate) vms: vms::Vms,
    pub(crate) wires: wires::Wires,
    pub(crate) endpoints: endpoint::Fleet,
}

impl World {
    /// Returns an address of the run: VMs are in group 1, callers in 2, endpoints in 3,
    /// the store and its proxies in 4, wires to VMs in 5.
    pub(crate) fn ip(&self, group: u8, number: u8) -> Ipv4Addr {
        ip(self.subnet, group, number)
    }
}

fn ip(subnet: u8, group: u8, number: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, subnet, group, number)
}

/// Runs one seed; returns the promises that were broken.
///
/// # Errors
///
/// Any error of the system when a part cannot be started.
pub async fn run(options: Options) -> std::io::Result<Vec<String>> {
    let folder = tempfile::tempdir()?;
    let promises = Arc::new(Promises::default());
    let (subnet, store) = claim_subnet(options.seed, &promises).await?;
    let world = Arc::new(World {
        subnet,
        folder: folder.path().to_owned(),
        vms: vms::Vms::new(options.vms),
        wires: wires::Wires::default(),
        endpoints: endpoint::Fleet::new(subnet, store.clone(), promises.clone()),
        store,
        promises,
        options,
    });
    world.endpoints.start_all().await?;
    for number in 1..=world.options.vms {
        proxy::start(&world, number).await?;
        wires::start(&world, number).await?;
        world.vms.start(&world, number)?;
    }
    let mut random = StdRng::seed_from_u64(world.options.seed);
    faults::configure(&world, &mut random);
    let rotation = tokio::spawn(vms::watch_rotation(world.clone()));
    world.vms.wait_ready().await;
    let callers: Vec<_> = (1..=world.options.callers)
        .map(|number| tokio::spawn(caller::run(world.clone(), number)))
        .collect();
    for _ in 0..world.options.bursts {
        faults::burst(&world, &mut random).await;
    }
    sleep(LAST_CALM).await;
    world.promises.check_service_is_back();
    for caller in callers {
        caller.abort();
    }
    world.vms.stop_all(&world).await;
    rotation.abort();
    let broken = world.promises.broken();
    if !broken.is_empty() {
        let kept = folder.keep();
        println!(
            "logs of seed {} kept in {}",
            world.options.seed,
            kept.display()
        );
    }
    println!("{}", world.promises.summary(world.options.seed));
    Ok(broken)
}

/// Starts the store in a subnet that no other run has.
async fn claim_subnet(seed: u64, promises: &Arc<Promises>) -> std::io::Result<(u8, Arc<Store>)> {
    let first = u64::from(std::process::id()).wrapping_add(seed);
    for turn in 0..SUBNETS {
        let subnet = FIRST_SUBNET + (first.wrapping_add(turn) % SUBNETS) as u8;
        match Store::start(ip(subnet, 4, 1), promises.clone()).await {
            Ok(store) => return Ok((subnet, store)),
            Err(error) if error.kind() == ErrorKind::AddrInUse => {}
            Err(error) => return Err(error),
        }
    }
    Err(ErrorKind::AddrInUse.into())
}

/// Runs seeds one after the other; returns whether all promises held.
///
/// # Errors
///
/// Any error of the system when a part cannot be started.
pub async fn run_seeds(options: &Options, seeds: u64) -> std::io::Result<bool> {
    let mut failed = Vec::new();
    for seed in options.seed..options.seed + seeds {
        let broken = run(Options {
            seed,
            ..options.clone()
        })
        .await?;
        for promise in &broken {
            println!("seed {seed}: broken: {promise}");
        }
        if !broken.is_empty() {
            failed.push(seed);
        }
    }
    println!("{} of {seeds} seeds failed: {failed:?}", failed.len());
    Ok(failed.is_empty())
}
