//! Refusal of invalid, replayed and outdated frames between VMs.

use proptest::prelude::*;
use prost::Message;
use ragwortbeam::clock;
use ragwortbeam::id;
use ragwortbeam::message::frame::Body;
use ragwortbeam::message::{Frame, Ping};
use ragwortbeam::refusal::Reason;
use ragwortbeam::wire::frame::{Key, MAX_FRAME_LEN, MAX_SKEW_MS, Opener, Sealer};

struct Case {
    name: &'static str,
    datagram: Vec<u8>,
    reason: Reason,
}

fn key() -> Key {
    Key::derive(&[7; 32])
}

fn sealer(incarnation: u64) -> Sealer {
    Sealer::new(key(), id::Vm::of("vm-1"), incarnation)
}

fn any_sender(_: id::Vm) -> bool {
    true
}

fn ping() -> Body {
    Body::Ping(Ping {
        nonce: 3,
        ..Ping::default()
    })
}

/// Encodes a frame, valid or not, and appends a valid MAC.
fn encode_with_mac(frame: &Frame) -> Vec<u8> {
    let mut datagram = frame.encode_to_vec();
    let mac = key().mac(&datagram);
    datagram.extend_from_slice(&mac);
    datagram
}

fn frame(sent_at_ms: u64, body: Option<Body>) -> Frame {
    Frame {
        sender: 1,
        incarnation: 1,
        sequence: 1,
        sent_at_ms,
        body,
    }
}

#[test]
fn invalid_frames_are_refused_with_their_reason() {
    let now_ms = clock::wall_ms();
    let valid = sealer(1).seal(ping());
    let mut with_flipped_bit = valid.clone();
    with_flipped_bit[3] ^= 1;
    let mut undecodable = vec![0xff; 12];
    let mac = key().mac(&undecodable);
    undecodable.extend_from_slice(&mac);
    let other_key = Sealer::new(Key::derive(&[8; 32]), id::Vm::of("vm-1"), 1);
    let cases = [
        Case {
            name: "empty",
            datagram: Vec::new(),
            reason: Reason::FrameShort,
        },
        Case {
            name: "only a MAC",
            datagram: vec![0; 16],
            reason: Reason::FrameShort,
        },
        Case {
            name: "oversized",
            datagram: vec![0; MAX_FRAME_LEN + 1],
            reason: Reason::FrameLong,
        },
        Case {
            name: "truncated",
            datagram: valid[..valid.len() - 1].to_vec(),
            reason: Reason::FrameMac,
        },
        Case {
            name: "one bit changed",
            datagram: with_flipped_bit,
            reason: Reason::FrameMac,
        },
        Case {
            name: "another key",
            datagram: other_key.seal(ping()),
            reason: Reason::FrameMac,
        },
        Case {
            name: "not a protobuf message",
            datagram: undecodable,
            reason: Reason::FrameMalformed,
        },
        Case {
            name: "unknown kind",
            datagram: encode_with_mac(&frame(now_ms, None)),
            reason: Reason::FrameUnknownKind,
        },
        Case {
            name: "too old",
            datagram: encode_with_mac(&frame(now_ms - MAX_SKEW_MS - 1, Some(ping()))),
            reason: Reason::FrameStale,
        },
        Case {
            name: "sent in the future",
            datagram: encode_with_mac(&frame(now_ms + MAX_SKEW_MS + 1, Some(ping()))),
            reason: Reason::FrameStale,
        },
    ];
    let opener = Opener::new(key());
    for case in cases {
        let result = opener.open(&case.datagram, now_ms, any_sender);
        assert_eq!(result, Err(case.reason), "{}", case.name);
    }
    assert!(opener.open(&valid, now_ms, any_sender).is_ok());
}

#[test]
fn a_replayed_frame_is_refused() {
    let now_ms = clock::wall_ms();
    let opener = Opener::new(key());
    let sealer = sealer(1);
    let frames: Vec<_> = (0..2000).map(|_| sealer.seal(ping())).collect();
    assert!(opener.open(&frames[5], now_ms, any_sender).is_ok());
    assert!(
        opener.open(&frames[2], now_ms, any_sender).is_ok(),
        "received out of order"
    );
    assert_eq!(
        opener.open(&frames[5], now_ms, any_sender),
        Err(Reason::FrameReplayed)
    );
    assert_eq!(
        opener.open(&frames[2], now_ms, any_sender),
        Err(Reason::FrameReplayed)
    );
    assert!(opener.open(&frames[1999], now_ms, any_sender).is_ok());
    assert_eq!(
        opener.open(&frames[3], now_ms, any_sender),
        Err(Reason::FrameReplayed),
        "below the window"
    );
    assert!(opener.open(&frames[1998], now_ms, any_sender).is_ok());
}

/// A holder of the key may send any sequence number.
#[test]
fn the_highest_sequence_numbers_are_accepted_once() {
    let now_ms = clock::wall_ms();
    let opener = Opener::new(key());
    for sequence in [1, u64::MAX - 1, u64::MAX] {
        let frame = Frame {
            sequence,
            ..frame(now_ms, Some(ping()))
        };
        let datagram = encode_with_mac(&frame);
        assert!(opener.open(&datagram, now_ms, any_sender).is_ok());
        assert_eq!(
            opener.open(&datagram, now_ms, any_sender),
            Err(Reason::FrameReplayed),
            "{sequence}"
        );
    }
}

#[test]
fn a_frame_of_an_earlier_incarnation_is_refused() {
    let now_ms = clock::wall_ms();
    let opener = Opener::new(key());
    let earlier_sealer = sealer(1);
    assert!(
        opener
            .open(&earlier_sealer.seal(ping()), now_ms, any_sender)
            .is_ok()
    );
    assert!(
        opener
            .open(&sealer(2).seal(ping()), now_ms, any_sender)
            .is_ok()
    );
    assert_eq!(
        opener.open(&earlier_sealer.seal(ping()), now_ms, any_sender),
        Err(Reason::FrameReplayed)
    );
}

#[test]
fn a_frame_of_a_non_member_does_not_advance_the_replay_window() {
    let now_ms = clock::wall_ms();
    let opener = Opener::new(key());
    let later_incarnation = sealer(u64::MAX).seal(ping());
    assert_eq!(
        opener.open(&later_incarnation, now_ms, |_| false),
        Err(Reason::FrameStranger)
    );
    assert!(
        opener
            .open(&sealer(1).seal(ping()), now_ms, any_sender)
            .is_ok()
    );
}

proptest! {
    #[test]
    fn arbitrary_bytes_are_refused_without_a_panic(bytes in proptest::collection::vec(any::<u8>(), 0..256)) {
        prop_assert!(Opener::new(key()).open(&bytes, clock::wall_ms(), any_sender).is_err());
    }

    #[test]
    fn arbitrary_bytes_with_a_valid_mac_do_not_panic(bytes in proptest::collection::vec(any::<u8>(), 1..256)) {
        let mut datagram = bytes.clone();
        datagram.extend_from_slice(&key().mac(&bytes));
        let _ = Opener::new(key()).open(&datagram, clock::wall_ms(), any_sender);
    }
}
