//! Hubs' answers to heartbeats.

use std::net::Ipv4Addr;

use metrics::counter;
use spdlog::info;

use super::{Link, columns};
use crate::message::{Beat, Digest, Loads, frame};
use crate::prelude::*;
use crate::subset::Subset;

impl Link {
    /// Returns the endpoints that this VM places flows on.
    pub(super) fn own_subset(&self, now: Moment) -> Arc<Subset> {
        let (me, data_centre) = {
            let members = self.members.lock().unwrap();
            (members.ip(), members.data_centre().clone())
        };
        let catalog = self.catalog.lock().unwrap();
        let mut subsets = self.subsets.lock().unwrap();
        subsets.get_or_select(me, &data_centre, &catalog, now)
    }

    /// Answers a heartbeat: towards a VM of this data centre with the loads of the endpoints
    /// that it places flows on, towards another data centre with the sum of this one.
    pub(super) fn answer(&self, ip: Ipv4Addr, is_near: bool, beat: Beat, now: Moment) {
        let (loads, contributors) = if is_near {
            self.loads_for(ip, &beat, now)
        } else {
            let mut sums = self.sums.lock().unwrap();
            let (sum, contributors) = sums.local(now);
            (columns::tagged(sum), contributors)
        };
        let members = if beat.wants_members {
            self.members.lock().unwrap().messages(now)
        } else {
            Vec::new()
        };
        let digest = Digest {
            loads: Some(loads),
            contributors,
            members,
            is_partial: is_near && !beat.wants_whole,
            ..Digest::default()
        };
        let frame = self.frame(frame::Body::Digest(digest), now);
        self.send(ip, &frame);
    }

    fn loads_for(&self, ip: Ipv4Addr, beat: &Beat, now: Moment) -> (Loads, u32) {
        let data_centre = self.members.lock().unwrap().data_centre().clone();
        let subset = {
            let catalog = self.catalog.lock().unwrap();
            let mut subsets = self.subsets.lock().unwrap();
            subsets.get_or_select(ip, &data_centre, &catalog, now)
        };
        let tags = subset.tags(beat.wants_whole);
        let mut sums = self.sums.lock().unwrap();
        if let Some(report) = read(ip, beat.loads.as_ref(), &[]) {
            sums.take_local(ip, report, beat.is_partial, now);
        }
        let (reports, contributors) = sums.without(ip, tags, now);
        let mut loads = columns::untagged(&reports);
        if beat.subset_check == subset.checksum() {
            loads.subset_check = subset.checksum();
        } else {
            loads.tags = tags.to_vec();
        }
        (loads, contributors)
    }

    /// Takes what another VM knows of loads and members.
    pub(super) fn take_digest(
        &self,
        ip: Ipv4Addr,
        is_near: bool,
        data_centre: &str,
        digest: &Digest,
        now: Moment,
    ) {
        let mut members = self.members.lock().unwrap();
        for member in &digest.members {
            members.take(member, now);
        }
        drop(members);
        if digest.contributors == 0 {
            return;
        }
        let Some(loads) = &digest.loads else {
            return;
        };
        let subset = self.own_subset(now);
        let known = if loads.subset_check == subset.checksum() {
            subset.tags(!digest.is_partial)
        } else {
            &[]
        };
        let Some(loads) = read(ip, Some(loads), known) else {
            return;
        };
        if is_near {
            let mut board = self.board.lock().unwrap();
            board.apply_report(ip, digest.contributors, loads, digest.is_partial, now);
        } else {
            let mut sums = self.sums.lock().unwrap();
            sums.take_foreign(data_centre.into(), digest.contributors, loads, now);
        }
    }
}

/// Reads loads; those that do not fit, as the subset has just changed, are left out.
fn read(ip: Ipv4Addr, loads: Option<&Loads>, known: &[u32]) -> Option<crate::load::Loads> {
    let loads = loads?;
    let read = columns::read(loads, known);
    if read.is_none() {
        counter!("ragwortbeam_peer_loads_unfit_total").increment(1);
        info!(
            "event=peer_loads_unfit from={ip} count={} tags={} subset_check={:08x}",
            loads.count,
            loads.tags.len(),
            loads.subset_check
        );
    }
    read
}
