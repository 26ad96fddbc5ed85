//! Stand-ins and experiments around ragwortbeam. Never shipped.

#![forbid(unsafe_code)]

pub mod caller;
pub mod capacity;
pub mod ceiling;
pub mod checker;
pub mod crest;
pub mod demo;
pub mod echo;
pub mod fabric;
pub mod faults;
pub mod fleet;
pub mod history;
pub mod load;
pub mod network;
pub mod platform;
pub mod server;
pub mod soak;
pub mod spread;
pub mod steering_capacity;
pub mod throughput;
pub mod world;
