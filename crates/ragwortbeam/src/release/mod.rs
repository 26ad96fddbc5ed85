//! Configuration: services and endpoints, changed by numbered release notes.

mod apply;
mod book;
mod state;

pub use book::Book;
pub use state::{Endpoint, Kind, Service, State};

use derive_more::Display;

/// What is wrong with a release note or snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Display)]
#[display("release {number}: {field}: expected {expected}, found {found}")]
pub struct Fault {
    /// Number of the note or snapshot.
    pub number: u64,
    /// Path of the field.
    pub field: String,
    /// What the field has to be.
    pub expected: String,
    /// What it is.
    pub found: String,
}
