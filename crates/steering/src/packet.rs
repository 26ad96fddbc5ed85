//! Packets of flows as the product sees them, and the border to their format.

use std::net::SocketAddrV4;

/// What a packet does to its flow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Flags {
    /// Opens a flow.
    pub opens: bool,
    /// Acknowledges bytes.
    pub acknowledges: bool,
    /// Ends the sender's direction.
    pub finishes: bool,
    /// Ends the flow at once.
    pub resets: bool,
}

/// A caller's packet without its data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Packet {
    /// Caller's end.
    pub caller: SocketAddrV4,
    /// Address that the caller uses, which a route names.
    pub destination: SocketAddrV4,
    /// Flags.
    pub flags: Flags,
    /// Steering token; 0 on an opening packet.
    pub token: u32,
    /// Number of the first byte of data.
    pub sequence: u32,
    /// Next byte that the caller expects. On an opening packet, the copies sent before.
    pub acknowledged: u32,
    /// Length of the data, bytes.
    pub data_len: u16,
}

/// Reads and writes the packet format of a platform.
///
/// Implementations are pure: the same input gives the same output.
pub trait Codec: Send + Sync {
    /// Decodes a caller's datagram; `None` when it is not a packet.
    fn decode(&self, datagram: &[u8]) -> Option<Packet>;

    /// Writes into `out` the datagram for an endpoint: the endpoint's number and the
    /// caller's packet, with `token` in place of its own when one is given.
    fn forward(&self, datagram: &[u8], endpoint: u64, token: Option<u32>, out: &mut Vec<u8>);

    /// Writes into `out` a reset of the packet's flow towards its caller.
    fn reset(&self, packet: &Packet, out: &mut Vec<u8>);
}
