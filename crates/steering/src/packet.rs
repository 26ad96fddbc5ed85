//! Packets of flows, independent of their wire format, and the codec for that format.

use std::net::SocketAddrV4;

/// Control flags of a packet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Flags {
    /// The packet opens a flow.
    pub opens: bool,
    /// The packet acknowledges received bytes.
    pub acknowledges: bool,
    /// The sender sends no more data; the opposite direction stays open.
    pub finishes: bool,
    /// The packet aborts the flow in both directions.
    pub resets: bool,
}

/// Header of a caller's packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Packet {
    /// Source address.
    pub caller: SocketAddrV4,
    /// Destination address, which selects the route.
    pub destination: SocketAddrV4,
    /// Control flags.
    pub flags: Flags,
    /// Steering token; 0 on an opening packet.
    pub token: u32,
    /// Sequence number of the first byte of data; wraps around.
    pub sequence: u32,
    /// Sequence number of the next byte that the caller expects; wraps around. On an opening
    /// packet, the number of earlier transmissions of it.
    pub acknowledged: u32,
    /// Length of the payload, bytes.
    pub data_len: u16,
}

/// Decodes and encodes the packet format of a platform.
///
/// Implementations are pure: the same input gives the same output.
pub trait Codec: Send + Sync {
    /// Decodes a caller's datagram; `None` when it is malformed.
    fn decode(&self, datagram: &[u8]) -> Option<Packet>;

    /// Replaces `out` by the datagram for an endpoint: the endpoint's identifier and the caller's
    /// packet. A `token` replaces the packet's own; `None` keeps it.
    fn forward(&self, datagram: &[u8], endpoint: u64, token: Option<u32>, out: &mut Vec<u8>);

    /// Replaces `out` by a packet that resets the flow of `packet` at its caller.
    fn reset(&self, packet: &Packet, out: &mut Vec<u8>);
}
