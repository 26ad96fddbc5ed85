//! Failure detection: probes one VM of the data centre in each period, directly and then
//! indirectly through other VMs.

use std::time::Duration;

use rand::seq::{IndexedRandom, SliceRandom};
use spdlog::warn;
use tokio::time::{Instant, sleep, timeout};

use super::View;
use crate::clock;
use crate::message::frame::Body;
use crate::message::{Ping, PingRequest};
use crate::prelude::*;

/// Time between the starts of two probes.
pub const PROBE_PERIOD: Duration = Duration::from_millis(400);

/// Longest wait for the answer to a direct probe.
const DIRECT_TIMEOUT: Duration = Duration::from_millis(120);

/// Longest wait for the answer to indirect probes.
const INDIRECT_TIMEOUT: Duration = Duration::from_millis(240);

/// Number of VMs that are asked for an indirect probe.
const INDIRECT_PROBES: usize = 3;

/// Delay of a timer beyond which this process is assumed to have been paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(600);

/// Interval at which a joining VM announces itself.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(100);

/// Longest time that a joining VM waits for listed VMs that do not answer. They may have to
/// read the VM list before they answer a VM that is new to them.
const JOIN_TIMEOUT: Duration = Duration::from_secs(3);

/// Number of times that a VM announces to all others that it has joined. Those that miss it
/// learn of it by rumours, but their views differ until then.
const JOIN_ANNOUNCEMENTS: usize = 4;

/// Announces this VM to the listed VMs of the data centre until all have answered or a timeout
/// expires, then joins the owners.
///
/// A VM that owned flows before it knew of the others would consider itself the only owner and
/// could run a non-idempotent request that another VM runs too.
pub async fn join(node: &Arc<Node>) {
    let deadline = Instant::now() + JOIN_TIMEOUT;
    while Instant::now() < deadline && !node.members.has_seen_all_members() {
        announce(node);
        sleep(ANNOUNCE_INTERVAL).await;
    }
    node.members.join();
    for _ in 0..JOIN_ANNOUNCEMENTS {
        announce(node);
        sleep(ANNOUNCE_INTERVAL).await;
    }
}

/// Pings all other VMs of the data centre once, to announce this VM's health.
pub fn announce(node: &Node) {
    for vm in data_centre_vms(&node.members.view()) {
        ping(node, vm, 0);
    }
}

/// Probes one VM in each period, for the life of the node.
pub async fn run(node: Arc<Node>) {
    let mut round: Vec<id::Vm> = Vec::new();
    loop {
        let target = next_target(&node, &mut round);
        let started_ms = clock::monotonic_ms();
        let probe = async {
            match target {
                Some(target) => responds(&node, target).await,
                None => true,
            }
        };
        let (answered, ()) = tokio::join!(probe, sleep(PROBE_PERIOD));
        let now_ms = clock::monotonic_ms();
        if was_paused(now_ms - started_ms) {
            warn!("event=process_paused elapsed_ms={}", now_ms - started_ms);
            node.members.restart_suspicion_timeouts(now_ms);
            continue;
        }
        if let Some(target) = target
            && !answered
        {
            node.members.suspect(target, now_ms);
        }
        node.members.expire_suspects(now_ms);
    }
}

fn was_paused(elapsed_ms: u64) -> bool {
    Duration::from_millis(elapsed_ms) > PROBE_PERIOD + PAUSE_THRESHOLD
}

/// Returns the other VMs of this data centre, whatever their health. Dead ones are probed too,
/// so that a VM that was wrongly declared dead can refute it.
fn data_centre_vms(view: &View) -> Vec<id::Vm> {
    let data_centre = &view.data_centre;
    let others = view.members.iter();
    others
        .filter(|(_, member)| member.data_centre == *data_centre)
        .map(|(vm, _)| *vm)
        .collect()
}

/// Returns the next VM to probe; each VM is probed once in a round, and each round is shuffled.
fn next_target(node: &Node, round: &mut Vec<id::Vm>) -> Option<id::Vm> {
    if round.is_empty() {
        *round = data_centre_vms(&node.members.view());
        round.shuffle(&mut rand::rng());
    }
    round.pop()
}

/// Returns whether a VM answers a direct probe or, after that has timed out, indirect ones.
async fn responds(node: &Arc<Node>, target: id::Vm) -> bool {
    let (nonce, mut answer) = node.peers.expect_pong();
    ping(node, target, nonce);
    if timeout(DIRECT_TIMEOUT, &mut answer).await.is_ok() {
        return true;
    }
    let view = node.members.view();
    let others = view
        .owners
        .iter()
        .filter(|vm| **vm != target && **vm != view.local_vm);
    let others: Vec<id::Vm> = others.copied().collect();
    for relay in others.sample(&mut rand::rng(), INDIRECT_PROBES) {
        let request = PingRequest {
            nonce,
            target: target.0,
        };
        node.peers.send(*relay, Body::PingRequest(request));
    }
    let answered = timeout(INDIRECT_TIMEOUT, answer).await.is_ok();
    node.peers.forget_pong(nonce);
    answered
}

/// Sends one Ping; with nonce 0, no Pong is awaited.
pub fn ping(node: &Node, vm: id::Vm, nonce: u64) {
    let body = Ping {
        nonce,
        release: node.releases.number(),
        vm_list: node.members.vm_list_version(),
        rumours: node.members.rumours_for(vm),
    };
    node.peers.send(vm, Body::Ping(body));
}
