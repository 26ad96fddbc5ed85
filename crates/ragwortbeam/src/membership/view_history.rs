//! Views of the recent past, for what other VMs may still act on.

use std::collections::VecDeque;
use std::sync::Arc;

use super::View;
use crate::id;

/// Time for which a replaced view is kept: MAX_TRANSMIT_SPAN of RFC 7252, section 4.8.2,
/// for the caller's retransmissions, and as much again as a VM may lag behind.
const KEPT_MS: u64 = 60_000;

/// Most views kept.
const MAX_KEPT: usize = 64;

/// VMs that may know of a flow's exchanges.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct ReservationPeers {
    /// VMs to ask, each once.
    pub vms: Vec<id::Vm>,
    /// VMs that would be asked but are lost.
    pub lost: Vec<id::Vm>,
}

impl ReservationPeers {
    /// Adds a VM to ask.
    pub fn add(&mut self, vm: id::Vm) {
        if !self.vms.contains(&vm) {
            self.vms.push(vm);
        }
    }
}

/// Replaced views, oldest first.
#[derive(Clone, Debug, Default)]
pub struct Recent {
    views: VecDeque<Replaced>,
    /// Processes that have handed over all they knew, oldest first.
    left: VecDeque<id::Process>,
}

#[derive(Clone, Debug)]
struct Replaced {
    at_ms: u64,
    view: Arc<View>,
}

impl Recent {
    /// Notes that `view` was replaced now.
    pub fn push(&mut self, view: Arc<View>, now_ms: u64) {
        self.views
            .retain(|replaced| now_ms.saturating_sub(replaced.at_ms) < KEPT_MS);
        if self.views.len() == MAX_KEPT {
            self.views.pop_front();
        }
        self.views.push_back(Replaced {
            at_ms: now_ms,
            view,
        });
    }

    /// Notes that a process has stopped after handing over all it knew.
    pub fn note_left(&mut self, process: id::Process) {
        if self.left.len() == MAX_KEPT {
            self.left.pop_front();
        }
        self.left.push_back(process);
    }

    /// Returns the VMs, other than this one, that were ranked highest for a flow in a view
    /// kept and whose processes of then still run.
    ///
    /// `None` when both VMs of one view are lost and neither has handed over what it
    /// knew: what they dispatched under that view nobody knows any more.
    pub fn reservation_peers(
        &self,
        view: &View,
        flow_hash: u64,
        now_ms: u64,
    ) -> Option<ReservationPeers> {
        let mut peers = ReservationPeers::default();
        for earlier in self.kept(now_ms) {
            let Some(rank) = earlier.rank(flow_hash) else {
                continue;
            };
            let pair = [Some(rank.first), rank.second];
            let mut is_known = false;
            for vm in pair.into_iter().flatten() {
                if vm == view.me || self.has_left(vm, earlier) {
                    is_known = true;
                } else if view.is_running_same_process(vm, earlier) {
                    is_known = true;
                    peers.add(vm);
                } else {
                    peers.lost.push(vm);
                }
            }
            if !is_known {
                return None;
            }
        }
        Some(peers)
    }

    /// Returns whether no view kept names another owner than `vm` for a flow, or lacks a
    /// VM that may have named another.
    pub fn is_sole_owner(&self, vm: id::Vm, flow_hash: u64, now_ms: u64) -> bool {
        self.kept(now_ms).all(|view| {
            let rank = view.rank(flow_hash);
            view.is_whole() && rank.is_none_or(|rank| rank.first == vm)
        })
    }

    fn has_left(&self, vm: id::Vm, earlier: &View) -> bool {
        earlier.members.get(&vm).is_some_and(|member| {
            let incarnation = member.incarnation;
            self.left.contains(&id::Process { vm, incarnation })
        })
    }

    fn kept(&self, now_ms: u64) -> impl Iterator<Item = &Arc<View>> {
        self.views
            .iter()
            .filter(move |replaced| now_ms.saturating_sub(replaced.at_ms) < KEPT_MS)
            .map(|replaced| &replaced.view)
    }
}
