//! Heartbeats: load reports to this VM's hubs, and liveness signals to other VMs.

use std::net::Ipv4Addr;

use prost::Message;
use spdlog::warn;
use tokio::time::sleep;

use super::{PeerLink, columns};
use crate::load::Loads;
use crate::message::{self, Beat, frame};
use crate::prelude::*;

/// Number of hubs that a VM reports to; with two, the loss of one has no effect.
pub(super) const HUBS_PER_VM: usize = 2;

/// Interval between heartbeats to the first hub in a data centre of up to
/// [`FULL_RATE_VMS`]. It is about the duration of one request, so that the load counts are
/// fresh when the request ends.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);

/// Number of VMs in a data centre above which the heartbeat interval grows in proportion, so
/// that the work of a hub stays constant.
const FULL_RATE_VMS: u32 = 40;

/// Number of heartbeats to the first hub per heartbeat to the second one, which only has to
/// be able to take over.
const STANDBY_EVERY_HEARTBEATS: u64 = 4;

/// Number of heartbeats per request for the loads of all data centres' endpoints. Only flows
/// that leave a fully loaded data centre need the remote ones.
const ALL_LOADS_EVERY_HEARTBEATS: u64 = 8;

/// Number of heartbeat rounds after which a hub also sends a heartbeat to the hubs of remote data
/// centres.
const REMOTE_HUBS_EVERY_HEARTBEATS: u64 = 5;

/// Number of heartbeats per request for the member list, which makes one every two seconds at
/// the shortest interval.
const MEMBERS_EVERY_HEARTBEATS: u64 = 40;

/// Number of heartbeat rounds after which a hub probes VMs that are down, which is twice a second
/// at the shortest interval.
const PROBE_EVERY_HEARTBEATS: u64 = 10;

/// Maximum number of down VMs per probe.
const MAX_PROBED_VMS: usize = 4;

/// Budget for heartbeats to the first hub and its answers, bytes per second: three quarters
/// of a VM's allowance for control traffic.
const HEARTBEAT_BUDGET_BYTES_PER_S: u64 = 6000;

/// Length of the IPv4 and UDP headers of a datagram, bytes.
const DATAGRAM_OVERHEAD_BYTES: usize = 28;

/// Upper limit of the interval that results from the byte budget. Hubs drop reports that are twice
/// as old.
const MAX_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Contents that a heartbeat requests for the answer.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct HeartbeatOptions {
    /// Requests the member list.
    wants_members: bool,
    /// Requests the loads of all data centres' endpoints, not only the local ones.
    wants_whole: bool,
}

impl HeartbeatOptions {
    const MEMBERS_ONLY: Self = Self {
        wants_members: true,
        wants_whole: false,
    };
}

/// Heartbeat interval, derived from the size of the data centre and the bytes per exchange
/// with the first hub.
#[derive(Clone, Copy, Debug, Default)]
pub struct HeartbeatPacing {
    heartbeat_bytes: usize,
    digest_bytes: usize,
}

impl HeartbeatPacing {
    /// Records the encoded length of a heartbeat to the first hub, bytes.
    pub fn record_heartbeat_len(&mut self, len: usize) {
        self.heartbeat_bytes = len + DATAGRAM_OVERHEAD_BYTES;
    }

    /// Records the encoded length of a hub's answer, bytes.
    pub fn record_digest_len(&mut self, len: usize) {
        self.digest_bytes = len + DATAGRAM_OVERHEAD_BYTES;
    }

    /// Returns the time until the next heartbeat in a data centre of `vm_count` live VMs.
    pub fn interval(&self, vm_count: usize) -> Duration {
        let hub_interval =
            MIN_HEARTBEAT_INTERVAL * (vm_count as u32).max(FULL_RATE_VMS) / FULL_RATE_VMS;
        let exchange_bytes = (self.heartbeat_bytes + self.digest_bytes) as u64;
        let budget_interval =
            Duration::from_micros(exchange_bytes * 1_000_000 / HEARTBEAT_BUDGET_BYTES_PER_S);
        hub_interval.max(budget_interval.min(MAX_HEARTBEAT_INTERVAL))
    }
}

impl PeerLink {
    /// Sends a heartbeat with this VM's load: the full load if the loads of all data centres
    /// are requested, else the changes since the last full report.
    fn send_load_report(
        &self,
        receivers: &[Ipv4Addr],
        options: HeartbeatOptions,
        loads: Loads,
        now: Moment,
    ) {
        let mut last_full_report = self.last_full_report.lock().unwrap();
        let is_partial = !options.wants_whole;
        let loads = if is_partial {
            columns::encode_with_tags(&changes_since(&last_full_report, loads))
        } else {
            *last_full_report = loads;
            columns::encode_with_tags(&last_full_report)
        };
        drop(last_full_report);
        let len = self.send_heartbeat_with_loads(receivers, options, loads, is_partial, now);
        self.pacing.lock().unwrap().record_heartbeat_len(len);
    }

    /// Sends a heartbeat without load.
    pub(super) fn send_heartbeat(
        &self,
        receivers: &[Ipv4Addr],
        options: HeartbeatOptions,
        now: Moment,
    ) {
        self.send_heartbeat_with_loads(receivers, options, message::Loads::default(), true, now);
    }

