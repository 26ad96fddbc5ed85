//! One endpoint and the changes of its entry.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use ragwortbeam_base::clock::Moment;
use slotmap::new_key_type;

/// Time after the removal of an entry in which it may have lapsed only: its service may
/// still use the endpoint when it has no other. With the age of the catalog this stays
/// below the three seconds after which an endpoint must be left alone.
const LAPSE_WINDOW: Duration = Duration::from_millis(1200);

new_key_type! {
    /// Key of one start of an endpoint in a [`super::Catalog`].
    pub struct EndpointKey;
}

/// An endpoint's entry as it was published.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Service.
    pub service: Arc<str>,
    /// Address.
    pub address: SocketAddrV4,
    /// Data centre.
    pub data_centre: Arc<str>,
    /// Requests processed at once; at least 1.
    pub slots: u32,
    /// True when it takes no new flows.
    pub is_draining: bool,
    /// Remaining time of slow answers after its start.
    pub warmup_left: Duration,
    /// Start, milliseconds since the Unix epoch.
    pub born_ms: u64,
}

/// One change of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryUpdate {
    /// Number of the endpoint.
    pub endpoint: u64,
    /// Store revision of the change.
    pub revision: u64,
    /// What the change was.
    pub change: Change,
}

/// What happened to an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// It was written.
    Written(Entry),
    /// It was removed.
    Removed,
    /// It was written and cannot be read: it names no endpoint for new flows.
    Unreadable,
}

/// When an entry was removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Removal {
    /// Moment at which the removal was seen.
    pub at: Moment,
    /// Time after which the endpoint is gone, unless its entry returns.
    pub hold: Duration,
}

/// One start of an endpoint.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Number that precedes its packets.
    pub id: u64,
    /// Entry, as last read.
    pub entry: Entry,
    /// Store revision of the last change.
    pub revision: u64,
    /// Tag of this start.
    pub tag: u32,
    /// Moment from which it answers at full speed.
    pub warm_at: Moment,
    /// Set when its entry was removed, or replaced by another start.
    pub removal: Option<Removal>,
}

impl Endpoint {
    /// Returns whether it may get new flows.
    pub fn accepts_flows(&self, now: Moment) -> bool {
        !self.entry.is_draining && !self.is_gone(now)
    }

    /// Returns whether its entry was removed for good.
    pub fn is_gone(&self, now: Moment) -> bool {
        self.gone_for(now).is_some()
    }

    /// Returns whether its entry was removed so lately that it may have lapsed only.
    pub fn may_have_lapsed(&self, now: Moment) -> bool {
        let is_recent = |gone: Duration| gone <= LAPSE_WINDOW;
        !self.entry.is_draining && self.gone_for(now).is_some_and(is_recent)
    }

    /// Returns from when on it is gone, unless its entry returns.
    pub fn gone_at(&self) -> Option<Moment> {
        self.removal.map(|removal| removal.at + removal.hold)
    }

    /// Returns how long it has been gone.
    pub fn gone_for(&self, now: Moment) -> Option<Duration> {
        let gone_at = self.gone_at()?;
        (now >= gone_at).then(|| now.since(gone_at))
    }

    /// Returns whether it still answers slowly after its start.
    pub fn is_cold(&self, now: Moment) -> bool {
        now < self.warm_at
    }
}
