//! Decoding and refusal of the CoAP messages of callers.

use coap_lite::{CoapOption, MessageClass, MessageType, Packet, RequestType};
use proptest::prelude::*;
use ragwortbeam::refusal::{Reason, Refusal};
use ragwortbeam::verdict::Verdict;
use ragwortbeam::wire::coap;

struct Malformed {
    name: &'static str,
    datagram: Vec<u8>,
    reason: Reason,
}

fn request(kind: RequestType) -> Packet {
    let mut packet = Packet::new();
    packet.header.set_type(MessageType::Confirmable);
    packet.header.code = MessageClass::Request(kind);
    packet.header.message_id = 77;
    packet.set_token(vec![1, 2, 3]);
    packet
}

#[test]
fn malformed_datagrams_are_refused_with_their_reason() {
    let cases = [
        Malformed {
            name: "empty",
            datagram: Vec::new(),
            reason: Reason::DatagramShort,
        },
        Malformed {
            name: "short header",
            datagram: vec![0x40, 1, 0],
            reason: Reason::DatagramShort,
        },
        Malformed {
            name: "too long",
            datagram: vec![0x40; coap::MAX_MESSAGE_LEN + 1],
            reason: Reason::DatagramLong,
        },
        Malformed {
            name: "version 0",
            datagram: vec![0x00, 1, 0, 1],
            reason: Reason::DatagramMalformed,
        },
        Malformed {
            name: "token length 9",
            datagram: vec![0x49, 1, 0, 1, 0, 0, 0, 0, 0, 0, 0, 0, 0],
            reason: Reason::DatagramMalformed,
        },
        Malformed {
            name: "truncated token",
            datagram: vec![0x44, 1, 0, 1, 9],
            reason: Reason::DatagramMalformed,
        },
        Malformed {
            name: "truncated option",
            datagram: vec![0x40, 1, 0, 1, 0xb5, b'a'],
            reason: Reason::DatagramMalformed,
        },
        Malformed {
            name: "empty message with content",
            datagram: vec![0x40, 0, 0, 1, 0xff, 1],
            reason: Reason::DatagramMalformed,
        },
    ];
    for case in cases {
        let result = coap::decode(&case.datagram).map(|packet| packet.header.message_id);
        assert_eq!(result, Err(case.reason), "{}", case.name);
    }
}

#[test]
fn unknown_options_are_refused_if_they_are_unsafe_to_forward() {
    struct Case {
        option: u16,
        expected: Result<(), Reason>,
    }
    let cases = [
        Case {
            option: CoapOption::UriPath.into(),
            expected: Ok(()),
        },
        Case {
            option: CoapOption::Observe.into(),
            expected: Ok(()),
        },
        Case {
            option: coap::OPTION_DEADLINE,
            expected: Ok(()),
        },
        // Critical but safe to forward, so the backend server has to accept or reject it.
        Case {
            option: 2049,
            expected: Ok(()),
        },
        Case {
            option: 2051,
            expected: Err(Reason::OptionUnknown),
        },
        Case {
            option: 35,
            expected: Err(Reason::Proxying),
        },
    ];
    for case in cases {
        let mut packet = request(RequestType::Get);
        packet.add_option(CoapOption::from(case.option), vec![1]);
        assert_eq!(
            coap::check_options(&packet),
            case.expected,
            "{}",
            case.option
        );
    }
}

#[test]
fn only_post_patch_and_unknown_methods_are_not_idempotent() {
    let idempotent = [
        RequestType::Get,
        RequestType::Put,
        RequestType::Delete,
        RequestType::Fetch,
        RequestType::IPatch,
    ];
    assert!(idempotent.into_iter().all(coap::is_idempotent));
    let not_idempotent = [RequestType::Post, RequestType::Patch, RequestType::UnKnown];
    assert!(!not_idempotent.into_iter().any(coap::is_idempotent));
}

#[test]
fn a_refusal_has_a_verdict_and_a_retry_delay() {
    let request = request(RequestType::Post);
    let refusal = Refusal::not_run(Reason::QueueFull);
    let answer = coap::decode(&coap::encode(&coap::refuse(&request, refusal, 3))).unwrap();
    assert_eq!(answer.header.get_code(), "5.03");
    assert_eq!(answer.header.get_type(), MessageType::Acknowledgement);
    assert_eq!(answer.header.message_id, 77);
    assert_eq!(answer.get_token(), [1, 2, 3]);
    assert_eq!(coap::verdict(&answer), Some(Verdict::NotRun));
    assert_eq!(coap::max_age_s(&answer), 3);

    let refusal = Refusal::may_have_run(Reason::OwnerLost);
    let answer = coap::refuse(&request, refusal, 3);
    assert_eq!(answer.header.get_code(), "5.04");
    assert_eq!(coap::verdict(&answer), Some(Verdict::MayHaveRun));
}

#[test]
fn the_deadline_option_is_encoded_and_decoded() {
    for ms in [0, 1, 255, 256, 15_000, 4_000_000] {
        let mut packet = request(RequestType::Get);
        coap::set_deadline_ms(&mut packet, ms);
        let packet = coap::decode(&coap::encode(&packet)).unwrap();
        assert_eq!(coap::deadline_ms(&packet), Some(ms));
    }
}

proptest! {
    #[test]
    fn arbitrary_bytes_are_decoded_or_refused(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        if let Ok(packet) = coap::decode(&bytes) {
            let decoded_again = coap::decode(&coap::encode(&packet));
            prop_assert!(decoded_again.is_ok());
            let _ = coap::check_options(&packet);
            let _ = (coap::deadline_ms(&packet), coap::block_number(&packet), coap::observe(&packet));
        }
    }
}
