//! Dispatch of callers' packets to endpoints, on the VM that owns the flow: requests, feeds
//! (CoAP observations) and opaque datagrams.

mod attempt;
pub mod choice;
pub mod datagrams;
pub mod feed;
pub mod notify;
pub mod pool;
pub mod relocation;
pub mod requests;
mod reserve;
pub mod retry;

pub use pool::Pools;
pub use relocation::handle_notification;
