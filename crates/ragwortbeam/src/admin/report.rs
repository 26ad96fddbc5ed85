//! Status of one VM as operators see it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::refusal::Reason;

/// Status of one VM.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Report {
    /// Name.
    pub vm: String,
    /// Data centre.
    pub data_centre: String,
    /// Start of the process, milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// True once it takes part in serving.
    pub is_ready: bool,
    /// True once it stops.
    pub is_stopping: bool,
    /// Number of the release in force.
    pub release: u64,
    /// Most recent rejections of releases.
    pub rejections: Vec<String>,
    /// VMs that may own flows, this one included.
    pub owners: usize,
    /// Other VMs as this one sees them.
    pub vms: Vec<Health>,
    /// Flow records served here.
    pub flows: usize,
    /// Copies held for other VMs.
    pub replicas: usize,
    /// Feeds open here.
    pub feeds: usize,
    /// Requests in progress.
    pub in_flight: usize,
    /// Refusals by reason.
    pub refusals: BTreeMap<Reason, u64>,
}

/// Another VM's health.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Health {
    /// Name.
    pub name: String,
    /// Health, or `UNKNOWN` before the first sign of life.
    pub health: String,
}

impl Report {
    /// Returns the status of a node.
    pub fn of(node: &Node) -> Self {
        let view = node.members.view();
        let totals = node.flows.totals();
        let mut vms: Vec<Health> = view
            .members
            .values()
            .map(|member| Health {
                name: member.name.clone(),
                health: if member.incarnation == 0 {
                    "UNKNOWN".to_owned()
                } else {
                    member.health.as_str_name().to_owned()
                },
            })
            .collect();
        vms.sort_by(|left, right| left.name.cmp(&right.name));
        let rejections = node.releases.rejections();
        Self {
            vm: node.settings.vm.clone(),
            data_centre: node.settings.data_centre.clone(),
            incarnation: node.members.incarnation(),
            is_ready: node.is_ready(),
            is_stopping: node.members.is_stopping(),
            release: node.releases.number(),
            rejections: rejections.iter().map(ToString::to_string).collect(),
            owners: view.owners.len(),
            vms,
            flows: totals.owned,
            replicas: totals.replicas,
            feeds: totals.feeds,
            in_flight: node.in_flight(),
            refusals: node.refusals.all(),
        }
    }
}
