//! Distributes releases between VMs: immediately along a tree, and by comparing release numbers
//! on every probe, which repairs losses in the tree.

use std::sync::atomic::Ordering;

use metrics::counter;
use rand::seq::IndexedRandom;
use spdlog::debug;

use crate::message::{ReleaseAnswer, ReleaseQuery};
use crate::prelude::*;

/// Number of VMs that each VM forwards a release to.
pub const FANOUT: usize = 4;

/// Offers the releases after `number_before` to this VM's children in the distribution tree,
/// without waiting for their answers.
pub async fn distribute(node: &Arc<Node>, number_before: u64) {
    let Some(answer) = node.releases.changes_since(number_before) else {
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

/// Applies the releases and the VM list of another VM and distributes new releases.
pub async fn apply_answer(node: &Arc<Node>, answer: ReleaseAnswer) {
    if let Some(list) = &answer.vms {
        node.members.apply_vm_list(list);
    }
    let number_before = node.releases.number();
    if node.releases.apply_answer(&answer) {
        distribute(node, number_before).await;
    }
}

/// Pulls from a VM in the background if its release number or VM list version is higher than
/// this VM's. Does nothing while another such pull is in progress.
pub fn pull_if_behind(node: &Arc<Node>, vm: id::Vm, release: u64, vm_list: u64) {
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

/// Requests the releases and the VM list that this VM lacks from another VM; returns whether it
/// answered.
pub async fn pull(node: &Arc<Node>, vm: id::Vm) -> bool {
    let query = ReleaseQuery {
        after: node.releases.number(),
        vm_list: node.members.vm_list_version(),
    };
    counter!("ragwortbeam_releases_pulled_total").increment(1);
    match node.peers.links.releases(vm, query).await {
        Ok(answer) => {
            apply_answer(node, answer).await;
            true
        }
        Err(error) => {
            debug!("event=release_pull_failed vm={vm} error=\"{error}\"");
            false
        }
    }
}

/// Requests the first configuration from the seeds in the settings; returns whether one had it.
pub async fn pull_from_seeds(node: &Arc<Node>) -> bool {
    for seed in &node.settings.seeds {
        let links = &node.peers.links;
        match links.releases_at(*seed, ReleaseQuery::default()).await {
            Ok(answer) => apply_answer(node, answer).await,
            Err(error) => debug!("event=release_pull_failed seed={seed} error=\"{error}\""),
        }
        if node.releases.number() > 0 {
            return true;
        }
    }
    false
}

/// Pulls from a random VM of another data centre, for use when the platform does not answer.
pub async fn pull_from_other_data_centre(node: &Arc<Node>) {
    let view = node.members.view();
    let remote_vms: Vec<id::Vm> = view
        .members
        .iter()
        .filter(|(_, member)| member.data_centre != view.data_centre)
        .map(|(vm, _)| *vm)
        .collect();
    let selected = remote_vms.choose(&mut rand::rng()).copied();
    if let Some(vm) = selected {
        pull(node, vm).await;
    }
}
