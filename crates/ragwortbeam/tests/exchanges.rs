//! At-most-once execution of non-idempotent requests, as enforced by one flow record.

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

const LOCAL_VM: u64 = 5;

#[test]
fn a_duplicate_request_is_not_restarted_and_gets_the_recorded_answer() {
    let mut record = record();
    let local = process(LOCAL_VM, 1);
    assert!(matches!(
        record.start_exchange(9, false, local),
        ExchangeStatus::New
    ));
    assert!(matches!(
        record.start_exchange(9, false, local),
        ExchangeStatus::Duplicate
    ));
    assert!(record.confirm_reservation(9, local));
    assert!(matches!(
        record.start_exchange(9, false, local),
        ExchangeStatus::Duplicate
    ));
    record.finish_exchange(9, &answer());
    assert!(
        matches!(record.start_exchange(9, false, local), ExchangeStatus::Answered(known) if known == answer())
    );
    assert!(matches!(
        record.start_exchange(10, false, local),
        ExchangeStatus::New
    ));
}

#[test]
fn a_finished_idempotent_exchange_is_not_retained() {
    let mut record = record();
    let local = process(LOCAL_VM, 1);
    assert!(matches!(
        record.start_exchange(9, true, local),
        ExchangeStatus::New
    ));
    assert!(matches!(
        record.start_exchange(9, true, local),
        ExchangeStatus::Duplicate
    ));
    record.finish_exchange(9, &answer());
    assert!(record.coap_state.is_none());
}

#[test]
fn a_reservation_is_granted_to_a_single_process() {
    let mut record = record();
    let (first, second) = (process(1, 1), process(2, 1));
    assert!(matches!(record.reserve_for(9, first), ExchangeStatus::New));
    assert!(
        matches!(record.reserve_for(9, first), ExchangeStatus::New),
        "the same process may repeat its reservation"
    );
    assert!(
        matches!(record.reserve_for(9, second), ExchangeStatus::HeldBy(holder) if holder == first)
    );
    let restarted = process(1, 2);
    assert!(
        matches!(record.reserve_for(9, restarted), ExchangeStatus::HeldBy(holder) if holder == first),
        "a restarted VM is a different process"
    );
    assert!(matches!(
        record.start_exchange(9, false, process(LOCAL_VM, 1)),
        ExchangeStatus::HeldBy(_)
    ));
}

#[test]
fn exactly_one_of_two_mutual_reservations_is_granted() {
    struct Case {
        requesting_vm: u64,
        is_granted: bool,
    }
    let cases = [
        Case {
            requesting_vm: LOCAL_VM + 1,
            is_granted: true,
        },
        Case {
            requesting_vm: LOCAL_VM - 1,
            is_granted: false,
        },
    ];
    for case in cases {
        let mut record = record();
        let local = process(LOCAL_VM, 1);
        record.start_exchange(9, false, local);
        let outcome = record.reserve_for(9, process(case.requesting_vm, 1));
        assert_eq!(matches!(outcome, ExchangeStatus::New), case.is_granted);
        assert_eq!(
            record.confirm_reservation(9, local),
            !case.is_granted,
            "only one of the two may dispatch"
        );
    }
}

#[test]
fn replication_carries_holders_and_answers_and_a_merge_keeps_answers() {
    let mut record = record();
    let local = process(LOCAL_VM, 1);
    record.start_exchange(8, false, local);
    record.confirm_reservation(8, local);
    record.start_exchange(9, false, local);
    record.finish_exchange(9, &answer());
    record.start_exchange(10, true, local);
    let message = record.to_message();
    assert_eq!(
        message.exchanges.len(),
        2,
        "idempotent exchanges are not replicated"
    );

    let mut replica = self::record();
    replica.merge(&message);
    assert!(
        matches!(replica.start_exchange(8, false, process(6, 1)), ExchangeStatus::HeldBy(holder) if holder == local)
    );
    assert!(matches!(
        replica.start_exchange(9, false, process(6, 1)),
        ExchangeStatus::Answered(_)
    ));

    replica.coap_state_mut().merge_exchange(Exchange {
        message_id: 9,
        is_idempotent: false,
        progress: Progress::Held(local),
        started_at_ms: 0,
    });
    assert!(matches!(
        replica.start_exchange(9, false, process(6, 1)),
        ExchangeStatus::Answered(_)
    ));
}
