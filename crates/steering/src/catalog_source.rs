//! Interface to the store that publishes the configuration and the endpoints.

use std::pin::Pin;
use std::time::Duration;

use crate::catalog::{Configuration, EntryUpdate, EvacuationUpdate, Revision};
use crate::errors::Result;

/// Full contents of the store, or the changes since an earlier revision.
#[derive(Clone, Debug, Default)]
pub struct CatalogUpdate {
    /// Store revision up to which all changes are included.
    pub revision: Revision,
    /// Configuration; `None` when it is not included or cannot be decoded.
    pub configuration: Option<Configuration>,
    /// Changes of endpoint entries.
    pub entry_updates: Vec<EntryUpdate>,
    /// Changes of evacuation orders.
    pub evacuation_updates: Vec<EvacuationUpdate>,
}

/// Result of a [`CatalogSource`] call: a boxed future, so that the trait is dyn-compatible.
pub type SourceFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T>> + Send + 'a>>;

/// Read access to the store. Implementations never write.
pub trait CatalogSource: Send + Sync {
    /// Reads the configuration, all endpoint entries and all evacuation orders. Changes made during the reading may be
    /// missing, but all changes up to the revision of the result are included.
    fn read_all(&self) -> SourceFuture<'_, CatalogUpdate>;

    /// Waits up to `wait` for changes after `revision`. Returns `None` when the store no longer
    /// has the history since `revision`, or was restored from a copy since, so that everything has
    /// to be read again.
    fn watch(&self, revision: Revision, wait: Duration) -> SourceFuture<'_, Option<CatalogUpdate>>;
}
