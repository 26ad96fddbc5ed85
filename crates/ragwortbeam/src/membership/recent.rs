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

/// Replaced views, oldest first.
#[derive(Clone, Debug, Default)]
pub struct Recent {
    views: VecDeque<Replaced>,
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

    /// Returns the two highest-ranked VMs of a flow in each view kept, each VM once.
    pub fn ranked(&self, flow_hash: u64, now_ms: u64) -> Vec<id::Vm> {
        let mut ranked = Vec::new();
        for rank in self.kept(now_ms).filter_map(|view| view.rank(flow_hash)) {
            for vm in [Some(rank.first), rank.second].into_iter().flatten() {
                if !ranked.contains(&vm) {
                    ranked.push(vm);
                }
            }
        }
        ranked
    }

    /// Returns whether no view kept names another owner than `vm` for a flow.
    pub fn is_sole_owner(&self, vm: id::Vm, flow_hash: u64, now_ms: u64) -> bool {
        self.kept(now_ms)
            .filter_map(|view| view.rank(flow_hash))
            .all(|rank| rank.first == vm)
    }

    fn kept(&self, now_ms: u64) -> impl Iterator<Item = &Arc<View>> {
        self.views
            .iter()
            .filter(move |replaced| now_ms.saturating_sub(replaced.at_ms) < KEPT_MS)
            .map(|replaced| &replaced.view)
    }
}
