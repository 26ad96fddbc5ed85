//! VMs among themselves: who is alive, who aggregates load, and how news spreads.
//!
//! Every VM sends heartbeats with its load to two hubs of its data centre, which answer
//! with the sum over all VMs, for the endpoints that the VM places flows on. Hubs do the
//! same with one hub of every other data centre. So the messages of a VM do not grow with
//! the fleet, and those of a hub grow with its data centre only.

pub mod columns;
mod digest;
mod heartbeat;
mod link;
mod members;
mod pull;
mod sums;

pub use heartbeat::{Pace, send_heartbeats};
pub use link::{PeerLink, receive};
pub use members::{Member, MembershipTable};
pub use pull::pull;
pub use sums::Sums;
