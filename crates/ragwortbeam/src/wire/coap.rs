//! CoAP messages (RFC 7252) as this project reads and builds them.

use coap_lite::{CoapOption, MessageClass, MessageType, Packet, RequestType, ResponseType};
use xxhash_rust::xxh3::Xxh3;

use crate::refusal::{Reason, Refusal};
use crate::verdict::Verdict;

/// Largest caller datagram of a `requests` service, bytes.
pub const MAX_MESSAGE_LEN: usize = 1280;

/// Length of the fixed header (RFC 7252, section 3), bytes.
const HEADER_LEN: usize = 4;

/// Remaining time the caller allows, milliseconds, big endian. Elective, safe to forward.
pub const OPTION_DEADLINE: u16 = 65_020;

/// Verdict of an answer, one byte.
pub const OPTION_VERDICT: u16 = 65_084;

/// Refusal reason of an answer, text.
pub const OPTION_REASON: u16 = 65_116;

/// Options whose meaning is known here; others that are unsafe to forward are refused
/// (RFC 7252, section 5.7.1).
const KNOWN_UNSAFE: [u16; 9] = [3, 7, 9, 11, 14, 15, 6, 23, 27];

const OPTION_PROXY_URI: u16 = 35;
const OPTION_PROXY_SCHEME: u16 = 39;
const OPTION_MAX_AGE: u16 = 14;
const DEFAULT_MAX_AGE_S: u64 = 60;

/// Token of at most 8 bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Default)]
pub struct Token {
    len: u8,
    bytes: [u8; 8],
}

impl Token {
    /// Returns the token with these bytes; those past the eighth are cut off.
    pub fn new(bytes: &[u8]) -> Self {
        let len = bytes.len().min(8);
        let mut token = Self {
            len: len as u8,
            bytes: [0; 8],
        };
        token.bytes[..len].copy_from_slice(&bytes[..len]);
        token
    }

    /// Returns the bytes in use.
    pub fn as_bytes(&self) -> &[u8] {
        &self.bytes[..usize::from(self.len)]
    }
}

/// Decodes a caller's datagram.
///
/// # Errors
///
/// The reason to count.
pub fn decode(datagram: &[u8]) -> Result<Packet, Reason> {
    if datagram.len() < HEADER_LEN {
        return Err(Reason::DatagramShort);
    }
    if datagram.len() > MAX_MESSAGE_LEN {
        return Err(Reason::DatagramLong);
    }
    let packet = Packet::from_bytes(datagram).map_err(|_| Reason::DatagramMalformed)?;
    let is_empty = packet.header.code == MessageClass::Empty;
    if packet.header.get_version() != 1 || (is_empty && datagram.len() != HEADER_LEN) {
        return Err(Reason::DatagramMalformed);
    }
    Ok(packet)
}

/// Encodes a message.
///
/// # Panics
///
/// Panics when the message has a token above 8 bytes, which [`decode`] excludes.
pub fn encode(packet: &Packet) -> Vec<u8> {
    packet
        .to_bytes_with_limit(usize::from(u16::MAX))
        .expect("decoded and built messages encode")
}

/// Returns the request code, or `None` for other messages.
pub fn request_type(packet: &Packet) -> Option<RequestType> {
    match packet.header.code {
        MessageClass::Request(request) => Some(request),
        _ => None,
    }
}

/// Returns whether running a request twice has the effect of running it once.
pub fn is_idempotent(request: RequestType) -> bool {
    use RequestType::{Delete, Fetch, Get, IPatch, Put};
    matches!(request, Get | Put | Delete | Fetch | IPatch)
}

/// Returns whether a request registers an observation (RFC 7641, section 2).
pub fn is_registration(packet: &Packet) -> bool {
    request_type(packet) == Some(RequestType::Get) && observe(packet) == Some(0)
}

/// Returns whether a request ends an observation.
pub fn is_deregistration(packet: &Packet) -> bool {
    request_type(packet) == Some(RequestType::Get) && observe(packet) == Some(1)
}

/// Returns the Observe value.
pub fn observe(packet: &Packet) -> Option<u32> {
    packet.get_observe_value()?.ok()
}

/// Checks the options of a request.
///
/// # Errors
///
/// The reason to answer with.
pub fn check_options(packet: &Packet) -> Result<(), Reason> {
    for (number, _) in packet.options() {
        if matches!(*number, OPTION_PROXY_URI | OPTION_PROXY_SCHEME) {
            return Err(Reason::Proxying);
        }
        let is_unsafe = number & 2 != 0;
        if is_unsafe && !KNOWN_UNSAFE.contains(number) {
            return Err(Reason::OptionUnknown);
        }
    }
    Ok(())
}

