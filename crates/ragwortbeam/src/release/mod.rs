//! Replicated configuration: services and endpoints, changed by numbered release notes.

mod apply;
mod log;
mod state;

pub use log::ReleaseLog;
pub use state::{Endpoint, Kind, Service, State};

use derive_more::Display;

/// Validation error of a release note or snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Display)]
#[display("release {number}: {field}: expected {expected}, found {found}")]
pub struct ValidationError {
    /// Release number of the note or snapshot.
    pub number: u64,
    /// Path of the invalid field, such as `added[0].name`.
    pub field: String,
    /// Description of the valid values.
    pub expected: String,
    /// Value found, or `nothing` for an empty one.
    pub found: String,
}
