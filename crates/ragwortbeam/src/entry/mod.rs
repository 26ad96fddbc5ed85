//! UDP sockets for callers: one listener per service of this data centre.

mod listener;

pub use listener::{Listeners, bind_udp, run};
