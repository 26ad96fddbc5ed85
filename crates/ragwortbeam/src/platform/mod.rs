//! Client of the platform's configuration service, which is read and watched but never written.

mod http;
mod watch;

use std::pin::Pin;
use std::time::Duration;

pub use http::Http;
pub use watch::{read_all, refresh_list, run};

use crate::document;
use crate::errors::Result;

/// Future of a platform read, boxed so that the trait stays object safe.
pub type Reply<'a, T> = Pin<Box<dyn Future<Output = Result<T>> + Send + 'a>>;

/// Read access to the platform.
///
/// An implementation never writes, and each call is one read of the platform.
pub trait Platform: Send + Sync {
    /// Reads the latest snapshot.
    fn snapshot(&self) -> Reply<'_, document::Snapshot>;

    /// Waits up to `wait` for notes after release `after`; the list is empty if there are none by
    /// then. `None` means that the platform no longer keeps these notes, so that a snapshot has to
    /// be read.
    fn notes(&self, after: u64, wait: Duration) -> Reply<'_, Option<document::Notes>>;

    /// Reads the list of VMs.
    fn vms(&self) -> Reply<'_, document::VmList>;
}
