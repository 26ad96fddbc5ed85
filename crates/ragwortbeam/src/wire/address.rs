//! Binary encoding of socket addresses: the IP, then the port in big-endian order.

use std::net::{IpAddr, SocketAddr};

/// Encodes an address as 6 bytes (IPv4) or 18 bytes (IPv6).
pub fn encode(address: SocketAddr) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(18);
    match address.ip() {
        IpAddr::V4(ip) => bytes.extend_from_slice(&ip.octets()),
        IpAddr::V6(ip) => bytes.extend_from_slice(&ip.octets()),
    }
    bytes.extend_from_slice(&address.port().to_be_bytes());
    bytes
}

/// Decodes an address; `None` if the length is neither 6 nor 18 bytes.
pub fn decode(bytes: &[u8]) -> Option<SocketAddr> {
    let (ip, port) = bytes.split_last_chunk::<2>()?;
    let ip = if let Ok(octets) = <[u8; 4]>::try_from(ip) {
        IpAddr::from(octets)
    } else {
        IpAddr::from(<[u8; 16]>::try_from(ip).ok()?)
    };
    Some(SocketAddr::new(ip, u16::from_be_bytes(*port)))
}
