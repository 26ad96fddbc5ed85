//! Heartbeats: this VM's load to its hubs, and signs of life to others.

use std::net::Ipv4Addr;

use prost::Message;
use spdlog::warn;
use tokio::time::sleep;

use super::{Link, columns};
use crate::load::Loads;
use crate::message::{self, Beat, frame};
use crate::prelude::*;

/// Hubs that a VM reports to, so that the loss of one costs nothing.
pub(super) const HUBS: usize = 2;

/// Pause between two heartbeats to the first hub in a data centre of up to
/// [`FULL_RATE_VMS`]: about the time of one request, so that counts are fresh when it ends.
const BEAT_INTERVAL: Duration = Duration::from_millis(50);

/// VMs of a data centre above which heartbeats are spaced out, so that a hub's work stays
/// constant.
const FULL_RATE_VMS: u32 = 40;

/// Heartbeats to the second hub, each this many of those to the first: it only has to be
/// able to take over.
const STANDBY_EVERY: u64 = 4;

/// Loads of other data centres' endpoints are asked for in each this many heartbeats: only
/// flows that leave a full data centre need them.
const WHOLE_EVERY: u64 = 8;

/// Heartbeats between hubs of different data centres, each this many of the others.
const FOREIGN_EVERY: u64 = 5;

/// Member lists are asked for in each this many heartbeats, which is every two seconds.
const MEMBERS_EVERY: u64 = 40;

/// VMs that are down are probed in each this many heartbeats, twice a second.
const PROBE_EVERY: u64 = 10;

/// VMs that are down and probed at a time.
const MAX_PROBES: usize = 4;

/// Bytes a second of heartbeats to the first hub and its answers: three quarters of what a
/// VM may use for control.
const BUDGET_PER_S: u64 = 6000;

/// Bytes that the network adds to a datagram.
const DATAGRAM_OVERHEAD: usize = 28;

/// Longest pause for the budget's sake; hubs forget reports that are twice as old.
const MAX_INTERVAL: Duration = Duration::from_millis(500);

/// What a heartbeat asks for.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Asks {
    /// Members.
    members: bool,
    /// Loads of all data centres.
    whole: bool,
}

impl Asks {
    const MEMBERS: Self = Self {
        members: true,
        whole: false,
    };
}

/// What the heartbeats to the first hub cost, and how far apart that puts them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    beat_len: usize,
    digest_len: usize,
}

impl Pace {
    /// Notes the length of a heartbeat to the first hub, bytes.
    pub fn note_beat(&mut self, len: usize) {
        self.beat_len = len + DATAGRAM_OVERHEAD;
    }

    /// Notes the length of a hub's answer, bytes.
    pub fn note_digest(&mut self, len: usize) {
        self.digest_len = len + DATAGRAM_OVERHEAD;
    }

    /// Returns the pause to the next heartbeat in a data centre of `size` VMs.
    pub fn interval(&self, size: usize) -> Duration {
        let shared = BEAT_INTERVAL * (size as u32).max(FULL_RATE_VMS) / FULL_RATE_VMS;
        let exchange = (self.beat_len + self.digest_len) as u64;
        let affordable = Duration::from_micros(exchange * 1_000_000 / BUDGET_PER_S);
        shared.max(affordable.min(MAX_INTERVAL))
    }
}

impl Link {
    /// Sends a heartbeat with this VM's load.
    fn send_report(&self, receivers: &[Ipv4Addr], asks: Asks, loads: Loads, now: Moment) {
        let mut reported = self.reported.lock().unwrap();
        let is_partial = !asks.whole;
        let loads = if is_partial {
            columns::tagged(&changed(&reported, loads))
        } else {
            *reported = loads;
            columns::tagged(&reported)
        };
        drop(reported);
        let len = self.send_loads(receivers, asks, loads, is_partial, now);
        self.pace.lock().unwrap().note_beat(len);
    }

    /// Sends a heartbeat without a load.
    pub(super) fn send_beat(&self, receivers: &[Ipv4Addr], asks: Asks, now: Moment) {
        self.send_loads(receivers, asks, message::Loads::default(), true, now);
    }

