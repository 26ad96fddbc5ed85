//! The border to whatever publishes the configuration and the endpoints.

use std::pin::Pin;
use std::time::Duration;

use crate::catalog::{Configuration, EntryUpdate};
use crate::errors::Result;

/// What the publisher holds, or what has changed there.
#[derive(Clone, Debug, Default)]
pub struct Publication {
    /// Revision up to which all changes are included.
    pub revision: u64,
    /// Configuration, when it is included and readable.
    pub configuration: Option<Configuration>,
    /// Endpoints' entries.
    pub items: Vec<EntryUpdate>,
}

/// Answer of a publisher, boxed so that the trait stays object safe.
pub type Reply<'a, T> = Pin<Box<dyn Future<Output = Result<T>> + Send + 'a>>;

/// Read access to the published state. An implementation never writes.
pub trait Publisher: Send + Sync {
    /// Reads everything. Changes made meanwhile may be missing, but none up to the
    /// revision of the answer.
    fn read_all(&self) -> Reply<'_, Publication>;

    /// Waits up to `wait` for changes after `revision`; `None` when the publisher no
    /// longer knows them and everything has to be read.
    fn changes(&self, revision: u64, wait: Duration) -> Reply<'_, Option<Publication>>;
}
