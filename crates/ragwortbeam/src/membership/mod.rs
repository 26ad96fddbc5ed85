//! Which VMs are alive: the platform's list joined with direct evidence from peers.

mod probe;
mod rumours;
mod table;
mod view;

pub use probe::{greet, ping, run};
pub use table::Table;
pub use view::{Member, View};