    /// Returns the length of one heartbeat, bytes.
    fn send_loads(
        &self,
        receivers: &[Ipv4Addr],
        asks: Asks,
        loads: message::Loads,
        is_partial: bool,
        now: Moment,
    ) -> usize {
        if receivers.is_empty() {
            return 0;
        }
        let beat = Beat {
            wants_members: asks.members,
            wants_whole: asks.whole,
            loads: Some(loads),
            is_partial,
            subset_check: self.own_subset(now).checksum(),
        };
        let frame = self.frame(frame::Body::Beat(beat), now);
        for receiver in receivers {
            self.members.lock().unwrap().note_sent(*receiver);
            self.send(*receiver, &frame);
        }
        frame.encoded_len()
    }

    /// Takes this VM's own load into its sums, and the sums into its board; returns the load.
    fn take_own(&self, now: Moment) -> Loads {
        let me = self.members.lock().unwrap().ip();
        let subset = self.own_subset(now);
        let catalog = self.catalog.lock().unwrap();
        let mut board = self.board.lock().unwrap();
        let mut sums = self.sums.lock().unwrap();
        let own = board.local_loads(&catalog, now);
        sums.take_local(me, own.clone(), false, now);
        let tags = subset.tags(true);
        let (reports, contributors) = sums.without(me, tags, now);
        let loads = tags.iter().copied().zip(reports).collect();
        board.apply_report(me, contributors, loads, false, now);
        own
    }
}

/// Returns what differs from the last whole report.
fn changed(reported: &Loads, mut loads: Loads) -> Loads {
    for tag in reported.keys() {
        loads.entry(*tag).or_default();
    }
    loads.retain(|tag, load| reported.get(tag) != Some(load));
    loads
}

/// Sends heartbeats for the life of the process.
pub async fn beat(link: Arc<Link>) {
    // The first write after binding fails until the runtime knows the socket as writable.
    if let Err(error) = link.socket.writable().await {
        warn!("event=peer_socket_failed error=\"{error}\"");
    }
    let mut count: u64 = 0;
    loop {
        let now = Moment::now();
        let own = link.take_own(now);
        let (has_company, size, rank) = {
            let members = link.members.lock().unwrap();
            (
                members.has_company(now),
                members.size(now),
                members.rank(now),
            )
        };
        let asks = Asks {
            members: count.is_multiple_of(MEMBERS_EVERY) || !has_company,
            whole: count.is_multiple_of(WHOLE_EVERY),
        };
        let is_standby_due = asks.members || count.is_multiple_of(STANDBY_EVERY);
        let hub_count = if is_standby_due { HUBS } else { 1 };
        let hubs = link.members.lock().unwrap().hubs(hub_count, now);
        link.send_report(&hubs, asks, own, now);
        if rank < HUBS && count.is_multiple_of(FOREIGN_EVERY) {
            let hubs = link.members.lock().unwrap().foreign_hubs(now);
            link.send_beat(&hubs, asks, now);
        }
        if !has_company {
            let me = link.members.lock().unwrap().ip();
            let mut seeds = link.seeds.lock().unwrap().clone();
            seeds.retain(|seed| *seed != me);
            link.send_beat(&seeds, Asks::MEMBERS, now);
        } else if rank < HUBS && count.is_multiple_of(PROBE_EVERY) {
            probe(&link, count, now);
        }
        count += 1;
        let interval = link.pace.lock().unwrap().interval(size);
        sleep(interval).await;
    }
}

/// Sends heartbeats to some VMs that are down, in turn, and drops what is held of them.
fn probe(link: &Arc<Link>, count: u64, now: Moment) {
    let reporters = link.sums.lock().unwrap().reporters(now);
    link.subsets.lock().unwrap().retain(&reporters);
    let mut lost = {
        let mut members = link.members.lock().unwrap();
        members.forget(now);
        members.lost(now)
    };
    lost.sort();
    if !lost.is_empty() {
        let turn = (count / PROBE_EVERY) as usize * MAX_PROBES % lost.len();
        lost.rotate_left(turn);
        lost.truncate(MAX_PROBES);
    }
    link.send_beat(&lost, Asks::MEMBERS, now);
}
