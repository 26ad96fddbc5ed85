//! Tests of opening packets that wait for the answer of an allocator.

mod common;

use std::net::Ipv4Addr;
use std::sync::{Arc, Mutex};

use common::{DC_A, Vm, at, data_packet, ledger, opening_packet, removed};
use ragwortbeam_base::clock::Moment;
use ragwortbeam_steering::mesh::{MembershipTable, ReceivedAnswer};
use ragwortbeam_steering::message::Member;
use ragwortbeam_steering::placement::{self, Answer, Denial, Dispatch, Message};
use ragwortbeam_steering::reset::Reason;
use ragwortbeam_steering::steer::{DiscardReason, Leasing, Outcome, Resolved};

const OWN_IP: Ipv4Addr = Ipv4Addr::new(10, 1, 0, 1);
const ALLOCATOR: Ipv4Addr = Ipv4Addr::new(10, 1, 0, 2);

/// Returns a VM without endpoints in other data centres, whose claims go to [`ALLOCATOR`].
fn vm() -> Vm {
    let vm = Vm::new();
    vm.apply_update(removed(3, 30), at(0));
    let mut members = MembershipTable::new(OWN_IP, 1, DC_A, 1);
    let allocator = Member {
        ip: ALLOCATOR.into(),
        incarnation: 1,
        data_centre: DC_A.to_owned(),
        // So much larger than this VM that it is the allocator of each shard.
        weight: u32::MAX,
        is_allocator: true,
        ..Member::default()
    };
    members.merge(&allocator, at(0));
    vm.steering
        .set_leasing(Leasing::new(Arc::new(Mutex::new(members)), 2));
    // The first one may end a pause of unknown length; packets count as fresh some time later.
    for ms in (0..=500).step_by(50) {
        vm.steering.count_unanswered(at(ms));
    }
    vm.steering.refresh_counts(at(500));
    vm
}

/// Opens a flow; returns the number of its claim.
fn open(vm: &Vm, port: u16, now: Moment) -> u64 {
    let packet = opening_packet(port, ledger(), 0);
    let outcome = vm.steering.decide(&packet, now);
    let Outcome::Pending(number) = outcome else {
        panic!("expected a pending claim, found {outcome:?}");
    };
    vm.steering.keep(number, &packet, b"opening", now);
    number
}

fn answer(vm: &Vm, number: u64, answer: Answer, now: Moment) -> Option<Resolved> {
    let received = ReceivedAnswer {
        allocator: ALLOCATOR,
        number,
        answer,
    };
    vm.steering.apply_answer(received, now)
}

/// Returns the number of the claim that was sent last.
fn last_claim(vm: &Vm) -> u64 {
    let sent = vm.steering.take_outbox().into_iter().rev();
    let mut claims = sent.filter_map(|it| match it.message {
        Message::Claim(claim) => Some(claim.id.number),
        _ => None,
    });
    claims.next().expect("a claim was sent")
}

/// Denies the claims of a flow until one waits; returns its number.
fn fill(vm: &Vm, number: u64, now: Moment) -> u64 {
    vm.steering.take_outbox();
    assert_eq!(answer(vm, number, Answer::Denied(Denial::Full), now), None);
    last_claim(vm)
}

#[test]
fn a_leased_flow_releases_its_slot_when_the_request_ends() {
    let vm = vm();
    let number = open(&vm, 1, at(510));
    vm.steering.take_outbox();
    let tag = {
        let catalog = vm.catalog.lock().unwrap();
        let (_, endpoint) = catalog.endpoints().find(|it| it.1.id == 2).unwrap();
        endpoint.tag
    };
    let resolved = answer(&vm, number, Answer::Leased(tag), at(511)).unwrap();
    assert_eq!(resolved.datagram, b"opening");
    let Outcome::Forward {
        endpoint: 2,
        token: Some(token),
        ..
    } = resolved.outcome
    else {
        panic!("expected the leased endpoint, found {:?}", resolved.outcome);
    };
    let request = data_packet(1, ledger(), token, 101, 1);
    vm.steering.decide(&request, at(514));
    assert!(vm.steering.take_outbox().is_empty());
    let mut acknowledgement = data_packet(1, ledger(), token, 151, 600);
    acknowledgement.data_len = 0;
    vm.steering.decide(&acknowledgement, at(540));
    let released = Dispatch {
        to: ALLOCATOR,
        message: Message::Release(number, placement::Outcome::Answered),
    };
    assert_eq!(vm.steering.take_outbox(), [released]);
}

#[test]
fn a_copy_of_an_opening_packet_makes_no_second_claim() {
    let vm = vm();
    let number = open(&vm, 1, at(510));
    vm.steering.take_outbox();
    let copy = opening_packet(1, ledger(), 1);
    assert_eq!(vm.steering.decide(&copy, at(520)), Outcome::Pending(number));
    assert!(vm.steering.take_outbox().is_empty());
}

/// Guards against a reset of a flow that a copy of its opening packet has opened through another
/// VM, after the fabric changed its rotation or this VM was paused (soak seeds 9210 and 9219).
#[test]
fn only_a_fresh_opening_packet_leads_to_a_reset() {
    struct Case {
        name: &'static str,
        /// Time from the opening packet to the denial, ms.
        held_ms: u64,
        /// False when the VM stands still meanwhile.
        runs: bool,
        expected: Outcome,
    }
    let cases = [
        Case {
            name: "before the caller's next copy",
            held_ms: 150,
            runs: true,
            expected: Outcome::Reset(Reason::Overloaded),
        },
        Case {
            name: "after it",
            held_ms: 250,
            runs: true,
            expected: Outcome::Discard(DiscardReason::HeldTooLong),
        },
        Case {
            name: "after a pause of the VM",
            held_ms: 150,
            runs: false,
            expected: Outcome::Discard(DiscardReason::HeldTooLong),
        },
    ];
    for case in cases {
        let vm = vm();
        let number = open(&vm, 1, at(510));
        let waiting = fill(&vm, number, at(511));
        if case.runs {
            for ms in (0..case.held_ms).step_by(50) {
                vm.steering.count_unanswered(at(510 + ms));
            }
        }
        let denied = Answer::Denied(Denial::Overloaded);
        let resolved = answer(&vm, waiting, denied, at(510 + case.held_ms));
        assert_eq!(resolved.unwrap().outcome, case.expected, "{}", case.name);
    }
}

#[test]
fn a_vm_whose_allocator_is_silent_places_by_itself() {
    let vm = vm();
    open(&vm, 1, at(510));
    // The next in rank is this VM itself, whose answer does not come in this test either.
    vm.steering.expire_claims(at(540));
    let resolved = vm.steering.expire_claims(at(570));
    assert!(matches!(resolved[0].outcome, Outcome::Forward { .. }));
}
