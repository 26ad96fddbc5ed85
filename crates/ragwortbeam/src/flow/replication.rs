//! Best-effort replication of flow records to the VM that is ranked next for each flow.

use std::collections::{HashMap, HashSet};

use metrics::counter;
use prost::Message;
use spdlog::debug;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

use super::at_most_once::ExchangeStatus;
use super::exchange::Exchange;
use super::{Key, Record};
use crate::clock;
use crate::message::{ExchangeRecord, FlowRecord, Records, Reservation, ReservationAnswer};
use crate::prelude::*;

/// Time over which changes are collected into one batch.
const BATCH_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum number of records in one call.
pub const RECORDS_PER_CALL: usize = 256;

/// Longest time that a feed registration waits until its record is replicated.
const REPLICATION_TIMEOUT: Duration = Duration::from_millis(250);

/// Queue of flows whose changed records the replication task sends.
#[derive(Clone, Debug)]
pub struct Queue {
    changed: mpsc::UnboundedSender<Key>,
}

impl Queue {
    /// Returns a queue and its receiving end for [`run`].
    pub fn new() -> (Self, mpsc::UnboundedReceiver<Key>) {
        let (changed, receiver) = mpsc::unbounded_channel();
        (Self { changed }, receiver)
    }

    /// Queues the flow's record for the next batch.
    pub fn push(&self, key: Key) {
        // The receiver is dropped only when the process ends.
        let _ = self.changed.send(key);
    }
}

/// Replicates changed records in batches for the life of the node.
pub async fn run(node: Arc<Node>, mut changed: mpsc::UnboundedReceiver<Key>) {
    while let Some(first) = changed.recv().await {
        sleep(BATCH_INTERVAL).await;
        let mut keys = HashSet::from([first]);
        while let Ok(key) = changed.try_recv() {
            keys.insert(key);
        }
        replicate(&node, keys).await;
    }
}

/// Replicates one record and waits for the replica's answer, so that a feed whose registration
/// is then confirmed to the caller survives the loss of this VM. After a timeout, the record is
/// queued instead.
pub async fn replicate_now(node: &Arc<Node>, key: Key) {
    let replicated = timeout(REPLICATION_TIMEOUT, replicate(node, HashSet::from([key]))).await;
    if replicated.is_err() {
        node.replicas.push(key);
    }
}

async fn replicate(node: &Arc<Node>, keys: HashSet<Key>) {
    let view = node.members.view();
    let mut batches: HashMap<id::Vm, Vec<FlowRecord>> = HashMap::new();
    for key in keys {
        let Some(replica) = view.replica(key.hash()) else {
            continue;
        };
        let record = node
            .flows
            .with(key, |record| record.to_message())
            .unwrap_or_else(|| removed_record(key));
        batches.entry(replica).or_default().push(record);
    }
    // A record that was not stored is sent again after its next change or a change of the view.
    send_all(node, batches).await;
}

/// Sends records to several VMs in calls of limited size; returns whether all calls succeeded.
pub async fn send_all(node: &Arc<Node>, batches: HashMap<id::Vm, Vec<FlowRecord>>) -> bool {
    let mut is_complete = true;
    for (vm, records) in batches {
        for records in records.chunks(RECORDS_PER_CALL) {
            is_complete &= send(node, vm, records.to_vec()).await;
        }
    }
    is_complete
}

/// Sends records to one VM; returns whether the call succeeded.
async fn send(node: &Arc<Node>, replica: id::Vm, records: Vec<FlowRecord>) -> bool {
    let records = Records {
        sender: node.members.view().local_vm.0,
        records,
    };
    counter!("ragwortbeam_replica_records_sent_total").increment(records.records.len() as u64);
    counter!("ragwortbeam_replica_bytes_sent_total").increment(records.encoded_len() as u64);
    match node.peers.links.replicate(replica, records).await {
        Ok(_) => true,
        Err(error) => {
            debug!("event=replicate_failed vm={replica} error=\"{error}\"");
            false
        }
    }
}

/// Returns an empty record. The replica merges it and so drops the feeds and transfers of a
/// flow whose record this VM has removed.
fn removed_record(key: Key) -> FlowRecord {
    FlowRecord {
        key: Some(key.to_message()),
        ..Default::default()
    }
}

/// Stores records that another VM replicated; returns how many were stored.
///
/// Of a flow that this VM owns itself, only the exchanges are merged.
pub fn store(node: &Arc<Node>, records: Records) -> u32 {
    let mut stored = 0;
    for message in &records.records {
        let Some(key) = message.key.as_ref().and_then(Key::from_message) else {
            continue;
        };
        if with_or_insert_replica(node, key, |record| store_record(record, message)) {
            stored += 1;
        }
    }
    stored
}

fn store_record(record: &mut Record, message: &FlowRecord) {
    if record.is_owned || message.exchanges_only {
        let now_ms = clock::monotonic_ms();
        for exchange in &message.exchanges {
            let exchange = Exchange::from_message(exchange, now_ms);
            record.coap_state_mut().merge_exchange(exchange);
        }
        record.drop_empty_state();
    } else {
        record.merge(message);
    }
}

/// Records a reservation unless the exchange is known; `None` when it lacks a valid flow key or
/// a holder.
pub fn record_reservation(
    node: &Arc<Node>,
    reservation: &Reservation,
) -> Option<ReservationAnswer> {
    let key = Key::from_message(reservation.key.as_ref()?)?;
    let holder = id::Process::from_message(reservation.holder?);
    let message_id = reservation.message_id as u16;
    let mut answer = ReservationAnswer {
        granted: false,
        known: None,
    };
    with_or_insert_replica(node, key, |record| {
        match record.reserve_for(message_id, holder) {
            ExchangeStatus::New => answer.granted = true,
            _ => answer.known = find_exchange(record, message_id),
        }
    });
    Some(answer)
}

fn find_exchange(record: &Record, message_id: u16) -> Option<ExchangeRecord> {
    let message = record.to_message();
    let mut exchanges = message.exchanges.into_iter();
    exchanges.find(|exchange| exchange.message_id == u32::from(message_id))
}

/// Calls `action` with the flow's record, which is created as a replica if there is none;
/// returns false when the table is full.
fn with_or_insert_replica(node: &Arc<Node>, key: Key, action: impl FnOnce(&mut Record)) -> bool {
    let is_new = node.flows.with(key, |_| ()).is_none();
    node.flows
        .with_or_insert(key, |record| {
            if is_new {
                record.is_owned = false;
            }
            action(record);
        })
        .is_ok()
}