/// Returns the deadline option, milliseconds.
pub fn deadline_ms(packet: &Packet) -> Option<u64> {
    uint_option(packet, OPTION_DEADLINE)
}

/// Sets the deadline option.
pub fn set_deadline_ms(packet: &mut Packet, ms: u64) {
    set_uint_option(packet, OPTION_DEADLINE, ms);
}

/// Returns the number of the requested or answered block (RFC 7959), 0 without one.
pub fn block_number(packet: &Packet) -> u64 {
    uint_option(packet, CoapOption::Block2.into()).map_or(0, |value| value >> 4)
}

/// Returns whether an answer says that more blocks follow.
pub fn has_more_blocks(packet: &Packet) -> bool {
    uint_option(packet, CoapOption::Block2.into()).is_some_and(|value| value & 8 != 0)
}

/// Returns the time for which an answer is fresh, seconds (RFC 7252, section 5.10.5).
pub fn max_age_s(packet: &Packet) -> u64 {
    uint_option(packet, OPTION_MAX_AGE).unwrap_or(DEFAULT_MAX_AGE_S)
}

/// Returns the answer's verdict option.
pub fn verdict(packet: &Packet) -> Option<Verdict> {
    Verdict::from_code(uint_option(packet, OPTION_VERDICT)? as u8)
}

/// Returns the hash of path and query.
pub fn resource_hash(packet: &Packet) -> u64 {
    let mut hasher = Xxh3::new();
    for option in [CoapOption::UriPath, CoapOption::UriQuery] {
        for segment in packet.get_option(option).into_iter().flatten() {
            hasher.update(&(segment.len() as u32).to_le_bytes());
            hasher.update(segment);
        }
    }
    hasher.digest()
}

/// Returns an empty message that resets or acknowledges message `id`.
pub fn empty(kind: MessageType, id: u16) -> Packet {
    let mut packet = Packet::new();
    packet.header.set_type(kind);
    packet.header.code = MessageClass::Empty;
    packet.header.message_id = id;
    packet
}

/// Returns an answer to `request` with this code and no body: piggybacked on the
/// acknowledgement when the request is confirmable (RFC 7252, section 5.2.1).
pub fn answer(request: &Packet, code: ResponseType) -> Packet {
    let mut packet = Packet::new();
    packet.header.code = MessageClass::Response(code);
    match_answer_to_request(request, &mut packet);
    packet
}

/// Turns an answer of a backend server into one for the caller's own request.
pub fn match_answer_to_request(request: &Packet, answer: &mut Packet) {
    let is_confirmable = request.header.get_type() == MessageType::Confirmable;
    answer.header.set_type(if is_confirmable {
        MessageType::Acknowledgement
    } else {
        MessageType::NonConfirmable
    });
    answer.header.message_id = request.header.message_id;
    answer.set_token(request.get_token().to_vec());
}

/// Returns the answer that tells a caller of a refusal.
pub fn refuse(request: &Packet, refusal: Refusal, retry_after_s: u32) -> Packet {
    let code = match (refusal.reason, refusal.verdict) {
        (Reason::OptionUnknown, _) => ResponseType::BadOption,
        (Reason::Proxying, _) => ResponseType::ProxyingNotSupported,
        (_, Verdict::NotRun) => ResponseType::ServiceUnavailable,
        _ => ResponseType::GatewayTimeout,
    };
    let mut packet = answer(request, code);
    if code == ResponseType::ServiceUnavailable {
        set_uint_option(&mut packet, OPTION_MAX_AGE, u64::from(retry_after_s));
    }
    set_uint_option(
        &mut packet,
        OPTION_VERDICT,
        u64::from(refusal.verdict.code()),
    );
    packet.add_option(
        CoapOption::Unknown(OPTION_REASON),
        refusal.reason.to_string().into_bytes(),
    );
    packet
}

/// Returns whether an answer says that the server did not run the request.
pub fn is_shed(answer: &Packet) -> bool {
    answer.header.code == MessageClass::Response(ResponseType::ServiceUnavailable)
}

/// Returns whether an answer reports success.
pub fn is_success(answer: &Packet) -> bool {
    u8::from(answer.header.code) >> 5 == 2
}

fn uint_option(packet: &Packet, number: u16) -> Option<u64> {
    let value = packet.get_option(CoapOption::from(number))?.front()?;
    if value.len() > 8 {
        return None;
    }
    let digits = value.iter();
    Some(digits.fold(0, |number, byte| number << 8 | u64::from(*byte)))
}

fn set_uint_option(packet: &mut Packet, number: u16, value: u64) {
    let option = CoapOption::from(number);
    packet.clear_option(option);
    let bytes = value.to_be_bytes();
    let first = bytes.iter().position(|byte| *byte != 0).unwrap_or(8);
    packet.add_option(option, bytes[first..].to_vec());
}
