//! Order of the store's changes across its restorations.

/// Position of a change in the order of all changes that the store ever made.
///
/// A restoration from a copy drops the latest changes and gives their numbers out again, so that a
/// number alone identifies no change and orders none. Any revision of a later era is newer than all
/// of earlier eras.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Revision {
    /// Number of the store's restorations before the change.
    pub era: u64,
    /// Number of the change in its era; 0 for none.
    pub number: u64,
}

impl Revision {
    /// Precedes all changes.
    pub const NONE: Self = Self { era: 0, number: 0 };

    /// Returns the revision with this number in an era.
    pub const fn new(era: u64, number: u64) -> Self {
        Self { era, number }
    }

    /// Returns whether this is the revision of a change.
    pub fn is_some(self) -> bool {
        self != Self::NONE
    }
}
