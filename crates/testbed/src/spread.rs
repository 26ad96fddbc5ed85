//! Measures the overhead of an idle fleet and the propagation time of releases, for a number of
//! VMs.

use std::time::{Duration, Instant};

use tokio::time::sleep;

use crate::world::{World, WorldConfig};

/// Time over which the idle fleet is observed.
const IDLE_TIME: Duration = Duration::from_secs(10);

/// Number of releases to publish.
const RELEASES: usize = 10;

/// Time within which a release has to be in force on all VMs.
const RELEASE_BOUND: Duration = Duration::from_secs(4);

/// Clock ticks a second (`USER_HZ`) in /proc/PID/stat.
const CLOCK_TICKS_PER_S: f64 = 100.0;

/// Size of the pages that /proc/PID/statm counts.
const PAGE_BYTES: u64 = 4096;

/// Resource usage of all VMs since their start, summed up.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    /// Bytes sent to other VMs.
    peer_bytes: f64,
    /// User and system CPU time.
    cpu_s: f64,
    /// Current resident set size.
    resident_bytes: u64,
}

/// Measures a fleet of `vms` VMs; returns whether all releases were in force in time.
pub async fn run(vms: usize) -> std::io::Result<bool> {
    let world = World::start(WorldConfig {
        vms,
        ..WorldConfig::default()
    })
    .await?;
    sleep(Duration::from_secs(5)).await;
    let reads = world.platform.reads();
    let before = usage(&world).await;
    let started_at = Instant::now();
    sleep(IDLE_TIME).await;
    let elapsed_s = started_at.elapsed().as_secs_f64();
    let after = usage(&world).await;
    let reads_per_s = (world.platform.reads() - reads) as f64 / elapsed_s;
    let per_vm_s = elapsed_s * vms as f64;
    println!(
        "vms={vms} reads_per_s={reads_per_s:.1} peer_bytes_per_vm_s={:.0} cpu_percent_per_vm={:.2} resident_mb_per_vm={:.1}",
        (after.peer_bytes - before.peer_bytes) / per_vm_s,
        (after.cpu_s - before.cpu_s) / per_vm_s * 100.0,
        after.resident_bytes as f64 / vms as f64 / 1e6
    );
    let mut times = Vec::new();
    // Draining the same server again still publishes a new release.
    for _ in 0..RELEASES {
        let number = world.drain(0, 0);
        match propagation_time(&world, number).await {
            Some(time) => times.push(time),
            None => println!("release {number} not in force on all VMs after {RELEASE_BOUND:?}"),
        }
        sleep(Duration::from_millis(300)).await;
    }
    times.sort();
    let is_complete = times.len() == RELEASES;
    if let (Some(median), Some(max)) = (times.get(times.len() / 2), times.last()) {
        println!("vms={vms} release_to_all_median={median:.1?} release_to_all_max={max:.1?}");
    }
    world.close();
    Ok(is_complete)
}

/// Polls all VMs concurrently until each has the release in force, and returns the time that
/// the last one took; `None` when one exceeds [`RELEASE_BOUND`].
async fn propagation_time(world: &World, number: u64) -> Option<Duration> {
    let started_at = Instant::now();
    let mut polls = Vec::new();
    for vm in world.vms.values() {
        let status_url = vm.status_url();
        polls.push(tokio::spawn(async move {
            let client = reqwest::Client::new();
            while started_at.elapsed() < RELEASE_BOUND {
                if let Some(report) = crate::fleet::fetch_status(&client, &status_url).await
                    && report.release >= number
                {
                    return Some(started_at.elapsed());
                }
                sleep(Duration::from_millis(5)).await;
            }
            None
        }));
    }
    let mut longest = Duration::ZERO;
    for task in polls {
        longest = longest.max(task.await.ok()??);
    }
    Some(longest)
}

async fn usage(world: &World) -> Usage {
    let mut usage = Usage::default();
    for vm in world.vms.values() {
        let metrics = vm.metrics().await.unwrap_or_default();
        let sent = metrics
            .lines()
            .filter(|line| line.starts_with("ragwortbeam_peer_bytes_sent_total"));
        let counts = sent.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
        usage.peer_bytes += counts.sum::<f64>();
        if let Some(pid) = vm.pid() {
            usage.cpu_s += cpu_s(pid);
            usage.resident_bytes += resident_bytes(pid);
        }
    }
    usage
}

fn cpu_s(pid: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // The command name may contain spaces; the fields after it follow the last parenthesis.
    let fields: Vec<&str> = text
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split_whitespace()
        .collect();
    let ticks = |index: usize| -> f64 {
        let field = fields.get(index).and_then(|field| field.parse().ok());
        field.unwrap_or(0.0)
    };
    // User and system time.
    (ticks(11) + ticks(12)) / CLOCK_TICKS_PER_S
}

fn resident_bytes(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/statm")).unwrap_or_default();
    // The second field is the resident set size.
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}
