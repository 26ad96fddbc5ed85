//! Drill of the rotation: most VMs of a data centre are paused, and the readiness checks of the
//! others have to fail until half of them are back.

use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use tokio::time::sleep;

use super::Cluster;
use super::drill::Drill;

/// Time within which the rotation has to follow a change: two failed readiness checks, each after
/// at most 500 ms and with a timeout of 400 ms, and the VMs' own detection.
const ROTATION_TIMEOUT: Duration = Duration::from_millis(3500);

/// Time for which the rotation is observed where it must not change.
const OBSERVATION_TIME: Duration = Duration::from_millis(3000);

/// Seven VMs: 2, 4 and 6 belong to the first data centre, the others to the second one.
const VMS: u8 = 7;

/// Change in which VMs are paused, and the expected rotation after it.
struct Step {
    name: &'static str,
    paused: &'static [u8],
    in_rotation: &'static [u8],
}

const STEPS: [Step; 6] = [
    Step {
        name: "two of three paused, the third hands its callers over",
        paused: &[2, 4],
        in_rotation: &[1, 3, 5, 7],
    },
    Step {
        name: "all are back",
        paused: &[],
        in_rotation: &[1, 2, 3, 4, 5, 6, 7],
    },
    Step {
        name: "three of four paused",
        paused: &[1, 3, 5],
        in_rotation: &[2, 4, 6],
    },
    Step {
        name: "half are back",
        paused: &[3, 5],
        in_rotation: &[1, 2, 4, 6, 7],
    },
    Step {
        name: "most of both paused, no data centre can take the callers",
        paused: &[2, 4, 1, 3, 5],
        in_rotation: &[6, 7],
    },
    Step {
        name: "all are back again",
        paused: &[],
        in_rotation: &[1, 2, 3, 4, 5, 6, 7],
    },
];

/// Plays the steps with the real program; returns a description of each deviation.
///
/// # Errors
///
/// Returns the I/O error of a stand-in or VM process that cannot be started.
///
/// # Panics
///
/// Panics if the VMs are not all ready within 20 s.
pub async fn run_rotation_drill(seed: u64) -> std::io::Result<Vec<String>> {
    let drill = Drill::start(seed, VMS, 1).await?;
    let cluster = &drill.cluster;
    // The VMs find each other within two rounds of the member lists.
    sleep(Duration::from_secs(4)).await;
    let mut deviations = Vec::new();
    for step in STEPS {
        for number in 1..=VMS {
            let signal = if step.paused.contains(&number) {
                Signal::SIGSTOP
            } else {
                Signal::SIGCONT
            };
            cluster.vms.signal(number, signal);
        }
        let elapsed = wait_for_rotation(cluster, step.in_rotation).await;
        println!("{}: after {elapsed:?}", step.name);
        if elapsed.is_none() {
            let found = cluster.vms.in_rotation();
            deviations.push(format!("{}: in rotation are {found:?}", step.name));
        }
        let is_lasting = holds_for(cluster, step.in_rotation, OBSERVATION_TIME).await;
        if elapsed.is_some() && !is_lasting {
            deviations.push(format!("{}: the rotation changed again", step.name));
        }
    }
    Ok(drill.finish(deviations).await)
}

/// Waits until exactly these VMs are in rotation; `None` when that takes too long.
async fn wait_for_rotation(cluster: &Cluster, expected: &[u8]) -> Option<Duration> {
    let started_at = Instant::now();
    while started_at.elapsed() < ROTATION_TIMEOUT {
        if cluster.vms.in_rotation() == expected {
            return Some(started_at.elapsed());
        }
        sleep(Duration::from_millis(20)).await;
    }
    None
}

/// Returns whether exactly these VMs stay in rotation for `duration`.
async fn holds_for(cluster: &Cluster, expected: &[u8], duration: Duration) -> bool {
    let started_at = Instant::now();
    while started_at.elapsed() < duration {
        if cluster.vms.in_rotation() != expected {
            return false;
        }
        sleep(Duration::from_millis(20)).await;
    }
    true
}
