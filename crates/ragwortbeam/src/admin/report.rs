//! Status report of one VM for operators.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::refusal::Reason;

/// Status report of one VM, served as JSON at `/status`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Report {
    /// Name of the VM.
    pub vm: String,
    /// Name of the data centre that the VM is in.
    pub data_centre: String,
    /// Start time of the process, milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// True once the start is complete, until a stop begins.
    pub is_ready: bool,
    /// True once a graceful stop has begun.
    pub is_stopping: bool,
    /// Number of the release in force, or 0 before the first one.
    pub release: u64,
    /// Errors of the latest 16 rejected release notes and snapshots, oldest first.
    pub rejections: Vec<String>,
    /// Number of VMs of the data centre that may own flows, including this one if it may.
    pub owners: usize,
    /// Health of the VMs of all data centres, except this one, as known to this VM; sorted by name.
    pub vms: Vec<Health>,
    /// Number of flow records that this VM owns.
    pub flows: usize,
    /// Number of replicas of flow records that other VMs own.
    pub replicas: usize,
    /// Number of feeds of the flows that this VM owns.
    pub feeds: usize,
    /// Number of requests in progress.
    pub in_flight: usize,
    /// Number of refusals since the process started, by reason.
    pub refusals: BTreeMap<Reason, u64>,
}

/// Health of another VM.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Health {
    /// Name of the other VM.
    pub name: String,
    /// Health as named in `schema/peer.proto`, or `UNKNOWN` until the VM's first frame or rumour.
    pub health: String,
}

impl Report {
    /// Returns the current status of a node.
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
