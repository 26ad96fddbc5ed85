//! Communication between VMs: frames over UDP and gRPC calls over TCP.

mod calls;
mod links;
mod proof;
pub mod receive;
pub mod releases;
mod socket;

pub use calls::serve;
pub use links::Links;
pub use socket::Peers;
