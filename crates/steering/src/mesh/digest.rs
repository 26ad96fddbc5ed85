//! Load digests, with which hubs answer heartbeats.

use std::net::Ipv4Addr;

use metrics::counter;
use spdlog::info;

use super::{PeerLink, columns};
use crate::message::{Beat, Digest, Loads, frame};
use crate::prelude::*;
use crate::subset::Subset;

impl PeerLink {
    /// Returns the subset of endpoints on which this VM places new flows.
    pub(super) fn own_subset(&self, now: Moment) -> Arc<Subset> {
        let (own_ip, data_centre) = {
            let members = self.members.lock().unwrap();
            (members.ip(), members.data_centre().clone())
        };
        let catalog = self.catalog.lock().unwrap();
        let mut subsets = self.subsets.lock().unwrap();
        subsets.get_or_select(own_ip, &data_centre, &catalog, now)
    }

    /// Answers a heartbeat with a digest. A VM of this data centre receives the loads of the
    /// endpoints in its subset, a remote VM the sum over this data centre.
    pub(super) fn answer_heartbeat(&self, ip: Ipv4Addr, is_local: bool, beat: Beat, now: Moment) {
        let (loads, contributors) = if is_local {
            self.loads_for(ip, &beat, now)
        } else {
            let mut aggregate = self.aggregate.lock().unwrap();
            let (sum, contributors) = aggregate.local_sum(now);
            (columns::encode_with_tags(sum), contributors)
        };
        let members = if beat.wants_members {
            self.members.lock().unwrap().member_list(now)
        } else {
            Vec::new()
        };
        let digest = Digest {
            loads: Some(loads),
            contributors,
            members,
            is_partial: is_local && !beat.wants_whole,
            ..Digest::default()
        };
        let frame = self.build_frame(frame::Body::Digest(digest), now);
        self.send(ip, &frame);
    }

    /// Records the load report of a heartbeat from a VM of this data centre. Returns the loads that
    /// the other VMs cause at the endpoints in the sender's subset, and the number of these VMs.
    fn loads_for(&self, ip: Ipv4Addr, beat: &Beat, now: Moment) -> (Loads, u32) {
        let data_centre = self.members.lock().unwrap().data_centre().clone();
        let subset = {
            let catalog = self.catalog.lock().unwrap();
            let mut subsets = self.subsets.lock().unwrap();
            subsets.get_or_select(ip, &data_centre, &catalog, now)
        };
        let tags = subset.tags(beat.wants_whole);
        let mut aggregate = self.aggregate.lock().unwrap();
        if let Some(report) = decode_loads(ip, beat.loads.as_ref(), &[]) {
            aggregate.record_vm_report(ip, report, beat.is_partial, now);
        }
        let (other_loads, contributors) = aggregate.loads_excluding(ip, tags, now);
        let mut loads = columns::encode_without_tags(&other_loads);
        if beat.subset_check == subset.checksum() {
            loads.subset_check = subset.checksum();
        } else {
            loads.tags = tags.to_vec();
        }
        (loads, contributors)
    }

    /// Merges the members of a received digest into the table and records its loads.
    pub(super) fn apply_digest(
        &self,
        ip: Ipv4Addr,
        is_local: bool,
        data_centre: &str,
        digest: &Digest,
        now: Moment,
    ) {
        let mut members = self.members.lock().unwrap();
        for member in &digest.members {
            members.merge(member, now);
        }
        drop(members);
        if digest.contributors == 0 {
            return;
        }
        let Some(loads) = &digest.loads else {
            return;
        };
        let subset = self.own_subset(now);
        let implied_tags = if loads.subset_check == subset.checksum() {
            subset.tags(!digest.is_partial)
        } else {
            &[]
        };
        let Some(loads) = decode_loads(ip, Some(loads), implied_tags) else {
            return;
        };
        if is_local {
            let mut endpoint_loads = self.endpoint_loads.lock().unwrap();
            endpoint_loads.apply_report(ip, digest.contributors, loads, digest.is_partial, now);
        } else {
            let mut aggregate = self.aggregate.lock().unwrap();
            aggregate.record_data_centre_sum(data_centre.into(), digest.contributors, loads, now);
        }
    }
}

/// Decodes loads. Returns `None` when their columns do not fit the tags, which happens when the
/// subset has just changed; the mismatch is counted and logged.
fn decode_loads(
    ip: Ipv4Addr,
    loads: Option<&Loads>,
    implied_tags: &[u32],
) -> Option<crate::load::Loads> {
    let loads = loads?;
    let decoded = columns::decode(loads, implied_tags);
    if decoded.is_none() {
        counter!("ragwortbeam_peer_loads_unfit_total").increment(1);
        info!(
            "event=peer_loads_unfit from={ip} count={} tags={} subset_check={:08x}",
            loads.count,
            loads.tags.len(),
            loads.subset_check
        );
    }
    decoded
}
