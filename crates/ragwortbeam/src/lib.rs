//! Layer-4 load balancer for small fleets of entry VMs behind a packet-spraying fabric.
//!
//! Every VM of a data centre listens for every service. Rendezvous hashing selects one VM as the
//! owner of each flow, and the other VMs forward the flow's packets to it. See `docs/DESIGN.md`.

pub mod admin;
pub mod backend;
pub mod commands;
pub mod dispatch;
pub mod entry;
pub mod errors;
pub mod flow;
pub mod id;
pub mod membership;
pub mod node;
pub mod peer;
pub mod platform;
pub mod prelude;
pub mod refusal;
pub mod release;
pub mod settings;
pub mod verdict;
pub mod wire;

pub use ragwortbeam_base::{clock, logging};

#[allow(missing_docs, clippy::all, clippy::pedantic)]
mod generated;

/// Messages between VMs, generated from `schema/peer.proto`.
pub use generated::ragwortbeam::peer::v1 as message;
/// Documents that the platform serves, generated from `schema/release.proto`.
pub use generated::ragwortbeam::release::v1 as document;
