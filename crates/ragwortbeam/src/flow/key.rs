//! What identifies a flow.

use std::net::{IpAddr, SocketAddr};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::id;
use crate::message::FlowKey;
use crate::wire::address;

/// A caller's address and the service it sends to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Key {
    /// Service.
    pub service: id::Service,
    /// Caller's address as the packets show it.
    pub caller: SocketAddr,
}

impl Key {
    /// Returns the hash that owners and endpoints are ranked by.
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

    /// Encodes the key for another VM.
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
