//! Faults and changes that a run draws from its seed. Faults overlap in bursts, and each burst
//! is followed by a time for recovery.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use nix::sys::signal::Signal;
use ragwortbeam_platform_standin::endpoint_key;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use tokio::time::sleep;

use super::endpoint::{PacketFault, SERVICES};
use super::guarantees::Routes;
use super::store::ResponseMode;
use super::{Cluster, vms};
use crate::proxy::ProxyFault;

/// Idempotent route of the service `ledger`; idempotent routes have even ports. A flow may carry
/// several requests.
pub(crate) const LEDGER_IDEMPOTENT_ROUTE: SocketAddrV4 = address(1, 8080);
/// Non-idempotent route of the service `ledger`; non-idempotent routes have odd ports. A flow
/// carries one request, which must be executed at most once.
pub(crate) const LEDGER_NON_IDEMPOTENT_ROUTE: SocketAddrV4 = address(1, 8081);
/// Idempotent route of the service `vault`.
pub(crate) const VAULT_ROUTE: SocketAddrV4 = address(2, 8080);
/// Route that configurations add, remove, or point at another service.
pub(crate) const CHANGING_ROUTE: SocketAddrV4 = address(3, 8080);

/// Largest number of faults in a burst.
const MAX_BURST_FAULTS: usize = 4;

/// Largest number of changes made in a row.
const MAX_CHANGES: usize = 3;

/// Time without faults after a burst. It is longer than the 7 s after a fault during which the
/// time bounds of the guarantees are not checked.
const RECOVERY_TIME: Duration = Duration::from_millis(9500);

/// Numbers of the endpoints that changes add during a run.
const NEW_ENDPOINT_NUMBERS: std::ops::Range<u8> = 20..60;

/// Returns an address that callers send to, in the benchmarking range 198.18.0.0/15.
const fn address(last: u8, port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, last), port)
}

#[derive(Clone, Copy, Debug)]
enum FaultKind {
    /// Kills a VM and starts it again.
    KillVm,
    /// Kills all VMs and starts them again.
    KillAllVms,
    /// Suspends a VM with SIGSTOP.
    PauseVm,
    /// Stops a VM with SIGTERM and starts it again.
    RestartVm,
    /// Changes how the store responds.
    StoreResponses(ResponseMode),
    /// Makes the store unavailable, lets all endpoint entries expire and registers them again.
    ExpireEntries,
    /// Drops the store's history.
    CompactHistory,
    /// Injects a fault into one VM's connections to the store.
    StoreConnection(ProxyFault),
    /// Stops an endpoint, removes its entry 500 ms later and starts another at its address.
    CrashEndpoint,
    /// Makes an endpoint drop all packets.
    DropEndpointPackets,
    /// Makes an endpoint handle each packet with a delay.
    DelayEndpointPackets,
    /// Crashes an endpoint and starts one of the other service at its address.
    ReuseAddress,
    /// Cuts the links between the data centres.
    PartitionDataCentres,
    /// Cuts all links to and from a VM.
    IsolateVm,
    /// Cuts all links to a VM.
    CutInboundLinks,
    /// Delays and reorders the datagrams to a VM, and drops some of them.
    DegradePeerLink,
}

/// Kinds that bursts draw from. A seed's draws depend on their order.
const FAULT_KINDS: [FaultKind; 21] = [
    FaultKind::KillVm,
    FaultKind::KillAllVms,
    FaultKind::PauseVm,
    FaultKind::RestartVm,
    FaultKind::StoreResponses(ResponseMode::Unresponsive),
    FaultKind::StoreResponses(ResponseMode::Unavailable),
    FaultKind::StoreResponses(ResponseMode::Slow),
    FaultKind::StoreResponses(ResponseMode::Truncated),
    FaultKind::ExpireEntries,
    FaultKind::CompactHistory,
    FaultKind::StoreConnection(ProxyFault::DropAll),
    FaultKind::StoreConnection(ProxyFault::DropResponses),
    FaultKind::StoreConnection(ProxyFault::Close),
    FaultKind::CrashEndpoint,
    FaultKind::DropEndpointPackets,
    FaultKind::DelayEndpointPackets,
    FaultKind::ReuseAddress,
    FaultKind::PartitionDataCentres,
    FaultKind::IsolateVm,
    FaultKind::CutInboundLinks,
    FaultKind::DegradePeerLink,
];

