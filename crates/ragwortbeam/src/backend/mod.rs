//! Links to the endpoints of backend servers.

pub mod draining;
mod keepalive;
mod link;
mod links;

pub use link::{Failure, Link};
pub use links::Links;
