//! Wire formats: frames between VMs, socket addresses, and CoAP messages.

pub mod address;
pub mod coap;
pub mod frame;
