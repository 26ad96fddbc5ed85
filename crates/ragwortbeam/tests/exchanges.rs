//! The at-most-once rule on one record.

use std::sync::Arc;

use ragwortbeam::flow::at_most_once::ExchangeStatus;
use ragwortbeam::flow::exchange::{Exchange, Progress};
use ragwortbeam::flow::{Key, Record};
use ragwortbeam::id;

fn process(vm: u64, incarnation: u64) -> id::Process {
    id::Process {
        vm: id::Vm(vm),
        incarnation,
    }
}

fn record() -> Record {
    Record::new(Key {
        service: id::Service::of("ledger"),
        caller: "10.9.0.1:4000".parse().unwrap(),
    })
}

fn answer() -> Arc<[u8]> {
    Arc::from([1, 2, 3].as_slice())
}

const ME: u64 = 5;

#[test]
fn a_duplicate_is_not_started_again_and_gets_the_first_answer() {
    let mut record = record();
    let me = process(ME, 1);
    assert!(matches!(
        record.start_exchange(9, false, me),
        ExchangeStatus::New
    ));
    assert!(matches!(
        record.start_exchange(9, false, me),
        ExchangeStatus::Duplicate
    ));
    assert!(record.confirm_reservation(9, me));
    assert!(matches!(
        record.start_exchange(9, false, me),
        ExchangeStatus::Duplicate
    ));
    record.finish_exchange(9, &answer());
    assert!(
        matches!(record.start_exchange(9, false, me), ExchangeStatus::Answered(known) if known == answer())
    );
    assert!(matches!(
        record.start_exchange(10, false, me),
        ExchangeStatus::New
    ));
}

#[test]
fn an_idempotent_exchange_leaves_nothing_behind() {
    let mut record = record();
    let me = process(ME, 1);
    assert!(matches!(
        record.start_exchange(9, true, me),
        ExchangeStatus::New
    ));
    assert!(matches!(
        record.start_exchange(9, true, me),
        ExchangeStatus::Duplicate
    ));
    record.finish_exchange(9, &answer());
    assert!(record.coap_state.is_none());
}

#[test]
fn a_reservation_is_granted_to_one_process() {
    let mut record = record();
    let (one, other) = (process(1, 1), process(2, 1));
    assert!(matches!(record.reserve_for(9, one), ExchangeStatus::New));
    assert!(
        matches!(record.reserve_for(9, one), ExchangeStatus::New),
        "repeated"
    );
    assert!(
        matches!(record.reserve_for(9, other), ExchangeStatus::HeldBy(holder) if holder == one)
    );
    let restarted = process(1, 2);
    assert!(
        matches!(record.reserve_for(9, restarted), ExchangeStatus::HeldBy(holder) if holder == one),
        "a restarted VM is another process"
    );
    assert!(matches!(
        record.start_exchange(9, false, process(ME, 1)),
        ExchangeStatus::HeldBy(_)
    ));
}

#[test]
fn of_two_that_reserve_at_each_other_one_is_granted() {
    struct Case {
        asking: u64,
        is_granted: bool,
    }
    let cases = [
        Case {
            asking: ME + 1,
            is_granted: true,
        },
        Case {
            asking: ME - 1,
            is_granted: false,
        },
    ];
    for case in cases {
        let mut record = record();
        let me = process(ME, 1);
        record.start_exchange(9, false, me);
        let outcome = record.reserve_for(9, process(case.asking, 1));
        assert_eq!(matches!(outcome, ExchangeStatus::New), case.is_granted);
        assert_eq!(
            record.confirm_reservation(9, me),
            !case.is_granted,
            "only one dispatches"
        );
    }
}

#[test]
fn a_copy_carries_holders_and_answers_and_an_answer_is_never_lost() {
    let mut record = record();
    let me = process(ME, 1);
    record.start_exchange(8, false, me);
    record.confirm_reservation(8, me);
    record.start_exchange(9, false, me);
    record.finish_exchange(9, &answer());
    record.start_exchange(10, true, me);
    let copy = record.to_message();
    assert_eq!(copy.exchanges.len(), 2, "idempotent ones stay out");

    let mut replica = self::record();
    replica.merge(&copy);
    assert!(
        matches!(replica.start_exchange(8, false, process(6, 1)), ExchangeStatus::HeldBy(holder) if holder == me)
    );
    assert!(matches!(
        replica.start_exchange(9, false, process(6, 1)),
        ExchangeStatus::Answered(_)
    ));

    replica.coap_state_mut().merge_exchange(Exchange {
        message_id: 9,
        is_idempotent: false,
        progress: Progress::Held(me),
        started_at_ms: 0,
    });
    assert!(matches!(
        replica.start_exchange(9, false, process(6, 1)),
        ExchangeStatus::Answered(_)
    ));
}
