//! Spreads releases between VMs: at once along a tree, and by comparison of numbers on
//! every probe for what the tree missed.

use std::sync::atomic::Ordering;

use metrics::counter;
use rand::seq::IndexedRandom;
use spdlog::debug;

use crate::message::{ReleaseAnswer, ReleaseQuery};
use crate::prelude::*;

/// VMs that each VM passes a release on to.
pub const FANOUT: usize = 4;

/// Passes on what came after release `before`, without waiting for the receivers.
pub async fn spread(node: &Arc<Node>, before: u64) {
    let Some(answer) = node.releases.since(before) else {
        return;
    };
    for vm in node.members.view().distribution_children(FANOUT) {
        let node = node.clone();
        let answer = answer.clone();
        tokio::spawn(async move {
            counter!("ragwortbeam_releases_offered_total").increment(1);
            if let Err(error) = node.peers.links.offer(vm, answer).await {
                debug!("event=release_offer_failed vm={vm} error=\"{error}\"");
            }
        });
    }
}

/// Takes releases from another VM and passes them on.
pub async fn take(node: &Arc<Node>, answer: ReleaseAnswer) {
    if let Some(list) = &answer.vms {
        node.members.apply_vm_list(list);
    }
    let before = node.releases.number();
    if node.releases.take_answer(&answer) {
        spread(node, before).await;
    }
}

/// Asks a VM for releases when its numbers are higher than this VM's.
pub fn compare(node: &Arc<Node>, vm: id::Vm, release: u64, vm_list: u64) {
    let lacks_release = release > node.releases.number();
    let lacks_list = vm_list > node.members.vm_list_version();
    if !lacks_release && !lacks_list {
        return;
    }
    if node.is_pulling.swap(true, Ordering::AcqRel) {
        return;
    }
    let node = node.clone();
    tokio::spawn(async move {
        pull(&node, vm).await;
        node.is_pulling.store(false, Ordering::Release);
    });
}

/// Asks one VM for what this one lacks; returns whether it answered.
pub async fn pull(node: &Arc<Node>, vm: id::Vm) -> bool {
    let query = ReleaseQuery {
        after: node.releases.number(),
        vm_list: node.members.vm_list_version(),
    };
    counter!("ragwortbeam_releases_pulled_total").increment(1);
    match node.peers.links.releases(vm, query).await {
        Ok(answer) => {
            take(node, answer).await;
            true
        }
        Err(error) => {
            debug!("event=release_pull_failed vm={vm} error=\"{error}\"");
            false
        }
    }
}

/// Asks the VMs of the settings for the first configuration; returns whether one had it.
pub async fn pull_from_seeds(node: &Arc<Node>) -> bool {
    for seed in &node.settings.seeds {
        let links = &node.peers.links;
        match links.releases_at(*seed, ReleaseQuery::default()).await {
            Ok(answer) => take(node, answer).await,
            Err(error) => debug!("event=release_pull_failed seed={seed} error=\"{error}\""),
        }
        if node.releases.number() > 0 {
            return true;
        }
    }
    false
}

/// Asks a VM of another data centre, when the platform does not answer here.
pub async fn pull_from_elsewhere(node: &Arc<Node>) {
    let view = node.members.view();
    let others: Vec<id::Vm> = view
        .members
        .iter()
        .filter(|(_, member)| member.data_centre != view.data_centre)
        .map(|(vm, _)| *vm)
        .collect();
    let chosen = others.choose(&mut rand::rng()).copied();
    if let Some(vm) = chosen {
        pull(node, vm).await;
    }
}
