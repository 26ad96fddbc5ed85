//! Drill of odd entries: another writer's items stand among those of the endpoints and replace some
//! of them, while callers are served and the configuration changes.

use std::time::Duration;

use ragwortbeam_platform_standin::{ODD_KEYS, endpoint_key, odd_values};
use tokio::time::sleep;

use super::drill::Drill;
use super::status::{status_field, wait_until_in_force};
use super::{caller, faults};

/// Time for which an endpoint's entry stays replaced.
const REPLACED_TIME: Duration = Duration::from_millis(300);

const VMS: u8 = 3;
const CALLERS: u8 = 6;

/// Plays the drill with the real program; returns a description of each deviation.
///
/// # Errors
///
/// Returns the I/O error of a stand-in or VM process that cannot be started.
///
/// # Panics
///
/// Panics if the VMs are not all ready within 20 s.
pub async fn run_odd_entries_drill(seed: u64) -> std::io::Result<Vec<String>> {
    let mut drill = Drill::start(seed, VMS, CALLERS).await?;
    let cluster = drill.cluster.clone();
    let callers: Vec<_> = (1..=CALLERS)
        .map(|number| tokio::spawn(caller::run(cluster.clone(), number)))
        .collect();
    let mut deviations = Vec::new();
    let vms: Vec<u8> = (1..=VMS).collect();
    for (index, value) in odd_values().into_iter().enumerate() {
        for key in ODD_KEYS {
            cluster.store.put(key, value.clone());
        }
        cluster
            .store
            .put(&endpoint_key(0xabc0 + index as u64), value.clone());
        let serving = cluster.endpoints.serving();
        let replaced = serving[index % serving.len()];
        if let Some(id) = cluster.endpoints.id(replaced) {
            cluster.store.put(&endpoint_key(id), value);
        }
        let version = faults::write_random_configuration(&cluster, &mut drill.rng);
        if wait_until_in_force(&cluster, &vms, version).await.is_none() {
            deviations.push(format!("value {index}: the VMs do not follow the store"));
        }
        sleep(REPLACED_TIME).await;
        cluster.endpoints.register_all();
    }
    // A VM that starts now reads all of these at once.
    cluster.vms.kill(VMS).await;
    cluster.vms.start(&cluster, VMS).await?;
    sleep(Duration::from_secs(3)).await;
    let version = faults::write_random_configuration(&cluster, &mut drill.rng);
    if wait_until_in_force(&cluster, &vms, version).await.is_none() {
        deviations.push("the VMs do not follow the store after a start".to_owned());
    }
    for vm in vms {
        let endpoints = status_field(&cluster, vm, "endpoints").await;
        println!("vm {vm}: {endpoints:?} endpoints");
    }
    cluster.vms.check_none_exited(&cluster);
    cluster.checker.check_service_recovered();
    for caller in callers {
        caller.abort();
    }
    println!("{}", cluster.checker.summary(seed));
    Ok(drill.finish(deviations).await)
}
