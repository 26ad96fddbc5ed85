//! Evacuation of data centres: the operator's orders to send nothing more to their endpoints.

use std::collections::BTreeMap;
use std::sync::Arc;

use ragwortbeam_base::clock::Moment;
use spdlog::{info, warn};

use super::Revision;
use super::endpoint::RESTORED_STATE_HOLD;

/// Most data centres that can be evacuated at the same time; bounds what another writer of the
/// store can make each VM keep and pass on.
const MAX_EVACUATED: usize = 256;

/// Change of an evacuation order, read from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationUpdate {
    /// Name of the data centre.
    pub data_centre: Arc<str>,
    /// Store revision of the change.
    pub revision: Revision,
    /// True when the order was written, false when it was removed.
    pub is_ordered: bool,
}

/// The evacuation orders that stand, complete up to a revision of the store.
///
/// VMs pass them on as a whole: a set that is complete up to a later revision replaces an earlier
/// one, so that an order that was removed does not return. Only orders that a restoration of the store
/// may have dropped outlast such a set for a while.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evacuations {
    /// Revision up to which all orders are included; `NONE` for none.
    complete_to: Revision,
    /// Order for each evacuated data centre.
    ordered: BTreeMap<Arc<str>, Order>,
}

/// An evacuation order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Order {
    /// Store revision of the order.
    revision: Revision,
    /// Time at which the order ends unless it is written again; set when the store was restored from
    /// a copy without it.
    held_until: Option<Moment>,
}

impl Order {
    fn new(revision: Revision) -> Self {
        Self {
            revision,
            held_until: None,
        }
    }
}

impl Evacuations {
    /// Returns a set of orders that is complete up to a revision.
    pub fn new(
        complete_to: Revision,
        ordered: impl IntoIterator<Item = (Arc<str>, Revision)>,
    ) -> Self {
        let ordered = ordered.into_iter().take(MAX_EVACUATED);
        Self {
            complete_to,
            ordered: ordered.map(|(name, it)| (name, Order::new(it))).collect(),
        }
    }

    /// Returns the revision up to which all orders are included; `NONE` for none.
    pub fn complete_to(&self) -> Revision {
        self.complete_to
    }

    /// Returns the evacuated data centres.
    pub fn ordered(&self) -> impl ExactSizeIterator<Item = &Arc<str>> {
        self.ordered.keys()
    }

    /// Returns the data centres whose orders the store has, with the revisions of these.
    pub(super) fn stored(&self) -> impl Iterator<Item = (&Arc<str>, Revision)> {
        let stored = self
            .ordered
            .iter()
            .filter(|(_, it)| it.held_until.is_none());
        stored.map(|(name, order)| (name, order.revision))
    }

    /// Returns whether a data centre is evacuated.
    pub fn contains(&self, data_centre: &str) -> bool {
        self.ordered.contains_key(data_centre)
    }

    /// Returns whether no data centre is evacuated.
    pub fn is_empty(&self) -> bool {
        self.ordered.is_empty()
    }

    /// Applies the changes up to `revision`. Changes older than a known order are ignored.
    pub(super) fn apply(&mut self, updates: Vec<EvacuationUpdate>, revision: Revision) {
        let previous = self.clone();
        for update in updates {
            let known = self.ordered.get(&update.data_centre).map(|it| it.revision);
            if known.is_some_and(|known| update.revision < known) {
                continue;
            }
            if !update.is_ordered {
                self.ordered.remove(&update.data_centre);
            } else if known.is_some() || self.ordered.len() < MAX_EVACUATED {
                let order = Order::new(update.revision);
                self.ordered.insert(update.data_centre, order);
            } else {
                warn!(
                    "event=evacuation_ignored data_centre={} revision={} error=\"expected at most {MAX_EVACUATED} evacuated data centres\"",
                    update.data_centre, update.revision.number
                );
            }
        }
        self.complete_to = self.complete_to.max(revision);
        self.log_changes(&previous);
    }

    /// Replaces the orders by a set that is complete up to a later revision; returns whether it
    /// was one. An order that is missing after a restoration of the store is held.
    pub(super) fn replace(&mut self, newer: Self, now: Moment) -> bool {
        if newer.complete_to <= self.complete_to {
            return false;
        }
        let is_restored = newer.complete_to.era > self.complete_to.era;
        let previous = std::mem::replace(self, newer);
        for (data_centre, order) in &previous.ordered {
            let held_until = if is_restored {
                Some(now + RESTORED_STATE_HOLD)
            } else {
                order.held_until
            };
            if held_until.is_some() && !self.contains(data_centre) {
                let held = Order {
                    held_until,
                    ..*order
                };
                self.ordered.insert(data_centre.clone(), held);
            }
        }
        self.log_changes(&previous);
        true
    }

    /// Lets the holds of orders begin anew.
    pub(super) fn extend_holds(&mut self, now: Moment) {
        for order in self.ordered.values_mut() {
            order.held_until = order.held_until.map(|_| now + RESTORED_STATE_HOLD);
        }
    }

    /// Ends the orders whose hold is over; returns whether there were any.
    pub(super) fn end_held(&mut self, now: Moment) -> bool {
        let is_over = |order: &Order| order.held_until.is_some_and(|end| now >= end);
        if !self.ordered.values().any(is_over) {
            return false;
        }
        let previous = self.clone();
        self.ordered.retain(|_, order| !is_over(order));
        self.log_changes(&previous);
        true
    }

    fn log_changes(&self, previous: &Self) {
        for (data_centre, order) in &self.ordered {
            if !previous.contains(data_centre) {
                let Revision { era, number } = order.revision;
                info!(
                    "event=evacuation_ordered data_centre={data_centre} revision={number} era={era}"
                );
            }
        }
        for data_centre in previous.ordered.keys() {
            if !self.contains(data_centre) {
                let Revision { era, number } = self.complete_to;
                info!(
                    "event=evacuation_ended data_centre={data_centre} revision={number} era={era}"
                );
            }
        }
    }
}
