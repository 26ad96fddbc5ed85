//! Simulated peers, fault tests and benchmarks for ragwortbeam; not part of the shipped software.

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
pub mod proxy;
pub mod server;
pub mod soak;
pub mod spread;
pub mod steering_capacity;
pub mod throughput;
pub mod world;
