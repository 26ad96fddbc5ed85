//! Steering tokens: four bytes in each packet of an open flow that identify its endpoint.
//!
//! A token is the tag of an endpoint instance XORed with a hash of the destination address.
//! A token that a caller reuses with another destination therefore matches no endpoint.

use std::net::SocketAddrV4;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Returns the tag of an endpoint instance; never 0, which marks a flow that is not open yet.
pub fn tag(endpoint: u64, born_ms: u64) -> u32 {
    let hash = xxh3_64_with_seed(&endpoint.to_be_bytes(), born_ms);
    (hash as u32).max(1)
}

/// Returns the mask that is XORed with the tag in tokens of flows to `address`.
pub fn address_mask(address: SocketAddrV4) -> u32 {
    let mut bytes = [0; 6];
    bytes[..4].copy_from_slice(&address.ip().octets());
    bytes[4..].copy_from_slice(&address.port().to_be_bytes());
    xxh3_64(&bytes) as u32
}