    /// Sends a heartbeat to all receivers; returns its encoded length in bytes, 0 without
    /// receivers.
    fn send_heartbeat_with_loads(
        &self,
        receivers: &[Ipv4Addr],
        options: HeartbeatOptions,
        loads: message::Loads,
        is_partial: bool,
        now: Moment,
    ) -> usize {
        if receivers.is_empty() {
            return 0;
        }
        let beat = Beat {
            wants_members: options.wants_members,
            wants_whole: options.wants_whole,
            loads: Some(loads),
            is_partial,
            subset_check: self.own_subset(now).checksum(),
        };
        let frame = self.build_frame(frame::Body::Beat(beat), now);
        for receiver in receivers {
            self.members
                .lock()
                .unwrap()
                .record_heartbeat_sent(*receiver);
            self.send(*receiver, &frame);
        }
        frame.encoded_len()
    }

    /// Records this VM's own loads in the aggregate, and the aggregate of the other VMs in the
    /// endpoint loads; returns the own loads.
    fn refresh_own_loads(&self, now: Moment) -> Loads {
        let own_ip = self.members.lock().unwrap().ip();
        let subset = self.own_subset(now);
        let catalog = self.catalog.lock().unwrap();
        let mut endpoint_loads = self.endpoint_loads.lock().unwrap();
        let mut aggregate = self.aggregate.lock().unwrap();
        let own_loads = endpoint_loads.local_loads(&catalog, now);
        aggregate.record_vm_report(own_ip, own_loads.clone(), false, now);
        let tags = subset.tags(true);
        let (other_loads, contributors) = aggregate.loads_excluding(own_ip, tags, now);
        let loads = tags.iter().copied().zip(other_loads).collect();
        endpoint_loads.apply_report(own_ip, contributors, loads, false, now);
        own_loads
    }
}

/// Returns the entries that differ from the last full report; an entry that is missing now is
/// returned as zero.
fn changes_since(last_full_report: &Loads, mut loads: Loads) -> Loads {
    for tag in last_full_report.keys() {
        loads.entry(*tag).or_default();
    }
    loads.retain(|tag, load| last_full_report.get(tag) != Some(load));
    loads
}

/// Sends heartbeats until the process ends.
pub async fn send_heartbeats(link: Arc<PeerLink>) {
    // The first write after binding fails until the runtime has registered the socket as
    // writable.
    if let Err(error) = link.socket.writable().await {
        warn!("event=peer_socket_failed error=\"{error}\"");
    }
    let mut count: u64 = 0;
    loop {
        let now = Moment::now();
        let own_loads = link.refresh_own_loads(now);
        let pacing = *link.pacing.lock().unwrap();
        let (has_live_peer, vm_count, rank) = {
            let members = link.members.lock().unwrap();
            (
                members.has_live_peer(now),
                members.local_vm_count(now),
                members.rank(now),
            )
        };
        let interval = pacing.interval(vm_count);
        let silent_vms = link.update_rotation(interval, now);
        link.send_heartbeat(&silent_vms, HeartbeatOptions::default(), now);
        let options = HeartbeatOptions {
            wants_members: count.is_multiple_of(MEMBERS_EVERY_HEARTBEATS) || !has_live_peer,
            wants_whole: count.is_multiple_of(ALL_LOADS_EVERY_HEARTBEATS),
        };
        let is_standby_due =
            options.wants_members || count.is_multiple_of(STANDBY_EVERY_HEARTBEATS);
        let hub_count = if is_standby_due { HUBS_PER_VM } else { 1 };
        let hubs = link.members.lock().unwrap().hubs(hub_count, now);
        link.send_load_report(&hubs, options, own_loads, now);
        if rank < HUBS_PER_VM && count.is_multiple_of(REMOTE_HUBS_EVERY_HEARTBEATS) {
            let hubs = link.members.lock().unwrap().remote_hubs(now);
            link.send_heartbeat(&hubs, options, now);
        }
        if !has_live_peer {
            let own_ip = link.members.lock().unwrap().ip();
            let mut seeds = link.seeds.lock().unwrap().clone();
            seeds.retain(|seed| *seed != own_ip);
            link.send_heartbeat(&seeds, HeartbeatOptions::MEMBERS_ONLY, now);
        } else if rank < HUBS_PER_VM && count.is_multiple_of(PROBE_EVERY_HEARTBEATS) {
            probe_down_vms(&link, count, now);
        }
        count += 1;
        sleep(interval).await;
    }
}

/// Probes up to [`MAX_PROBED_VMS`] down VMs in rotation, and drops expired members and the
/// cached subsets of VMs that no longer report.
fn probe_down_vms(link: &Arc<PeerLink>, count: u64, now: Moment) {
    let reporting_vms = link.aggregate.lock().unwrap().reporting_vms(now);
    link.subsets.lock().unwrap().retain(&reporting_vms);
    let mut down = {
        let mut members = link.members.lock().unwrap();
        members.remove_expired(now);
        members.down_vms(now)
    };
    down.sort();
    if !down.is_empty() {
        let offset = (count / PROBE_EVERY_HEARTBEATS) as usize * MAX_PROBED_VMS % down.len();
        down.rotate_left(offset);
        down.truncate(MAX_PROBED_VMS);
    }
    link.send_heartbeat(&down, HeartbeatOptions::MEMBERS_ONLY, now);
}
