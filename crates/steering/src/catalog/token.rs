//! Steering tokens: four bytes in every packet of a flow that name its endpoint.
//!
//! A token is the endpoint's tag, masked with a hash of the address that the caller uses.
//! A token that a caller carries to another address therefore names no endpoint there.

use std::net::SocketAddrV4;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Returns the tag of an endpoint's start; never 0, which marks an unopened flow.
pub fn tag(endpoint: u64, born_ms: u64) -> u32 {
    let hash = xxh3_64_with_seed(&endpoint.to_be_bytes(), born_ms);
    (hash as u32).max(1)
}

/// Returns the mask of tokens on flows to `address`.
pub fn address_mask(address: SocketAddrV4) -> u32 {
    let mut bytes = [0; 6];
    bytes[..4].copy_from_slice(&address.ip().octets());
    bytes[4..].copy_from_slice(&address.port().to_be_bytes());
    xxh3_64(&bytes) as u32
}
