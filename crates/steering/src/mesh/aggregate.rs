//! Aggregation of the load reports that a hub receives.

use std::collections::HashMap;
use std::net::Ipv4Addr;

use crate::load::{Loads, ReportedLoad};
use crate::prelude::*;

/// Age from which a report is dropped: twice the longest heartbeat interval that the byte budget
/// causes, and many times the shortest one.
const MAX_REPORT_AGE: Duration = Duration::from_secs(1);

/// Age up to which the computed sums are reused.
const MAX_AGGREGATE_AGE: Duration = Duration::from_millis(20);

/// Latest report of a VM, or latest sum of a remote data centre.
#[derive(Debug, Default)]
struct Report {
    received_at: Moment,
    contributors: u32,
    /// Last full report of the sender.
    full: Loads,
    /// Entries of the last partial report, which replace those of the full one.
    delta: Loads,
}

impl Report {
    fn get(&self, tag: u32) -> ReportedLoad {
        let load = self.delta.get(&tag).or_else(|| self.full.get(&tag));
        load.copied().unwrap_or_default()
    }

    fn loads(&self) -> impl Iterator<Item = (u32, ReportedLoad)> {
        let unchanged = self.full.iter();
        let unchanged = unchanged.filter(|(tag, _)| !self.delta.contains_key(tag));
        unchanged
            .chain(&self.delta)
            .map(|(tag, load)| (*tag, *load))
    }
}

/// Load reports of the VMs of this data centre, the sums of remote data centres, and the totals
/// over both.
#[derive(Debug, Default)]
pub struct LoadAggregate {
    local_reports: HashMap<Ipv4Addr, Report>,
    remote_sums: HashMap<Arc<str>, Report>,
    aggregated_at: Moment,
    local_sum: Loads,
    global_sum: Loads,
    local_contributors: u32,
    global_contributors: u32,
}

impl LoadAggregate {
    /// Records the load report of a VM of this data centre. A partial report has the entries
    /// that differ from the VM's last full one, and replaces the previous partial report.
    pub fn record_vm_report(&mut self, ip: Ipv4Addr, loads: Loads, is_partial: bool, now: Moment) {
        let report = self.local_reports.entry(ip).or_default();
        report.received_at = now;
        report.contributors = 1;
        if is_partial {
            report.delta = loads;
        } else {
            report.full = loads;
            report.delta.clear();
        }
    }

    /// Records the sum of a remote data centre over `contributors` VMs.
    pub fn record_data_centre_sum(
        &mut self,
        data_centre: Arc<str>,
        contributors: u32,
        loads: Loads,
        now: Moment,
    ) {
        let report = Report {
            received_at: now,
            contributors,
            full: loads,
            delta: Loads::new(),
        };
        self.remote_sums.insert(data_centre, report);
    }

    /// Returns the VMs of this data centre whose report is younger than `MAX_REPORT_AGE`.
    pub fn reporting_vms(&self, now: Moment) -> Vec<Ipv4Addr> {
        let fresh = self
            .local_reports
            .iter()
            .filter(|(_, report)| now.since(report.received_at) < MAX_REPORT_AGE);
        fresh.map(|(ip, _)| *ip).collect()
    }

    /// Returns the loads that all VMs except `receiver` cause at the endpoints in `tags`, and
    /// the number of VMs included. The receiver is a VM of this data centre.
    pub fn loads_excluding(
        &mut self,
        receiver: Ipv4Addr,
        tags: &[u32],
        now: Moment,
    ) -> (Vec<ReportedLoad>, u32) {
        self.refresh(now);
        let receiver_report = self.local_reports.get(&receiver);
        let loads = tags.iter().map(|tag| {
            let mut sum = self.global_sum.get(tag).copied().unwrap_or_default();
            sum.subtract(
                receiver_report
                    .map(|report| report.get(*tag))
                    .unwrap_or_default(),
            );
            // Liveness matters only for endpoints with unanswered packets.
            sum.is_alive &= sum.unanswered > 0;
            sum
        });
        let contributors = self
            .global_contributors
            .saturating_sub(receiver_report.is_some().into());
        (loads.collect(), contributors)
    }

    /// Returns the sum over the VMs of this data centre, and the number of VMs included.
    pub fn local_sum(&mut self, now: Moment) -> (&Loads, u32) {
        self.refresh(now);
        (&self.local_sum, self.local_contributors)
    }

    fn refresh(&mut self, now: Moment) {
        if now.since(self.aggregated_at) < MAX_AGGREGATE_AGE {
            return;
        }
        self.aggregated_at = now;
        self.local_reports
            .retain(|_, report| now.since(report.received_at) < MAX_REPORT_AGE);
        self.remote_sums
            .retain(|_, report| now.since(report.received_at) < MAX_REPORT_AGE);
        self.local_sum.clear();
        self.local_contributors = add_reports(&mut self.local_sum, self.local_reports.values());
        self.global_sum.clone_from(&self.local_sum);
        let remote_contributors = add_reports(&mut self.global_sum, self.remote_sums.values());
        self.global_contributors = self.local_contributors + remote_contributors;
    }
}

/// Adds reports to a sum; returns the number of VMs that they include.
fn add_reports<'a>(sum: &mut Loads, reports: impl Iterator<Item = &'a Report>) -> u32 {
    let mut contributors = 0;
    for report in reports {
        contributors += report.contributors;
        for (tag, load) in report.loads() {
            sum.entry(tag).or_default().add(load);
        }
    }
    contributors
}
