//! Gossip between VMs: membership, load aggregation by hubs, and catalog replication.
//!
//! Every VM sends heartbeats with its load to two hubs: the other VMs of its data centre with the
//! highest weights. A hub answers with the sum over all other VMs for the endpoints in the sender's
//! subset. Hubs exchange the sums of their data centres with one hub of every remote data centre.
//! The traffic of a VM therefore does not grow with the fleet, and that of a hub grows only with
//! its data centre. The first hub also counts the VMs of its data centre and decides for them
//! whether they stay in rotation.

mod aggregate;
pub mod columns;
mod digest;
mod heartbeat;
mod link;
mod members;
mod placement;
mod pull;
mod rotation;

pub use aggregate::LoadAggregate;
pub use heartbeat::{HeartbeatPacing, send_heartbeats};
pub use link::{PeerLink, receive_frames};
pub use members::{Member, MembershipTable};
pub use placement::{ReceivedAnswer, expire_leases};
pub use pull::pull_catalog;
