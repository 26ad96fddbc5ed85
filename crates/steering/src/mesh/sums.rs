//! Load reports that a hub has received, and their sums.

use std::collections::HashMap;
use std::net::Ipv4Addr;

use crate::load::{Loads, ReportedLoad};
use crate::prelude::*;

/// Age above which a VM's report no longer counts: several heartbeats, and two of the
/// slowest pace.
const REPORT_LIFETIME: Duration = Duration::from_secs(1);

/// Age up to which a sum is used again.
const SUM_LIFETIME: Duration = Duration::from_millis(20);

#[derive(Debug, Default)]
struct Report {
    at: Moment,
    contributors: u32,
    /// Last whole report.
    whole: Loads,
    /// What has differed from it since.
    changed: Loads,
}

impl Report {
    fn get(&self, tag: u32) -> ReportedLoad {
        let report = self.changed.get(&tag).or_else(|| self.whole.get(&tag));
        report.copied().unwrap_or_default()
    }

    fn loads(&self) -> impl Iterator<Item = (u32, ReportedLoad)> {
        let kept = self.whole.iter();
        let kept = kept.filter(|(tag, _)| !self.changed.contains_key(tag));
        kept.chain(&self.changed)
            .map(|(tag, report)| (*tag, *report))
    }
}

/// Reports of the VMs of this data centre and sums of the others.
#[derive(Debug, Default)]
pub struct Sums {
    local: HashMap<Ipv4Addr, Report>,
    foreign: HashMap<Arc<str>, Report>,
    summed_at: Moment,
    local_sum: Loads,
    whole_sum: Loads,
    local_contributors: u32,
    whole_contributors: u32,
}

impl Sums {
    /// Takes the report of a VM of this data centre; a partial one has what differs from
    /// the last whole one.
    pub fn take_local(&mut self, ip: Ipv4Addr, loads: Loads, is_partial: bool, now: Moment) {
        let report = self.local.entry(ip).or_default();
        report.at = now;
        report.contributors = 1;
        if is_partial {
            report.changed = loads;
        } else {
            report.whole = loads;
            report.changed.clear();
        }
    }

    /// Takes the sum of another data centre.
    pub fn take_foreign(
        &mut self,
        data_centre: Arc<str>,
        contributors: u32,
        loads: Loads,
        now: Moment,
    ) {
        let report = Report {
            at: now,
            contributors,
            whole: loads,
            changed: Loads::new(),
        };
        self.foreign.insert(data_centre, report);
    }

    /// Returns the VMs that reported lately.
    pub fn reporters(&self, now: Moment) -> Vec<Ipv4Addr> {
        let fresh = self
            .local
            .iter()
            .filter(|(_, report)| now.since(report.at) < REPORT_LIFETIME);
        fresh.map(|(ip, _)| *ip).collect()
    }

    /// Returns the loads of some endpoints by all VMs but `receiver`, which is of this data
    /// centre, and the number of VMs in them.
    pub fn without(
        &mut self,
        receiver: Ipv4Addr,
        tags: &[u32],
        now: Moment,
    ) -> (Vec<ReportedLoad>, u32) {
        self.refresh(now);
        let own = self.local.get(&receiver);
        let loads = tags.iter().map(|tag| {
            let mut sum = self.whole_sum.get(tag).copied().unwrap_or_default();
            sum.subtract(own.map(|own| own.get(*tag)).unwrap_or_default());
            // A sign of life matters beside unanswered packets only.
            sum.is_alive &= sum.unanswered > 0;
            sum
        });
        let contributors = self.whole_contributors.saturating_sub(own.is_some().into());
        (loads.collect(), contributors)
    }

    /// Returns the sum over this data centre and the number of VMs in it.
    pub fn local(&mut self, now: Moment) -> (&Loads, u32) {
        self.refresh(now);
        (&self.local_sum, self.local_contributors)
    }

    fn refresh(&mut self, now: Moment) {
        if now.since(self.summed_at) < SUM_LIFETIME {
            return;
        }
        self.summed_at = now;
        self.local
            .retain(|_, report| now.since(report.at) < REPORT_LIFETIME);
        self.foreign
            .retain(|_, report| now.since(report.at) < REPORT_LIFETIME);
        self.local_sum.clear();
        self.local_contributors = add(&mut self.local_sum, self.local.values());
        self.whole_sum.clone_from(&self.local_sum);
        let foreign = add(&mut self.whole_sum, self.foreign.values());
        self.whole_contributors = self.local_contributors + foreign;
    }
}

/// Adds reports to a sum; returns the number of VMs in them.
fn add<'a>(sum: &mut Loads, reports: impl Iterator<Item = &'a Report>) -> u32 {
    let mut contributors = 0;
    for report in reports {
        contributors += report.contributors;
        for (tag, load) in report.loads() {
            sum.entry(tag).or_default().add(load);
        }
    }
    contributors
}
