//! Steers packets of flows to endpoints, which respond to their callers directly.
//!
//! A VM needs no flow state to steer a packet of an open flow: the packet carries a token that
//! identifies the endpoint. See `docs/PLATFORM.md`.

pub mod catalog;
pub mod catalog_source;
pub mod choice;
pub mod errors;
pub mod flow;
pub mod http_server;
pub mod load;
pub mod mesh;
pub mod node;
pub mod packet;
pub mod placement;
pub mod prelude;
pub mod reader;
pub mod reset;
pub mod rotation;
pub mod settings;
pub mod steer;
pub mod subset;

#[allow(missing_docs, clippy::all, clippy::pedantic)]
mod generated;

/// Messages between VMs, generated from `schema/steering.proto`.
pub use generated::ragwortbeam::steering::v1 as message;