#[derive(Clone, Copy, Debug)]
enum Change {
    /// Writes a new configuration.
    WriteConfiguration,
    /// Marks an endpoint as draining if its service has more than two that are not.
    DrainEndpoint,
    /// Starts an endpoint at an unused address.
    AddEndpoint,
    /// Writes an endpoint entry that cannot be read.
    WriteMalformedEntry,
    /// Writes a VM's settings with other seed addresses and, in half of the cases, sends SIGHUP.
    RewriteSettings,
}

/// Kinds of changes that runs draw from. A seed's draws depend on their order.
const CHANGES: [Change; 5] = [
    Change::WriteConfiguration,
    Change::DrainEndpoint,
    Change::AddEndpoint,
    Change::WriteMalformedEntry,
    Change::RewriteSettings,
];

/// Injects one burst of faults and waits for recovery, with changes during both.
pub(crate) async fn run_burst(
    cluster: &Arc<Cluster>,
    rng: &mut StdRng,
    evacuation_rng: &mut StdRng,
) {
    let mut fault_tasks = Vec::new();
    for _ in 0..rng.random_range(1..=MAX_BURST_FAULTS) {
        let kind = *FAULT_KINDS.choose(rng).expect("there are kinds of faults");
        println!("seed {}: injecting fault {kind:?}", cluster.options.seed);
        let (cluster, seed) = (cluster.clone(), rng.random());
        fault_tasks.push(tokio::spawn(async move {
            if let Err(error) = inject_fault(&cluster, kind, StdRng::seed_from_u64(seed)).await {
                println!("fault {kind:?} failed: {error}");
            }
        }));
        sleep(Duration::from_millis(rng.random_range(50..800))).await;
    }
    apply_random_changes(cluster, rng).await;
    change_evacuations(cluster, evacuation_rng);
    for task in fault_tasks {
        task.await.expect("a fault does not panic");
    }
    cluster.checker.record_fault();
    sleep(RECOVERY_TIME).await;
    apply_random_changes(cluster, rng).await;
    // Leaves time to detect violations that the last changes cause.
    sleep(RECOVERY_TIME / 2).await;
    cluster.vms.check_none_exited(cluster);
}

