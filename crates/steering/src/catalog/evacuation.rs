//! Evacuation of data centres: the operator's orders to send nothing more to their endpoints.

use std::collections::BTreeMap;
use std::sync::Arc;

use spdlog::{info, warn};

use super::Revision;

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
/// one, so that an order that was removed does not return.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evacuations {
    /// Revision up to which all orders are included; `NONE` for none.
    complete_to: Revision,
    /// Store revision of the order for each evacuated data centre.
    ordered: BTreeMap<Arc<str>, Revision>,
}

impl Evacuations {
    /// Returns a set of orders that is complete up to a revision.
    pub fn new(
        complete_to: Revision,
        ordered: impl IntoIterator<Item = (Arc<str>, Revision)>,
    ) -> Self {
        Self {
            complete_to,
            ordered: ordered.into_iter().take(MAX_EVACUATED).collect(),
        }
    }

    /// Returns the revision up to which all orders are included; `NONE` for none.
    pub fn complete_to(&self) -> Revision {
        self.complete_to
    }

    /// Returns the evacuated data centres with the revisions of their orders.
    pub fn ordered(&self) -> impl ExactSizeIterator<Item = (&Arc<str>, Revision)> {
        self.ordered
            .iter()
            .map(|(name, revision)| (name, *revision))
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
            let known = self.ordered.get(&update.data_centre).copied();
            if known.is_some_and(|known| update.revision < known) {
                continue;
            }
            if !update.is_ordered {
                self.ordered.remove(&update.data_centre);
            } else if known.is_some() || self.ordered.len() < MAX_EVACUATED {
                self.ordered.insert(update.data_centre, update.revision);
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
    /// was one.
    pub(super) fn replace(&mut self, newer: Self) -> bool {
        if newer.complete_to <= self.complete_to {
            return false;
        }
        let previous = std::mem::replace(self, newer);
        self.log_changes(&previous);
        true
    }

    fn log_changes(&self, previous: &Self) {
        for (data_centre, revision) in &self.ordered {
            if !previous.contains(data_centre) {
                let Revision { era, number } = *revision;
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
