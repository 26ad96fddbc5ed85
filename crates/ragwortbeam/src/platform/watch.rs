//! Keeps the release and the VM list up to date.
//!
//! A few VMs of each data centre, the readers, watch the platform. The other VMs get changes from
//! their peers and read the platform only at a long interval, as a fallback.

use std::sync::atomic::Ordering;
use std::time::Duration;

use metrics::counter;
use rand::RngExt;
use spdlog::warn;
use tokio::time::sleep;

use crate::errors::Result;
use crate::peer;
use crate::prelude::*;

/// Number of VMs of a data centre that watch the platform.
const READERS_PER_DATA_CENTRE: usize = 2;

/// Time that one watch request waits for new notes before it returns without any. A connection that
/// has gone silent is detected only after this time and that for the response; with the retry this
/// has to stay below the four seconds in which a release has to be in force.
const WATCH_WAIT: Duration = Duration::from_secs(1);

/// Delay between two reads of the VM list by a reader.
const LIST_INTERVAL: Duration = Duration::from_secs(1);

/// Mean delay between two reads by a VM that is not a reader, in a data centre of up to
/// [`FALLBACK_VMS`] VMs. In a larger one the delay grows with the number of VMs, so that the data
/// centre's total rate of reads does not.
const FALLBACK_INTERVAL: Duration = Duration::from_secs(30);

/// Number of VMs of a data centre above which the delay between fallback reads grows.
const FALLBACK_VMS: u32 = 32;

/// Interval at which a VM checks whether it has become a reader.
const READER_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum delay after a failed read; the delay is random, at least half of this.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Reads releases and the VM list as a reader or as a fallback, until the process ends.
pub async fn run(node: Arc<Node>) {
    tokio::join!(
        watch_releases(&node),
        watch_list(&node),
        poll_as_fallback(&node)
    );
}

/// Reads the VM list and the snapshot once from the platform.
///
/// # Errors
///
/// [`Error::Platform`] if a read fails; the VM list may have been applied nevertheless.
pub async fn read_all(node: &Arc<Node>) -> Result<()> {
    read_list(node).await?;
    read_snapshot(node).await
}

/// Reads the VM list in the background, ahead of the next regular read; called when a frame
/// suggests that the list is outdated.
///
/// Does nothing while such a read is in progress and for 1 s after it.
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
        .is_some_and(|position| position < READERS_PER_DATA_CENTRE)
}

async fn watch_releases(node: &Arc<Node>) {
    let mut has_failed = false;
    loop {
        if !is_reader(node) {
            sleep(READER_CHECK_INTERVAL).await;
            continue;
        }
        // A first failure may be that of the connection, so the notes are read at once on a new one.
        let wait = if has_failed {
            Duration::ZERO
        } else {
            WATCH_WAIT
        };
        match read_notes(node, wait).await {
            Ok(()) => has_failed = false,
            Err(error) => {
                warn!("event=platform_read_failed error=\"{error}\"");
                if has_failed {
                    peer::releases::pull_from_other_data_centre(node).await;
                    sleep(with_jitter(MAX_RETRY_DELAY)).await;
                }
                has_failed = true;
            }
        }
    }
}

async fn watch_list(node: &Arc<Node>) {
    loop {
        if is_reader(node) && read_list(node).await.is_err() {
            sleep(with_jitter(MAX_RETRY_DELAY)).await;
        }
        sleep(LIST_INTERVAL).await;
    }
}

async fn poll_as_fallback(node: &Arc<Node>) {
    loop {
        sleep(fallback_delay(node)).await;
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

fn fallback_delay(node: &Node) -> Duration {
    let owners = node.members.view().owners.len() as u32;
    let mean_delay = FALLBACK_INTERVAL * owners.max(FALLBACK_VMS) / FALLBACK_VMS;
    // The jitter reduces the mean by a quarter.
    with_jitter(mean_delay * 4 / 3)
}

async fn read_notes(node: &Arc<Node>, wait: Duration) -> Result<()> {
    let after = node.releases.number();
    count_read("notes");
    match node.platform.notes(after, wait).await? {
        Some(notes) => {
            if node.releases.apply_notes(&notes.notes) {
                peer::releases::distribute(node, after).await;
            }
            Ok(())
        }
        None => read_snapshot(node).await,
    }
}

async fn read_snapshot(node: &Arc<Node>) -> Result<()> {
    let number_before = node.releases.number();
    count_read("snapshot");
    let snapshot = node.platform.snapshot().await?;
    if node.releases.install_snapshot(&snapshot) {
        peer::releases::distribute(node, number_before).await;
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

/// Returns a random duration between half of `interval` and all of it.
fn with_jitter(interval: Duration) -> Duration {
    interval.mul_f64(rand::rng().random_range(0.5..1.0))
}
