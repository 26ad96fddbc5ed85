//! Drill of the takeover: the reader of the store fails just after it has passed on a change, while
//! the other VMs' connections to the store are silent, and the next change has to be in force in
//! time on the VMs that run.

use std::time::Duration;

use nix::sys::signal::Signal;
use rand::rngs::StdRng;
use tokio::time::sleep;

use super::drill::Drill;
use super::status::{status_field, wait_until_in_force};
use super::{Cluster, faults};

/// Time after a fault of a VM's connections from which time bounds hold for it again.
const CONTACT_TIME: Duration = Duration::from_millis(4500);

/// Three VMs: 2 belongs to the first data centre and reads the store, 1 and 3 to the second one.
const VMS: u8 = 3;
const READER: u8 = 2;
const OTHERS: [u8; 2] = [1, 3];

/// Failure of the reader, and the change that follows.
struct Step {
    name: &'static str,
    /// True when the other VMs' connections to the store went silent before.
    has_silent_connections: bool,
    /// Signal that stops the reader.
    signal: Signal,
    /// True when the VM that would take over is paused too.
    is_successor_paused: bool,
    /// Time from the last change that the reader passed on until the reader is stopped.
    delay: Duration,
}

const KILLED: Step = Step {
    name: "reader killed",
    has_silent_connections: false,
    signal: Signal::SIGKILL,
    is_successor_paused: false,
    delay: Duration::ZERO,
};

/// The first step leaves the other VMs with an idle connection to the store.
const STEPS: [Step; 7] = [
    KILLED,
    Step {
        name: "reader killed, silent connections",
        has_silent_connections: true,
        ..KILLED
    },
    Step {
        name: "reader killed within a watch, silent connections",
        has_silent_connections: true,
        delay: Duration::from_millis(500),
        ..KILLED
    },
    Step {
        name: "reader killed at the end of a watch, silent connections",
        has_silent_connections: true,
        delay: Duration::from_millis(1000),
        ..KILLED
    },
    Step {
        name: "reader paused, silent connections",
        has_silent_connections: true,
        signal: Signal::SIGSTOP,
        ..KILLED
    },
    Step {
        name: "reader and its successor paused, silent connections",
        has_silent_connections: true,
        signal: Signal::SIGSTOP,
        is_successor_paused: true,
        ..KILLED
    },
    Step {
        name: "reader killed and its successor paused, silent connections",
        has_silent_connections: true,
        is_successor_paused: true,
        ..KILLED
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
pub async fn run_takeover_drill(seed: u64) -> std::io::Result<Vec<String>> {
    let mut drill = Drill::start(seed, VMS, 1).await?;
    sleep(CONTACT_TIME).await;
    let mut deviations = Vec::new();
    for step in STEPS {
        match play(&drill.cluster, &mut drill.rng, &step).await? {
            Some(elapsed) => println!("{}: in force after {elapsed:?}", step.name),
            None => deviations.push(format!("{}: not in force in time", step.name)),
        }
    }
    Ok(drill.finish(deviations).await)
}

/// Plays one step; returns the time until the change was in force on all VMs that run, or `None`
/// when that took too long.
async fn play(
    cluster: &Cluster,
    rng: &mut StdRng,
    step: &Step,
) -> std::io::Result<Option<Duration>> {
    if step.has_silent_connections {
        for vm in OTHERS {
            cluster.vms.proxy_switch(vm).silence_open_connections();
        }
        sleep(CONTACT_TIME).await;
    }
    let successor = successor(cluster).await;
    let mut running = OTHERS.to_vec();
    if step.is_successor_paused {
        running.retain(|vm| *vm != successor);
    }
    let passed_on = faults::write_random_configuration(cluster, rng);
    if wait_until_in_force(cluster, &OTHERS, passed_on)
        .await
        .is_none()
    {
        return Ok(None);
    }
    sleep(step.delay).await;
    cluster.vms.signal(READER, step.signal);
    if step.is_successor_paused {
        cluster.vms.signal(successor, Signal::SIGSTOP);
    }
    let version = faults::write_random_configuration(cluster, rng);
    let elapsed = wait_until_in_force(cluster, &running, version).await;
    cluster.vms.signal(successor, Signal::SIGCONT);
    match step.signal {
        Signal::SIGKILL => {
            cluster.vms.kill(READER).await;
            cluster.vms.start(cluster, READER).await?;
            // The soak's faults overlap, so that a VM may be started twice.
            let pid = cluster.vms.pid(READER);
            cluster.vms.start(cluster, READER).await?;
            if cluster.vms.pid(READER) != pid {
                let violation = "the second start of a VM replaced its process".to_owned();
                cluster.checker.report_violation(violation);
            }
        }
        _ => cluster.vms.signal(READER, Signal::SIGCONT),
    }
    cluster.vms.wait_ready().await;
    // The VMs that took over step back, and their connections to the store become idle.
    sleep(CONTACT_TIME).await;
    Ok(elapsed)
}

/// Returns the VM of the second data centre that ranks first as its reader.
async fn successor(cluster: &Cluster) -> u8 {
    let rank = status_field(cluster, OTHERS[0], "rank").await;
    if rank == Some(0) {
        OTHERS[0]
    } else {
        OTHERS[1]
    }
}
