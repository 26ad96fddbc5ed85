//! Which VMs are alive: the platform's list joined with direct evidence from peers.

mod probe;
mod recent;
mod rumours;
mod table;
mod view;

pub use probe::{announce, join, ping, run};
pub use recent::{Recent, ReservationPeers};
pub use table::Table;
pub use view::{Member, View};
