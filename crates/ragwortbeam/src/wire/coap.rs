//! Decoding, inspection and construction of CoAP messages (RFC 7252).

use coap_lite::{CoapOption, MessageClass, MessageType, Packet, RequestType, ResponseType};
use xxhash_rust::xxh3::Xxh3;

use crate::refusal::{Reason, Refusal};
use crate::verdict::Verdict;

/// Maximum length of a caller's datagram to a `requests` service, bytes.
pub const MAX_MESSAGE_LEN: usize = 1280;

/// Length of the fixed header (RFC 7252, section 3), bytes.
const HEADER_LEN: usize = 4;

/// Number of the option for the remaining time that the caller allows, milliseconds, big endian.
/// Elective and safe to forward.
pub const OPTION_DEADLINE: u16 = 65_020;

/// Number of the option for the verdict of an answer, one byte.
pub const OPTION_VERDICT: u16 = 65_084;

/// Number of the option for the reason of a refusal, text.
pub const OPTION_REASON: u16 = 65_116;

/// Numbers of unsafe-to-forward options that this proxy understands: Uri-Host, Uri-Port, OSCORE,
/// Uri-Path, Max-Age, Uri-Query, Observe, Block2 and Block1. Requests with any other such option
/// are refused (RFC 7252, section 5.7.1).
const SUPPORTED_UNSAFE_OPTIONS: [u16; 9] = [3, 7, 9, 11, 14, 15, 6, 23, 27];

const OPTION_PROXY_URI: u16 = 35;
const OPTION_PROXY_SCHEME: u16 = 39;
const OPTION_MAX_AGE: u16 = 14;
const DEFAULT_MAX_AGE_S: u64 = 60;

/// CoAP token of at most 8 bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Default)]
pub struct Token {
    len: u8,
    bytes: [u8; 8],
}

impl Token {
    /// Returns the token with these bytes; bytes after the eighth are dropped.
    pub fn new(bytes: &[u8]) -> Self {
        let len = bytes.len().min(8);
        let mut token = Self {
            len: len as u8,
            bytes: [0; 8],
        };
        token.bytes[..len].copy_from_slice(&bytes[..len]);
        token
    }

    /// Returns the bytes of the token.
    pub fn as_bytes(&self) -> &[u8] {
        &self.bytes[..usize::from(self.len)]
    }
}

/// Decodes a caller's datagram.
///
/// # Errors
///
/// The reason of the refusal if the datagram is too short, too long or malformed.
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

/// Encodes a message as a datagram.
///
/// # Panics
///
/// Panics if the message has a token of more than 8 bytes, which [`decode`] excludes.
pub fn encode(packet: &Packet) -> Vec<u8> {
    packet
        .to_bytes_with_limit(usize::from(u16::MAX))
        .expect("the token has at most 8 bytes")
}

/// Returns the method of a request, or `None` if the message is not a request.
pub fn request_type(packet: &Packet) -> Option<RequestType> {
    match packet.header.code {
        MessageClass::Request(request) => Some(request),
        _ => None,
    }
}

/// Returns whether executing the request twice has the same effect as executing it once.
pub fn is_idempotent(request: RequestType) -> bool {
    use RequestType::{Delete, Fetch, Get, IPatch, Put};
    matches!(request, Get | Put | Delete | Fetch | IPatch)
}

/// Returns whether a request registers an observation (RFC 7641, section 2).
pub fn is_registration(packet: &Packet) -> bool {
    request_type(packet) == Some(RequestType::Get) && observe(packet) == Some(0)
}

/// Returns whether a request ends an observation (RFC 7641, section 2).
pub fn is_deregistration(packet: &Packet) -> bool {
    request_type(packet) == Some(RequestType::Get) && observe(packet) == Some(1)
}

/// Returns the value of the Observe option, or `None` if it is absent or malformed.
pub fn observe(packet: &Packet) -> Option<u32> {
    packet.get_observe_value()?.ok()
}

/// Checks the options of a request.
///
/// # Errors
///
/// The reason of the refusal if the request asks for proxying or has an unknown option that is
/// unsafe to forward.
pub fn check_options(packet: &Packet) -> Result<(), Reason> {
    for (number, _) in packet.options() {
        if matches!(*number, OPTION_PROXY_URI | OPTION_PROXY_SCHEME) {
            return Err(Reason::Proxying);
        }
        let is_unsafe = number & 2 != 0;
        if is_unsafe && !SUPPORTED_UNSAFE_OPTIONS.contains(number) {
            return Err(Reason::OptionUnknown);
        }
    }
    Ok(())
}