/// Injects one fault and reverts it after a random time.
async fn inject_fault(
    cluster: &Arc<Cluster>,
    kind: FaultKind,
    mut rng: StdRng,
) -> std::io::Result<()> {
    cluster.checker.record_fault();
    let vm = rng.random_range(1..=cluster.options.vms);
    let duration = Duration::from_millis(rng.random_range(300..5000));
    let serving = cluster.endpoints.serving();
    let endpoint = *serving.choose(&mut rng).expect("an endpoint serves");
    match kind {
        FaultKind::KillVm => {
            cluster.vms.kill(vm).await;
            sleep(duration / 4).await;
            cluster.vms.start(cluster, vm).await?;
        }
        FaultKind::KillAllVms => {
            for vm in 1..=cluster.options.vms {
                cluster.vms.kill(vm).await;
            }
            sleep(duration / 4).await;
            for vm in 1..=cluster.options.vms {
                cluster.vms.start(cluster, vm).await?;
            }
        }
        FaultKind::PauseVm => {
            cluster.vms.signal(vm, Signal::SIGSTOP);
            sleep(duration).await;
            cluster.vms.signal(vm, Signal::SIGCONT);
        }
        FaultKind::RestartVm => {
            cluster.vms.stop(cluster, vm).await;
            cluster.vms.start(cluster, vm).await?;
        }
        FaultKind::StoreResponses(mode) => {
            cluster.store.set_mode(mode);
            sleep(duration).await;
            cluster.store.set_mode(ResponseMode::Normal);
        }
        FaultKind::ExpireEntries => {
            cluster.store.set_mode(ResponseMode::Unavailable);
            sleep(duration).await;
            cluster.endpoints.expire_all_entries();
            cluster.store.set_mode(ResponseMode::Normal);
            sleep(Duration::from_millis(rng.random_range(100..1500))).await;
            cluster.endpoints.register_all();
        }
        FaultKind::CompactHistory => cluster.store.compact_history(),
        FaultKind::StoreConnection(fault) => {
            cluster.vms.proxy_switch(vm).set(fault);
            sleep(duration).await;
            cluster.vms.proxy_switch(vm).set(ProxyFault::None);
        }
        FaultKind::CrashEndpoint => {
            crash_endpoint(cluster, endpoint, Duration::from_millis(500)).await?
        }
        FaultKind::DropEndpointPackets => {
            cluster
                .endpoints
                .set_packet_fault(endpoint, PacketFault::Drop);
            sleep(duration).await;
            cluster
                .endpoints
                .set_packet_fault(endpoint, PacketFault::None);
        }
        FaultKind::DelayEndpointPackets => {
            cluster
                .endpoints
                .set_packet_fault(endpoint, PacketFault::Delay);
            sleep(duration).await;
            cluster
                .endpoints
                .set_packet_fault(endpoint, PacketFault::None);
        }
        FaultKind::PartitionDataCentres => {
            let crosses_data_centres = |(sender, receiver): &(u8, u8)| {
                vms::data_centre(*sender) != vms::data_centre(*receiver)
            };
            cut_links(cluster, duration, crosses_data_centres).await;
        }
        FaultKind::IsolateVm => {
            cut_links(cluster, duration, |(sender, receiver)| {
                [*sender, *receiver].contains(&vm)
            })
            .await
        }
        FaultKind::CutInboundLinks => {
            cut_links(cluster, duration, |(_, receiver)| *receiver == vm).await
        }
        FaultKind::DegradePeerLink => {
            cluster.links.set_degraded(vm, true);
            sleep(duration).await;
            cluster.links.set_degraded(vm, false);
        }
        FaultKind::ReuseAddress => {
            let other = SERVICES
                .iter()
                .find(|(name, _)| cluster.endpoints.service(endpoint) != Some(name));
            crash_endpoint(cluster, endpoint, Duration::from_millis(1500)).await?;
            if let Some((service, _)) = other
                && cluster.endpoints.serving().len() > 4
            {
                cluster.endpoints.stop(endpoint, true);
                sleep(Duration::from_millis(500)).await;
                cluster.endpoints.start(endpoint, service).await?;
            }
        }
    }
    cluster.checker.record_fault();
    Ok(())
}

/// Cuts the links of the pairs of sender and receiver that `is_cut` selects, for `duration`.
async fn cut_links(cluster: &Cluster, duration: Duration, is_cut: impl Fn(&(u8, u8)) -> bool) {
    let vms = 1..=cluster.options.vms;
    let pairs = vms
        .clone()
        .flat_map(|sender| vms.clone().map(move |receiver| (sender, receiver)));
    let pairs: Vec<(u8, u8)> = pairs.filter(is_cut).collect();
    cluster.links.set_cut(&pairs, true);
    sleep(duration).await;
    cluster.links.set_cut(&pairs, false);
}

/// Stops an endpoint, removes its entry after `entry_removal_delay`, and starts another endpoint
/// of the service at its address.
async fn crash_endpoint(
    cluster: &Cluster,
    endpoint: u8,
    entry_removal_delay: Duration,
) -> std::io::Result<()> {
    let Some(service) = cluster.endpoints.service(endpoint) else {
        return Ok(());
    };
    let id = cluster.endpoints.id(endpoint);
    cluster.endpoints.stop(endpoint, false);
    sleep(entry_removal_delay).await;
    if let Some(id) = id {
        cluster.endpoints.remove_entry(id);
    }
    cluster.endpoints.start(endpoint, service).await
}

