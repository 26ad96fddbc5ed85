//! Serving of packets on the flow's owner: requests, feeds and opaque datagrams.

mod attempt;
pub mod choice;
pub mod datagrams;
pub mod feed;
mod notify;
pub mod pool;
pub mod requests;
mod reserve;
pub mod retry;

pub use notify::notified;
pub use pool::Pools;
