//! Keeps release and VM list current: readers watch the platform, the others rely on
//! peers and read only as a slow fallback.

use std::sync::atomic::Ordering;
use std::time::Duration;

use metrics::counter;
use rand::RngExt;
use spdlog::warn;
use tokio::time::sleep;

use crate::errors::Result;
use crate::peer;
use crate::prelude::*;

/// VMs of a data centre that watch the platform.
const READERS: usize = 2;

/// Longest wait of one watch.
const WATCH_WAIT: Duration = Duration::from_secs(10);

/// Pause between two reads of the VM list by a reader.
const LIST_INTERVAL: Duration = Duration::from_secs(1);

/// Mean pause between two reads by a VM that is no reader, in a data centre of up to
/// [`FALLBACK_VMS`]; in a larger one it grows with the number of VMs, so that the data
/// centre's reads do not.
const FALLBACK_INTERVAL: Duration = Duration::from_secs(30);

/// VMs of a data centre above which their fallback reads are spaced out.
const FALLBACK_VMS: u32 = 32;

/// How often a VM looks whether it has become a reader.
const ROLE_INTERVAL: Duration = Duration::from_millis(250);

/// Pause after a failed read; randomised between half and all of it.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Runs for the life of the node.
pub async fn run(node: Arc<Node>) {
    tokio::join!(watch_releases(&node), watch_list(&node), fall_back(&node));
}

/// Reads VM list and snapshot once from the platform.
///
/// # Errors
///
/// The platform's error; the list may have been taken before it.
pub async fn read_all(node: &Arc<Node>) -> Result<()> {
    read_list(node).await?;
    read_snapshot(node).await
}

/// Reads the VM list outside of the usual interval, after a sign that it is outdated;
/// at most once in [`LIST_INTERVAL`].
pub fn refresh_list(node: &Arc<Node>) {
    if node.is_refreshing_list.swap(true, Ordering::AcqRel) {
        return;
    }
    let node = node.clone();
    tokio::spawn(async move {
        if let Err(error) = read_list(&node).await {
            warn!("event=platform_read_failed error=\"{error}\"");
        }
        sleep(LIST_INTERVAL).await;
        node.is_refreshing_list.store(false, Ordering::Release);
    });
}

fn is_reader(node: &Node) -> bool {
    let view = node.members.view();
    view.distribution_position()
        .is_some_and(|position| position < READERS)
}

async fn watch_releases(node: &Arc<Node>) {
    loop {
        if !is_reader(node) {
            sleep(ROLE_INTERVAL).await;
            continue;
        }
        if let Err(error) = read_notes(node, WATCH_WAIT).await {
            warn!("event=platform_read_failed error=\"{error}\"");
            peer::releases::pull_from_elsewhere(node).await;
            sleep(randomised(RETRY_INTERVAL)).await;
        }
    }
}

async fn watch_list(node: &Arc<Node>) {
    loop {
        if is_reader(node) && read_list(node).await.is_err() {
            sleep(randomised(RETRY_INTERVAL)).await;
        }
        sleep(LIST_INTERVAL).await;
    }
}

async fn fall_back(node: &Arc<Node>) {
    loop {
        sleep(fallback_pause(node)).await;
        if is_reader(node) {
            continue;
        }
        let read = async {
            read_list(node).await?;
            read_notes(node, Duration::ZERO).await
        };
        if let Err(error) = read.await {
            warn!("event=platform_read_failed error=\"{error}\"");
        }
    }
}

fn fallback_pause(node: &Node) -> Duration {
    let owners = node.members.view().owners.len() as u32;
    let mean = FALLBACK_INTERVAL * owners.max(FALLBACK_VMS) / FALLBACK_VMS;
    // Randomising takes a quarter off the mean.
    randomised(mean * 4 / 3)
}

async fn read_notes(node: &Arc<Node>, wait: Duration) -> Result<()> {
    let after = node.releases.number();
    count_read("notes");
    match node.platform.notes(after, wait).await? {
        Some(notes) => {
            if node.releases.take_notes(&notes.notes) {
                peer::releases::spread(node, after).await;
            }
            Ok(())
        }
        None => read_snapshot(node).await,
    }
}

async fn read_snapshot(node: &Arc<Node>) -> Result<()> {
    let before = node.releases.number();
    count_read("snapshot");
    let snapshot = node.platform.snapshot().await?;
    if node.releases.take_snapshot(&snapshot) {
        peer::releases::spread(node, before).await;
    }
    Ok(())
}

async fn read_list(node: &Arc<Node>) -> Result<()> {
    count_read("vms");
    let list = node.platform.vms().await?;
    node.members.apply_vm_list(&list);
    Ok(())
}

fn count_read(document: &'static str) {
    counter!("ragwortbeam_platform_reads_total", "document" => document).increment(1);
}

/// Returns between half and all of `interval`.
fn randomised(interval: Duration) -> Duration {
    interval.mul_f64(rand::rng().random_range(0.5..1.0))
}
