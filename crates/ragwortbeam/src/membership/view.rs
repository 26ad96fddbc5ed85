//! One VM's view of the members, and the owners of flows that follow from it.

use std::cmp::Ordering;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::id;
use crate::message::Health;

/// VM of the platform's list, with its health as known from frames and rumours.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name in the platform's list.
    pub name: String,
    /// Address for frames (UDP) and calls (TCP) from other VMs.
    pub address: SocketAddr,
    /// Data centre that the VM runs in.
    pub data_centre: String,
    /// True while the platform lists the VM as leaving.
    pub listed_leaving: bool,
    /// Highest known incarnation, the start time of the VM's process in milliseconds since the
    /// Unix epoch; 0 before the first frame or rumour.
    pub incarnation: u64,
    /// Highest known revision within the incarnation. The VM raises it to refute a suspicion and
    /// when it begins to leave.
    pub revision: u32,
    /// Health at that revision.
    pub health: Health,
}

impl Member {
    /// Returns whether the VM may own flows; a suspect still may.
    pub fn may_own(&self) -> bool {
        let is_alive = matches!(self.health, Health::Alive | Health::Suspect);
        is_alive && self.incarnation != 0 && !self.listed_leaving
    }

    /// Returns whether the VM is listed as live but is not known to own flows: it is dead, has
    /// not joined, or its incarnation is unknown.
    pub fn is_missing(&self) -> bool {
        let is_planned_departure = matches!(self.health, Health::Leaving | Health::Left);
        !self.may_own() && !self.listed_leaving && !is_planned_departure
    }

    /// Returns whether the VM's process is assumed to run, leaving or not.
    pub fn is_running(&self) -> bool {
        !matches!(self.health, Health::Dead | Health::Left) && self.incarnation != 0
    }
}

/// Members and owners at one moment.
#[derive(Clone, Debug)]
pub struct View {
    /// Id of this VM.
    pub local_vm: id::Vm,
    /// Data centre that this VM runs in.
    pub data_centre: String,
    /// VMs of this data centre that may own flows, in order of id.
    pub owners: Vec<id::Vm>,
    /// All listed VMs except this one.
    ///
    /// The members are shared between views, so that a view costs little more than its keys.
    pub members: HashMap<id::Vm, Arc<Member>>,
    /// `owners` in the order in which releases are distributed.
    pub(super) distribution_order: Vec<id::Vm>,
}

/// The two VMs with the highest random weight for a flow (rendezvous hashing).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rank {
    /// Owner of the flow.
    pub first: id::Vm,
    /// Next owner, which holds the replica; `None` when there is only one owner.
    pub second: Option<id::Vm>,
}

impl Rank {
    /// Returns the higher-ranked VM that is not `vm`.
    pub fn other_than(self, vm: id::Vm) -> Option<id::Vm> {
        if self.first == vm {
            self.second
        } else {
            Some(self.first)
        }
    }
}

impl View {
    /// Returns a view with these members; this VM is one of the owners if `may_own` is true.
    pub fn new(
        local_vm: id::Vm,
        data_centre: &str,
        members: HashMap<id::Vm, Arc<Member>>,
        may_own: bool,
    ) -> Self {
        let mut owners: Vec<id::Vm> = members
            .iter()
            .filter(|(_, member)| member.may_own() && member.data_centre == data_centre)
            .map(|(vm, _)| *vm)
            .collect();
        if may_own {
            owners.push(local_vm);
        }
        owners.sort_unstable();
        let seed = xxh3_64(data_centre.as_bytes());
        let mut distribution_order = owners.clone();
        distribution_order.sort_by_key(|vm| std::cmp::Reverse(weight(*vm, seed)));
        Self {
            local_vm,
            data_centre: data_centre.to_owned(),
            owners,
            members,
            distribution_order,
        }
    }

    /// Returns whether no listed VM of the data centre is missing, except those that leave as
    /// planned.
    pub fn is_complete(&self) -> bool {
        let mut listed = self
            .members
            .values()
            .filter(|member| member.data_centre == self.data_centre);
        !listed.any(|member| member.is_missing())
    }

    /// Returns whether the owners are a majority of the VMs that would own flows if all were
    /// alive; of two equal halves, the one with the lowest VM id has the majority.
    pub fn has_majority(&self) -> bool {
        let missing: Vec<id::Vm> = self
            .members
            .iter()
            .filter(|(_, member)| member.is_missing() && member.data_centre == self.data_centre)
            .map(|(vm, _)| *vm)
            .collect();
        match self.owners.len().cmp(&missing.len()) {
            Ordering::Greater => true,
            Ordering::Equal => self.owners.first() < missing.iter().min(),
            Ordering::Less => false,
        }
    }

    /// Ranks the owners for a flow's hash; `None` when there are no owners.
    pub fn rank(&self, flow_hash: u64) -> Option<Rank> {
        let mut best: Option<(u64, id::Vm)> = None;
        let mut next: Option<(u64, id::Vm)> = None;
        for vm in &self.owners {
            let candidate = Some((weight(*vm, flow_hash), *vm));
            if candidate > best {
                next = best;
                best = candidate;
            } else if candidate > next {
                next = candidate;
            }
        }
        best.map(|(_, first)| Rank {
            first,
            second: next.map(|(_, vm)| vm),
        })
    }

    /// Returns the owner of a flow, or this VM when there are no owners.
    pub fn owner(&self, flow_hash: u64) -> id::Vm {
        self.rank(flow_hash)
            .map_or(self.local_vm, |rank| rank.first)
    }

    /// Returns the highest-ranked VM other than this one; `None` when there is none.
    pub fn replica(&self, flow_hash: u64) -> Option<id::Vm> {
        self.rank(flow_hash)?.other_than(self.local_vm)
    }

    /// Returns whether another VM's process is assumed to run: the VM is running, and no newer
    /// process of it is known.
    pub fn is_running(&self, process: id::Process) -> bool {
        self.members
            .get(&process.vm)
            .is_some_and(|member| member.is_running() && member.incarnation <= process.incarnation)
    }

    /// Returns whether another VM still runs the process that it ran in an earlier view.
    pub fn is_running_same_process(&self, vm: id::Vm, earlier: &Self) -> bool {
        let current = self.members.get(&vm).filter(|member| member.is_running());
        let previous = earlier.members.get(&vm);
        current
            .zip(previous)
            .is_some_and(|(current, previous)| current.incarnation == previous.incarnation)
    }

    /// Returns this VM's position in `distribution_order`; `None` when it is not an owner.
    pub fn distribution_position(&self) -> Option<usize> {
        self.distribution_order
            .iter()
            .position(|vm| *vm == self.local_vm)
    }

    /// Returns the VMs to which this one forwards a release: its children in a tree of this
    /// fan-out.
    pub fn distribution_children(&self, fanout: usize) -> Vec<id::Vm> {
        let Some(position) = self.distribution_position() else {
            return Vec::new();
        };
        let first = position * fanout + 1;
        self.distribution_order
            .iter()
            .skip(first)
            .take(fanout)
            .copied()
            .collect()
    }
}

fn weight(vm: id::Vm, hash: u64) -> u64 {
    xxh3_64_with_seed(&hash.to_le_bytes(), vm.0)
}
