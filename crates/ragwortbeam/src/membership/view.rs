//! One VM's view of the others and the choice of owners it implies.

use std::cmp::Ordering;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::id;
use crate::message::Health;

/// A VM of the platform's list, with what is known of it directly.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name.
    pub name: String,
    /// Peer address, UDP and TCP.
    pub address: SocketAddr,
    /// Data centre it stands in.
    pub data_centre: String,
    /// True when the platform lists it as leaving.
    pub listed_leaving: bool,
    /// Incarnation last heard of; 0 before the first sign of life.
    pub incarnation: u64,
    /// Revision within the incarnation.
    pub revision: u32,
    /// Health within the revision.
    pub health: Health,
}

impl Member {
    /// Returns whether it may own flows. A suspect still may.
    pub fn may_own(&self) -> bool {
        let lives = matches!(self.health, Health::Alive | Health::Suspect);
        lives && self.incarnation != 0 && !self.listed_leaving
    }

    /// Returns whether it is listed as live but owns nothing as far as is known: it is
    /// dead, has not joined, or was never heard of.
    pub fn is_missing(&self) -> bool {
        let is_gone_as_planned = matches!(self.health, Health::Leaving | Health::Left);
        !self.may_own() && !self.listed_leaving && !is_gone_as_planned
    }

    /// Returns whether it is thought to run, leaving or not.
    pub fn is_running(&self) -> bool {
        !matches!(self.health, Health::Dead | Health::Left) && self.incarnation != 0
    }
}

/// Members and owners at one moment.
#[derive(Clone, Debug)]
pub struct View {
    /// This VM.
    pub me: id::Vm,
    /// Data centre this VM stands in.
    pub data_centre: String,
    /// VMs of this data centre that may own flows, in order of id.
    pub owners: Vec<id::Vm>,
    /// All listed VMs but this one.
    ///
    /// Shared between views, so that a view costs little more than its keys.
    pub members: HashMap<id::Vm, Arc<Member>>,
    /// `owners` in the order in which releases spread.
    pub(super) distribution_order: Vec<id::Vm>,
}

/// The two VMs of highest random weight for a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rank {
    /// Owner.
    pub first: id::Vm,
    /// Next owner, which holds the replica.
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
    /// Returns a view with these members, in which this VM may own or not.
    pub fn new(
        me: id::Vm,
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
            owners.push(me);
        }
        owners.sort_unstable();
        let seed = xxh3_64(data_centre.as_bytes());
        let mut distribution_order = owners.clone();
        distribution_order.sort_by_key(|vm| std::cmp::Reverse(weight(*vm, seed)));
        Self {
            me,
            data_centre: data_centre.to_owned(),
            owners,
            members,
            distribution_order,
        }
    }

    /// Returns whether every listed VM of the data centre owns flows or leaves as planned.
    pub fn is_whole(&self) -> bool {
        let mut neighbours = self
            .members
            .values()
            .filter(|member| member.data_centre == self.data_centre);
        !neighbours.any(|member| member.is_missing())
    }

    /// Returns whether the owners are a majority of the VMs that would own flows if all
    /// were alive; of two equal halves the one with the lowest id is.
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

    /// Ranks the owners for a flow's hash; `None` when nobody may own.
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

    /// Returns the owner of a flow, or this VM when nobody may own.
    pub fn owner(&self, flow_hash: u64) -> id::Vm {
        self.rank(flow_hash).map_or(self.me, |rank| rank.first)
    }

    /// Returns the highest-ranked VM other than this one.
    pub fn replica(&self, flow_hash: u64) -> Option<id::Vm> {
        self.rank(flow_hash)?.other_than(self.me)
    }

    /// Returns whether another VM's process is thought to run.
    pub fn is_running(&self, process: id::Process) -> bool {
        self.members
            .get(&process.vm)
            .is_some_and(|member| member.is_running() && member.incarnation <= process.incarnation)
    }

    /// Returns whether another VM runs the process that it ran in an earlier view.
    pub fn is_running_same_process(&self, vm: id::Vm, earlier: &Self) -> bool {
        let now = self.members.get(&vm).filter(|member| member.is_running());
        let then = earlier.members.get(&vm);
        now.zip(then)
            .is_some_and(|(now, then)| now.incarnation == then.incarnation)
    }

    /// Returns this VM's position in the order in which releases spread.
    pub fn distribution_position(&self) -> Option<usize> {
        self.distribution_order.iter().position(|vm| *vm == self.me)
    }

    /// Returns the VMs that this one passes a release on to.
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
