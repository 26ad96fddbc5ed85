//! Group membership: the platform's VM list combined with failure detection between VMs.

mod probe;
mod rumours;
mod table;
mod view;
mod view_history;

pub use probe::{announce, join, ping, run};
pub use table::Table;
pub use view::{Member, View};
pub use view_history::{ReservationPeers, ViewHistory};
