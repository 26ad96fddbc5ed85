//! Encodings: frames between VMs and CoAP messages of callers and backend servers.

pub mod address;
pub mod coap;
pub mod frame;
