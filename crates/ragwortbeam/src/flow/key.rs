//! Key of a flow: its service and its caller's address.

use std::net::{IpAddr, SocketAddr};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::id;
use crate::message::FlowKey;
use crate::wire::address;

/// Identifies a flow by its service and its caller's address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Key {
    /// Service that the caller sends to.
    pub service: id::Service,
    /// Source address of the caller's packets.
    pub caller: SocketAddr,
}

impl Key {
    /// Returns the hash by which the flow's owners and endpoints are ranked.
    pub fn hash(&self) -> u64 {
        let mut bytes = [0; 18];
        let len = match self.caller.ip() {
            IpAddr::V4(ip) => {
                bytes[..4].copy_from_slice(&ip.octets());
                4
            }
            IpAddr::V6(ip) => {
                bytes[..16].copy_from_slice(&ip.octets());
                16
            }
        };
        bytes[len..len + 2].copy_from_slice(&self.caller.port().to_be_bytes());
        xxh3_64_with_seed(&bytes[..len + 2], self.service.0)
    }

    /// Encodes the key for a message to another VM.
    pub fn to_message(self) -> FlowKey {
        FlowKey {
            caller: address::encode(self.caller),
            service: self.service.0,
        }
    }

    /// Decodes a key; `None` when the caller's address is malformed.
    pub fn from_message(message: &FlowKey) -> Option<Self> {
        Some(Self {
            service: id::Service(message.service),
            caller: address::decode(&message.caller)?,
        })
    }
}
