//! History of replaced views, by which other VMs may still act.

use std::collections::VecDeque;
use std::sync::Arc;

use super::View;
use crate::id;

/// Time for which a replaced view is kept, milliseconds: MAX_TRANSMIT_SPAN of RFC 7252, section
/// 4.8.2, for the caller's retransmissions, and the time by which a VM's view may lag behind.
const RETENTION_MS: u64 = 60_000;

/// Maximum number of views, and of processes that left, that are kept.
const MAX_ENTRIES: usize = 64;

/// Other VMs that may know of a flow's exchanges.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct ReservationPeers {
    /// VMs that have to grant a reservation, each once.
    pub vms: Vec<id::Vm>,
    /// VMs that would have to grant it but are lost.
    pub lost: Vec<id::Vm>,
}

impl ReservationPeers {
    /// Adds a VM that has to grant a reservation.
    pub fn add(&mut self, vm: id::Vm) {
        if !self.vms.contains(&vm) {
            self.vms.push(vm);
        }
    }
}

/// Replaced views and the processes that left, oldest first.
#[derive(Clone, Debug, Default)]
pub struct ViewHistory {
    views: VecDeque<ReplacedView>,
    /// Processes that have handed over all their records, oldest first.
    departed_processes: VecDeque<id::Process>,
}

#[derive(Clone, Debug)]
struct ReplacedView {
    replaced_at_ms: u64,
    view: Arc<View>,
}

impl ViewHistory {
    /// Records that `view` was replaced at `now_ms`.
    pub fn push(&mut self, view: Arc<View>, now_ms: u64) {
        self.views
            .retain(|replaced| now_ms.saturating_sub(replaced.replaced_at_ms) < RETENTION_MS);
        if self.views.len() == MAX_ENTRIES {
            self.views.pop_front();
        }
        self.views.push_back(ReplacedView {
            replaced_at_ms: now_ms,
            view,
        });
    }

    /// Records that a process has stopped after handing over all its records.
    pub fn record_departure(&mut self, process: id::Process) {
        if self.departed_processes.len() == MAX_ENTRIES {
            self.departed_processes.pop_front();
        }
        self.departed_processes.push_back(process);
    }

    /// Returns the VMs, other than this one, that were a flow's owner or replica in a retained
    /// view and still run the same process.
    ///
    /// `None` when the owner and the replica of one view are both lost and neither has handed
    /// over its records: no VM knows any more what they dispatched under that view.
    pub fn reservation_peers(
        &self,
        view: &View,
        flow_hash: u64,
        now_ms: u64,
    ) -> Option<ReservationPeers> {
        let mut peers = ReservationPeers::default();
        for earlier in self.retained(now_ms) {
            let Some(rank) = earlier.rank(flow_hash) else {
                continue;
            };
            let holders = [Some(rank.first), rank.second];
            let mut is_covered = false;
            for vm in holders.into_iter().flatten() {
                if vm == view.local_vm || self.has_left(vm, earlier) {
                    is_covered = true;
                } else if view.is_running_same_process(vm, earlier) {
                    is_covered = true;
                    peers.add(vm);
                } else {
                    peers.lost.push(vm);
                }
            }
            if !is_covered {
                return None;
            }
        }
        Some(peers)
    }

    /// Returns whether every retained view is complete and has `vm` or no VM as the flow's owner.
    /// A VM that is missing from a view may have served the flow at that time.
    pub fn is_sole_owner(&self, vm: id::Vm, flow_hash: u64, now_ms: u64) -> bool {
        self.retained(now_ms).all(|view| {
            let rank = view.rank(flow_hash);
            view.is_complete() && rank.is_none_or(|rank| rank.first == vm)
        })
    }

    fn has_left(&self, vm: id::Vm, earlier: &View) -> bool {
        earlier.members.get(&vm).is_some_and(|member| {
            let incarnation = member.incarnation;
            self.departed_processes
                .contains(&id::Process { vm, incarnation })
        })
    }

    fn retained(&self, now_ms: u64) -> impl Iterator<Item = &Arc<View>> {
        self.views
            .iter()
            .filter(move |replaced| now_ms.saturating_sub(replaced.replaced_at_ms) < RETENTION_MS)
            .map(|replaced| &replaced.view)
    }
}
