//! Flow records: their owners, replicas and hand-over between VMs.

pub mod at_most_once;
pub mod exchange;
pub mod handover;
pub mod key;
pub mod record;
pub mod replication;
pub mod route;
mod table;

pub use key::Key;
pub use record::Record;
pub use table::Table;
