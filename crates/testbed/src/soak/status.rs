//! The VMs' own account of what they follow.

use std::time::{Duration, Instant};

use tokio::time::sleep;

use super::{Cluster, port};

/// Time from the store's acknowledgement of a change within which it has to be in force.
const APPLY_TIMEOUT: Duration = Duration::from_secs(3);

/// Interval between two looks at a VM's status.
const STATUS_INTERVAL: Duration = Duration::from_millis(10);

/// Waits until the VMs use at least this version; returns the time that it took, or `None` after
/// [`APPLY_TIMEOUT`].
pub(crate) async fn wait_until_in_force(
    cluster: &Cluster,
    vms: &[u8],
    version: u64,
) -> Option<Duration> {
    let started_at = Instant::now();
    for vm in vms {
        while status_field(cluster, *vm, "config").await < Some(version) {
            if started_at.elapsed() > APPLY_TIMEOUT {
                return None;
            }
            sleep(STATUS_INTERVAL).await;
        }
    }
    Some(started_at.elapsed())
}

/// Returns a number from the status of a VM; `None` when the VM does not answer.
pub(crate) async fn status_field(cluster: &Cluster, vm: u8, name: &str) -> Option<u64> {
    let url = format!("http://{}:{}/status", cluster.ip(1, vm), port::METRICS);
    let response = reqwest::get(url).await.ok()?;
    let status = response.text().await.ok()?;
    let mut fields = status.split_whitespace();
    let value = fields.find_map(|field| field.strip_prefix(name)?.strip_prefix('='))?;
    value.parse().ok()
}
