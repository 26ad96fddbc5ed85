//! Links to backend servers.

mod keepalive;
pub mod leaving;
mod link;
mod links;

pub use link::{Failure, Link};
pub use links::Links;
