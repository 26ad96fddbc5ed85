//! Load reports that a hub has received, and their sums.

use std::collections::HashMap;
use std::net::Ipv4Addr;

use crate::load::{self, Reported};
use crate::message;
use crate::prelude::*;

/// Age above which a VM's report no longer counts: several heartbeats.
const REPORT_LIFETIME: Duration = Duration::from_secs(1);

/// Age up to which a sum is used again.
const SUM_LIFETIME: Duration = Duration::from_millis(20);

#[derive(Debug)]
struct Report {
    at: Moment,
    contributors: u32,
    loads: Vec<message::Load>,
}

/// Reports of the VMs of this data centre and sums of the others.
#[derive(Debug, Default)]
pub struct Sums {
    local: HashMap<Ipv4Addr, Report>,
    foreign: HashMap<Arc<str>, Report>,
    summed_at: Moment,
    local_sum: HashMap<u32, Reported>,
    whole_sum: HashMap<u32, Reported>,
    local_contributors: u32,
    whole_contributors: u32,
}

impl Sums {
    /// Takes the report of a VM of this data centre.
    pub fn take_local(&mut self, ip: Ipv4Addr, loads: Vec<message::Load>, now: Moment) {
        let report = Report {
            at: now,
            contributors: 1,
            loads,
        };
        self.local.insert(ip, report);
    }

    /// Takes the sum of another data centre.
    pub fn take_foreign(
        &mut self,
        data_centre: Arc<str>,
        contributors: u32,
        loads: Vec<message::Load>,
        now: Moment,
    ) {
        let report = Report {
            at: now,
            contributors,
            loads,
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

    /// Returns the sum over all VMs but `receiver`, which is of this data centre, and the
    /// number of VMs in it.
    pub fn without(&mut self, receiver: Ipv4Addr, now: Moment) -> (Vec<message::Load>, u32) {
        self.refresh(now);
        let mut loads = load::message(&self.whole_sum);
        let Some(own) = self.local.get(&receiver) else {
            return (loads, self.whole_contributors);
        };
        let own = load::sum(own.loads.iter());
        for load in &mut loads {
            if let Some(own) = own.get(&load.tag) {
                load.open = load.open.saturating_sub(own.open);
                load.busy = load.busy.saturating_sub(own.busy);
                load.unanswered = load.unanswered.saturating_sub(own.unanswered);
            }
        }
        (loads, self.whole_contributors.saturating_sub(1))
    }

    /// Returns the sum over this data centre and the number of VMs in it.
    pub fn local(&mut self, now: Moment) -> (Vec<message::Load>, u32) {
        self.refresh(now);
        (load::message(&self.local_sum), self.local_contributors)
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
        let local = || self.local.values();
        let foreign = || self.foreign.values();
        let loads = |report: &Report| report.loads.clone();
        let local_loads: Vec<message::Load> = local().flat_map(loads).collect();
        let foreign_loads: Vec<message::Load> = foreign().flat_map(loads).collect();
        self.local_sum = load::sum(local_loads.iter());
        self.whole_sum = load::sum(local_loads.iter().chain(&foreign_loads));
        self.local_contributors = local().map(|report| report.contributors).sum();
        let foreign_contributors: u32 = foreign().map(|report| report.contributors).sum();
        self.whole_contributors = self.local_contributors + foreign_contributors;
    }
}
