//! Routes and endpoints as this VM knows them, and how current that knowledge is.

mod configuration;
mod endpoint;
mod exchange;
mod store;
mod token;

pub use configuration::{Configuration, Route, Target, Traffic};
pub use endpoint::{Change, Endpoint, EndpointKey, Entry, EntryUpdate, Removal};
pub use store::{Catalog, MergeSummary};
pub use token::{address_mask, tag};
