//! This VM's replica of the routes and endpoints, with its store revision and its age.

mod configuration;
mod endpoint;
mod evacuation;
mod revision;
mod store;
mod token;
mod wire;

pub use configuration::{Configuration, Route, Target, Traffic, Warmup};
pub use endpoint::{
    Change, Endpoint, EndpointKey, Entry, EntryError, EntryUpdate, LAPSED_ENTRY_HOLD, Removal,
    RestoredEntry,
};
pub use evacuation::{EvacuationUpdate, Evacuations};
pub use revision::Revision;
pub use store::{Catalog, MergeSummary, StateId};
pub use token::{address_mask, tag};
pub use wire::saturating_ms;