/// Orders the evacuation of a data centre, ends it or leaves it as it is. It has random numbers of
/// its own, so that the other draws of a seed do not depend on it.
fn change_evacuations(cluster: &Cluster, rng: &mut StdRng) {
    for number in [1, 2] {
        let data_centre = vms::data_centre(number);
        if rng.random() {
            let is_evacuated = !cluster.checker.is_evacuated(data_centre);
            println!(
                "seed {}: evacuation of {data_centre}: {is_evacuated}",
                cluster.options.seed
            );
            cluster.store.set_evacuated(data_centre, is_evacuated);
        }
    }
}

/// Makes a random number of random changes, with a short pause after each.
async fn apply_random_changes(cluster: &Arc<Cluster>, rng: &mut StdRng) {
    for _ in 0..rng.random_range(1..=MAX_CHANGES) {
        let change = *CHANGES.choose(rng).expect("there are changes");
        println!("seed {}: making change {change:?}", cluster.options.seed);
        if let Err(error) = apply_change(cluster, change, rng).await {
            println!("change {change:?} failed: {error}");
        }
        sleep(Duration::from_millis(rng.random_range(20..400))).await;
    }
}

async fn apply_change(
    cluster: &Arc<Cluster>,
    change: Change,
    rng: &mut StdRng,
) -> std::io::Result<()> {
    match change {
        Change::WriteConfiguration => {
            write_random_configuration(cluster, rng);
        }
        Change::DrainEndpoint => {
            let serving = cluster.endpoints.serving();
            let drainable = serving.iter().filter(|endpoint| {
                let service = cluster.endpoints.service(**endpoint);
                let same_service = serving
                    .iter()
                    .filter(|it| cluster.endpoints.service(**it) == service);
                same_service.count() > 2
            });
            let drainable: Vec<u8> = drainable.copied().collect();
            if let Some(endpoint) = drainable.choose(rng) {
                cluster.endpoints.drain(*endpoint);
            }
        }
        Change::AddEndpoint => {
            let free = NEW_ENDPOINT_NUMBERS.filter(|it| cluster.endpoints.service(*it).is_none());
            let (service, _) = SERVICES[rng.random_range(0..SERVICES.len())];
            if let Some(endpoint) = free.min() {
                cluster.endpoints.start(endpoint, service).await?;
            }
        }
        Change::WriteMalformedEntry => {
            let key = endpoint_key(rng.random_range(1..99));
            cluster.store.put(&key, "{\"service\": 5}");
        }
        Change::RewriteSettings => {
            let vm = rng.random_range(1..=cluster.options.vms);
            cluster
                .vms
                .write_settings(cluster, vm, rng.random_range(0..9))?;
            if rng.random() {
                cluster.vms.signal(vm, Signal::SIGHUP);
            }
        }
    }
    Ok(())
}

/// Writes the next configuration, in which the changing route leads to either service or is
/// absent; returns its version.
pub(crate) fn write_random_configuration(cluster: &Cluster, rng: &mut StdRng) -> u64 {
    let mut routes = Routes::from([
        (LEDGER_IDEMPOTENT_ROUTE, "ledger".to_owned()),
        (LEDGER_NON_IDEMPOTENT_ROUTE, "ledger".to_owned()),
        (VAULT_ROUTE, "vault".to_owned()),
    ]);
    match rng.random_range(0..3) {
        0 => drop(routes.insert(CHANGING_ROUTE, "ledger".to_owned())),
        1 => drop(routes.insert(CHANGING_ROUTE, "vault".to_owned())),
        _ => {}
    }
    let version = cluster.checker.configuration_count() as u64 * 3 + 1;
    cluster.store.write_configuration(version, &routes);
    version
}
