//! Probes one VM of the data centre in each period, directly and then through others.

use std::time::Duration;

use rand::seq::{IndexedRandom, SliceRandom};
use spdlog::warn;
use tokio::time::{Instant, sleep, timeout};

use super::View;
use crate::clock;
use crate::message::frame::Body;
use crate::message::{Ping, PingRequest};
use crate::prelude::*;

/// Time between two probes.
pub const PERIOD: Duration = Duration::from_millis(400);

/// Time allowed for a direct answer.
const DIRECT_TIMEOUT: Duration = Duration::from_millis(120);

/// Time allowed for an answer through others.
const INDIRECT_TIMEOUT: Duration = Duration::from_millis(240);

/// VMs asked to probe on this one's behalf.
const HELPERS: usize = 3;

/// Lateness of a timer that shows that this process was paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(600);

/// How often a joining VM greets the others.
const GREET_INTERVAL: Duration = Duration::from_millis(100);

/// Longest time a joining VM waits for VMs that are listed but do not answer. The others
/// may have to read the list first before they answer it.
const GREET_LIMIT: Duration = Duration::from_secs(3);

/// Times a VM tells all others that it has joined. Later ones would learn it from
/// rumours, but until then their view differs.
const JOIN_GREETINGS: usize = 4;

/// Greets the listed VMs of the data centre until all have answered or the limit is
/// over, then takes part in ownership.
///
/// A VM that owned flows without having heard of the others would take itself for the
/// only one and promise what it cannot keep.
pub async fn join(node: &Arc<Node>) {
    let deadline = Instant::now() + GREET_LIMIT;
    while Instant::now() < deadline && !node.members.has_seen_all_members() {
        announce(node);
        sleep(GREET_INTERVAL).await;
    }
    node.members.join();
    for _ in 0..JOIN_GREETINGS {
        announce(node);
        sleep(GREET_INTERVAL).await;
    }
}

/// Probes all VMs of the data centre once, to tell them of a change of this VM.
pub fn announce(node: &Node) {
    for vm in neighbours(&node.members.view()) {
        ping(node, vm, 0);
    }
}

/// Probes for the life of the node.
pub async fn run(node: Arc<Node>) {
    let mut round: Vec<id::Vm> = Vec::new();
    loop {
        let target = next_target(&node, &mut round);
        let started_ms = clock::monotonic_ms();
        let probe = async {
            match target {
                Some(target) => answers(&node, target).await,
                None => true,
            }
        };
        let (answered, ()) = tokio::join!(probe, sleep(PERIOD));
        let now_ms = clock::monotonic_ms();
        if was_paused(now_ms - started_ms) {
            warn!("event=process_paused elapsed_ms={}", now_ms - started_ms);
            node.members.restart_suspicions(now_ms);
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
    Duration::from_millis(elapsed_ms) > PERIOD + PAUSE_THRESHOLD
}

/// Returns the other VMs of this data centre, whatever their health: the dead are
/// probed too, so that they are found again.
fn neighbours(view: &View) -> Vec<id::Vm> {
    let mine = &view.data_centre;
    let others = view.members.iter();
    others
        .filter(|(_, member)| member.data_centre == *mine)
        .map(|(vm, _)| *vm)
        .collect()
}

/// Returns the next VM of a shuffled round; each VM is probed once a round.
fn next_target(node: &Node, round: &mut Vec<id::Vm>) -> Option<id::Vm> {
    if round.is_empty() {
        *round = neighbours(&node.members.view());
        round.shuffle(&mut rand::rng());
    }
    round.pop()
}

async fn answers(node: &Arc<Node>, target: id::Vm) -> bool {
    let (nonce, mut answer) = node.peers.expect_pong();
    ping(node, target, nonce);
    if timeout(DIRECT_TIMEOUT, &mut answer).await.is_ok() {
        return true;
    }
    let view = node.members.view();
    let others = view
        .owners
        .iter()
        .filter(|vm| **vm != target && **vm != view.me);
    let others: Vec<id::Vm> = others.copied().collect();
    for helper in others.sample(&mut rand::rng(), HELPERS) {
        let request = PingRequest {
            nonce,
            target: target.0,
        };
        node.peers.send(*helper, Body::PingRequest(request));
    }
    let answered = timeout(INDIRECT_TIMEOUT, answer).await.is_ok();
    node.peers.forget_pong(nonce);
    answered
}

/// Sends one Ping; nonce 0 expects no particular answer.
pub fn ping(node: &Node, vm: id::Vm, nonce: u64) {
    let body = Ping {
        nonce,
        release: node.releases.number(),
        vm_list: node.members.vm_list_version(),
        rumours: node.members.rumours_for(vm),
    };
    node.peers.send(vm, Body::Ping(body));
}