/// Returns the value of the deadline option, milliseconds, or `None` if it is absent.
pub fn deadline_ms(packet: &Packet) -> Option<u64> {
    uint_option(packet, OPTION_DEADLINE)
}

/// Sets the deadline option to `ms` milliseconds.
pub fn set_deadline_ms(packet: &mut Packet, ms: u64) {
    set_uint_option(packet, OPTION_DEADLINE, ms);
}

/// Returns the block number of the Block2 option (RFC 7959), or 0 without the option.
pub fn block_number(packet: &Packet) -> u64 {
    uint_option(packet, CoapOption::Block2.into()).map_or(0, |value| value >> 4)
}

/// Returns whether the Block2 option of an answer says that more blocks follow.
pub fn has_more_blocks(packet: &Packet) -> bool {
    uint_option(packet, CoapOption::Block2.into()).is_some_and(|value| value & 8 != 0)
}

/// Returns the Max-Age of an answer, seconds. Default 60 (RFC 7252, section 5.10.5).
pub fn max_age_s(packet: &Packet) -> u64 {
    uint_option(packet, OPTION_MAX_AGE).unwrap_or(DEFAULT_MAX_AGE_S)
}

/// Returns the verdict of an answer, or `None` if the option is absent or its value is unknown.
pub fn verdict(packet: &Packet) -> Option<Verdict> {
    Verdict::from_code(uint_option(packet, OPTION_VERDICT)? as u8)
}

/// Returns the hash of a request's path and query, which identifies the resource of a block-wise
/// transfer.
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

/// Returns an empty message of type `kind`, such as a reset or an acknowledgement, for message
/// `id`.
pub fn empty(kind: MessageType, id: u16) -> Packet {
    let mut packet = Packet::new();
    packet.header.set_type(kind);
    packet.header.code = MessageClass::Empty;
    packet.header.message_id = id;
    packet
}

/// Returns an answer to `request` with this code and without a body. It is piggybacked on the
/// acknowledgement if the request is confirmable (RFC 7252, section 5.2.1).
pub fn empty_answer(request: &Packet, code: ResponseType) -> Packet {
    let mut packet = Packet::new();
    packet.header.code = MessageClass::Response(code);
    match_answer_to_request(request, &mut packet);
    packet
}

/// Sets type, message id and token of a backend server's answer to those that the caller expects
/// for `request`.
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

/// Returns the answer that reports a refusal to the caller.
///
/// `retry_after_s` becomes the Max-Age of a 5.03 answer, seconds.
pub fn refuse(request: &Packet, refusal: Refusal, retry_after_s: u32) -> Packet {
    let code = match (refusal.reason, refusal.verdict) {
        (Reason::OptionUnknown, _) => ResponseType::BadOption,
        (Reason::Proxying, _) => ResponseType::ProxyingNotSupported,
        (_, Verdict::NotRun) => ResponseType::ServiceUnavailable,
        _ => ResponseType::GatewayTimeout,
    };
    let mut packet = empty_answer(request, code);
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

/// Returns whether the backend server shed the request, that is, refused it without executing it.
pub fn is_shed(answer: &Packet) -> bool {
    answer.header.code == MessageClass::Response(ResponseType::ServiceUnavailable)
}

/// Returns whether an answer has a success code (2.xx).
pub fn is_success(answer: &Packet) -> bool {
    u8::from(answer.header.code) >> 5 == 2
}

fn uint_option(packet: &Packet, number: u16) -> Option<u64> {
    let value = packet.get_option(CoapOption::from(number))?.front()?;
    if value.len() > 8 {
        return None;
    }
    let bytes = value.iter();
    Some(bytes.fold(0, |number, byte| number << 8 | u64::from(*byte)))
}

fn set_uint_option(packet: &mut Packet, number: u16, value: u64) {
    let option = CoapOption::from(number);
    packet.clear_option(option);
    let bytes = value.to_be_bytes();
    let first_nonzero = bytes.iter().position(|byte| *byte != 0).unwrap_or(8);
    packet.add_option(option, bytes[first_nonzero..].to_vec());
}
