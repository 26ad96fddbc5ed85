//! Sockets towards callers: one listener for each service of this data centre.

mod listener;

pub use listener::{Listeners, bind_udp, run};
