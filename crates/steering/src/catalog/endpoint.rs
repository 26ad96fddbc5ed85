//! An endpoint instance, its entry in the store and the updates of that entry.

use std::cmp::Ordering;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error};
use ragwortbeam_base::clock::Moment;
use slotmap::new_key_type;

use super::Revision;

/// Time for which an endpoint that is gone still gets new flows if its service has no other: its
/// entry may merely have lapsed, which means that the endpoint could not renew it during a store
/// outage. Together with the age of the catalog, this stays below the three seconds after which a
/// removed endpoint must not be used.
const LAPSE_WINDOW: Duration = Duration::from_millis(1200);

/// Time after a store outage within which endpoints renew the entries that lapsed during it or were
/// lost. A removal that is read in this time is held until its end.
pub const LAPSED_ENTRY_HOLD: Duration = Duration::from_millis(2200);

/// Time after a restoration of the store within which its writers write again what the copy lacks,
/// and entries of endpoints that have gone lapse: more than the three heartbeats of an endpoint, of
/// 1.2 s each, after which its lease ends.
pub(super) const RESTORED_STATE_HOLD: Duration = Duration::from_secs(5);

/// Longest name of a service or data centre, bytes.
const MAX_NAME_LEN: usize = 200;

/// Most requests that an endpoint can claim to process concurrently. Load is divided by this number,
/// so that an endpoint with a larger one would get nearly all new flows.
const MAX_SLOTS: u32 = 1 << 16;

/// Longest warm-up that an endpoint can claim.
const MAX_WARMUP: Duration = Duration::from_secs(3600);

new_key_type! {
    /// Key of an endpoint instance in a [`super::Catalog`]; a restart makes a new instance.
    pub struct EndpointKey;
}

/// An endpoint's entry in the store. In a catalog its values pass [`Entry::check`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Name of the service that the endpoint belongs to.
    pub service: Arc<str>,
    /// Address that packets for the endpoint are sent to.
    pub address: SocketAddrV4,
    /// Data centre of the endpoint.
    pub data_centre: Arc<str>,
    /// Requests that the endpoint processes concurrently.
    pub slots: u32,
    /// True when the endpoint accepts no new flows.
    pub is_draining: bool,
    /// Remaining warm-up time after the start, in which the endpoint responds slowly.
    pub warmup_left: Duration,
    /// Start time of the endpoint, milliseconds since the Unix epoch; 0 when the entry has none.
    pub born_ms: u64,
}

/// Reason why an entry names no endpoint that can be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum EntryError {
    /// The name of the service or of the data centre is empty, too long, or has white space or
    /// control characters.
    #[display("expected a name of 1 to {MAX_NAME_LEN} bytes without white space")]
    Name,
    /// No packet can be sent to the address.
    #[display("expected the address of one host and a port from 1 to 65535")]
    Address,
    /// The number of concurrent requests is out of range.
    #[display("expected a capacity from 1 to {MAX_SLOTS}")]
    Slots,
    /// The warm-up is too long.
    #[display("expected a warm-up of at most {} s", MAX_WARMUP.as_secs())]
    Warmup,
}

impl Entry {
    /// Checks the values of an entry that another process wrote.
    ///
    /// # Errors
    ///
    /// [`EntryError`] for the first value that cannot be used.
    pub fn check(&self) -> Result<(), EntryError> {
        if !is_name(&self.service) || !is_name(&self.data_centre) {
            return Err(EntryError::Name);
        }
        let ip = self.address.ip();
        if self.address.port() == 0 || ip.is_unspecified() || ip.is_broadcast() || ip.is_multicast()
        {
            return Err(EntryError::Address);
        }
        if !(1..=MAX_SLOTS).contains(&self.slots) {
            return Err(EntryError::Slots);
        }
        if self.warmup_left > MAX_WARMUP {
            return Err(EntryError::Warmup);
        }
        Ok(())
    }
}

fn is_name(text: &str) -> bool {
    let is_part = |it: char| !it.is_whitespace() && !it.is_control();
    (1..=MAX_NAME_LEN).contains(&text.len()) && text.chars().all(is_part)
}

/// An update of an endpoint's entry, read from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryUpdate {
    /// Identifier of the endpoint.
    pub endpoint: u64,
    /// Store revision of the update.
    pub revision: Revision,
    /// Change that the update makes.
    pub change: Change,
}

/// Change of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The entry was written with this content.
    Written(Entry),
    /// The entry was removed.
    Removed,
    /// The entry was written but cannot be parsed; its endpoint gets no new flows.
    Unreadable,
}

/// Removal of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Removal {
    /// Moment at which the removal was observed.
    pub observed_at: Moment,
    /// Time from then until the endpoint is gone, unless its entry is written again.
    pub hold: Duration,
}

/// An endpoint instance: one start of an endpoint.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Identifier that precedes each packet forwarded to the endpoint.
    pub id: u64,
    /// Latest readable entry.
    pub entry: Entry,
    /// Store revision of the latest update.
    pub revision: Revision,
    /// Tag of this instance, from which its steering tokens are derived.
    pub tag: u32,
    /// Time at which the warm-up ends; the endpoint responds slowly until then.
    pub warmup_ends_at: Moment,
    /// Set when the entry was removed or replaced by that of a later instance.
    pub removal: Option<Removal>,
    /// Entry that the restored store lists in place of the one here; `None` when they agree.
    pub restored: Option<RestoredEntry>,
}

/// Entry that the store lists after its restoration from a copy, though a later state of the endpoint
/// is known. It is used if the endpoint neither writes again nor loses it in time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RestoredEntry {
    /// The entry in the store.
    pub entry: Entry,
    /// Time from which the entry is used.
    pub due_at: Moment,
}

impl Endpoint {
    /// Returns whether the endpoint accepts new flows.
    pub fn accepts_flows(&self, now: Moment) -> bool {
        !self.entry.is_draining && !self.is_gone(now)
    }

    /// Returns whether the endpoint is gone: its entry was removed and the hold is over.
    pub fn is_gone(&self, now: Moment) -> bool {
        self.gone_for(now).is_some()
    }

    /// Returns whether the entry may merely have lapsed, so that the endpoint may still run.
    pub fn may_have_lapsed(&self, now: Moment) -> bool {
        let is_recent = |gone: Duration| gone <= LAPSE_WINDOW || self.restored.is_some();
        !self.entry.is_draining && self.gone_for(now).is_some_and(is_recent)
    }

    /// Returns whether the state here is later than an entry from a copy of the store: the copy has
    /// an earlier start of the endpoint, or does not know yet that it drains or is gone.
    pub(super) fn is_later_than(&self, copied: &Entry, now: Moment) -> bool {
        let has_ended = self.is_gone(now) || (self.entry.is_draining && !copied.is_draining);
        match self.entry.born_ms.cmp(&copied.born_ms) {
            Ordering::Greater => true,
            Ordering::Equal => has_ended,
            Ordering::Less => false,
        }
    }

    /// Returns when the endpoint is or will be gone; `None` when its entry is not removed.
    pub fn gone_at(&self) -> Option<Moment> {
        self.removal
            .map(|removal| removal.observed_at + removal.hold)
    }

    /// Returns how long the endpoint has been gone; `None` when it is not.
    pub fn gone_for(&self, now: Moment) -> Option<Duration> {
        let gone_at = self.gone_at()?;
        (now >= gone_at).then(|| now.since(gone_at))
    }

    /// Returns whether the endpoint is still warming up.
    pub fn is_warming_up(&self, now: Moment) -> bool {
        now < self.warmup_ends_at
    }
}
