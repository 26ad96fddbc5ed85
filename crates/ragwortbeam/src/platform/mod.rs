//! The platform's configuration service, read and watched but never written.

mod http;
mod watch;

use std::pin::Pin;
use std::time::Duration;

pub use http::Http;
pub use watch::{read_all, refresh_list, run};

use crate::document;
use crate::errors::Result;

/// Answer of a platform read, boxed so that the trait stays object safe.
pub type Reply<'a, T> = Pin<Box<dyn Future<Output = Result<T>> + Send + 'a>>;

/// Read access to the platform.
///
/// An implementation never writes, and each call is one read at the platform.
pub trait Platform: Send + Sync {
    /// Reads the newest snapshot.
    fn snapshot(&self) -> Reply<'_, document::Snapshot>;

    /// Waits up to `wait` for notes after `after`; `None` when the platform no longer
    /// keeps them and a snapshot has to be read.
    fn notes(&self, after: u64, wait: Duration) -> Reply<'_, Option<document::Notes>>;

    /// Reads the list of VMs.
    fn vms(&self) -> Reply<'_, document::VmList>;
}
