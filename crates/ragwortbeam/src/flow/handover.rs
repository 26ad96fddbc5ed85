//! Hand-over of flow records between VMs when ownership changes.

use std::collections::HashMap;

use metrics::counter;
use spdlog::{info, warn};
use tokio::time::{interval, sleep, timeout};

use super::replication::{self, RECORDS_PER_CALL};
use super::{Key, Record};
use crate::dispatch::{datagrams, feed, relocation};
use crate::membership::View;
use crate::message::{FlowRecord, Records};
use crate::prelude::*;
use crate::release::State;

/// Delay after a change of the view, so that changes in quick succession are handled together.
const VIEW_CHANGE_DELAY: Duration = Duration::from_millis(20);

/// Longest time that a hand-over waits for the registration of its feeds; shorter than the
/// timeout of the hand-over call.
const REGISTRATION_TIMEOUT: Duration = Duration::from_millis(2500);

/// Interval at which failed moves are retried.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which idle records are removed.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(10);

/// Moves of records that a change of the view requires.
#[derive(Debug, Default)]
struct Moves {
    /// Owned records to hand over, by their new owner.
    outgoing: HashMap<id::Vm, Vec<Key>>,
    /// Replicas of flows that this VM owns from now on.
    takeovers: Vec<Key>,
    /// Owned records whose replica is another VM from now on.
    to_replicate: Vec<Key>,
}

/// Moves records after each change of the view, for the life of the node.
///
/// The records are scanned only after a change of the owners, and again while there are failed
/// moves.
pub async fn run(node: Arc<Node>) {
    let mut views = node.members.watch();
    let mut idle_check = interval(IDLE_CHECK_INTERVAL);
    let mut previous = node.members.view();
    let mut has_failed_moves = false;
    loop {
        tokio::select! {
            changed = views.changed() => {
                if changed.is_err() {
                    return;
                }
                sleep(VIEW_CHANGE_DELAY).await;
                views.mark_unchanged();
            }
            () = sleep(RETRY_INTERVAL), if has_failed_moves => {}
            _ = idle_check.tick() => {
                let idle_ms = node.settings.limits.flow_idle.as_millis() as u64;
                node.flows.drop_idle(idle_ms);
                continue;
            }
        }
        let view = node.members.view();
        if has_failed_moves || previous.owners != view.owners {
            has_failed_moves = !apply_moves(&node, plan(&node, &previous, &view)).await;
        }
        previous = view;
    }
}

/// After each release, replicates the records of datagram flows that a new owner would bind to
/// another endpoint. Runs for the life of the node.
pub async fn follow_releases(node: Arc<Node>) {
    let mut releases = node.releases.watch();
    while releases.changed().await.is_ok() {
        let state = releases.borrow_and_update().clone();
        let underivable = node.flows.keys(|record| {
            record.is_owned && record.endpoint.is_some() && !is_derivable(&node, &state, record)
        });
        for key in underivable {
            node.replicas.push(key);
        }
    }
}

/// Returns whether a new owner needs no record of the flow: there is no CoAP state, and hashing
/// gives the endpoint that the flow is bound to, if any.
fn is_derivable(node: &Node, state: &State, record: &Record) -> bool {
    let Some(endpoint) = record.endpoint else {
        return record.coap_state.is_none();
    };
    let service = state.service(record.key.service);
    let data_centre = &node.settings.data_centre;
    let chosen = service.and_then(|service| datagrams::choose(service, data_centre, record.key));
    record.coap_state.is_none() && chosen.is_some_and(|chosen| chosen.id == endpoint)
}

/// Forwards the records that this VM holds of other VMs' flows, before it stops, to the two VMs
/// that are ranked highest now; returns whether all calls succeeded.
pub async fn forward_replicas(node: &Arc<Node>) -> bool {
    let view = node.members.view();
    let replicas = node.flows.keys(|record| record.coap_state.is_some());
    let mut batches: HashMap<id::Vm, Vec<FlowRecord>> = HashMap::new();
    for key in replicas {
        let Some(rank) = view.rank(key.hash()) else {
            continue;
        };
        let Some(record) = node.flows.with(key, |record| record.to_message()) else {
            continue;
        };
        for vm in [Some(rank.first), rank.second].into_iter().flatten() {
            batches.entry(vm).or_default().push(record.clone());
        }
    }
    replication::send_all(node, batches).await
}

/// Hands over all records before this VM stops; returns how many remain.
pub async fn hand_over_all(node: &Arc<Node>) -> usize {
    let view = node.members.view();
    let moves = plan(node, &view, &view);
    let remaining: usize = moves.outgoing.values().map(Vec::len).sum();
    if remaining > 0 {
        apply_moves(node, moves).await;
    }
    let view = node.members.view();
    plan(node, &view, &view)
        .outgoing
        .values()
        .map(Vec::len)
        .sum()
}

/// Determines which records are not where the view assigns them.
fn plan(node: &Arc<Node>, previous: &View, view: &View) -> Moves {
    let mut moves = Moves::default();
    let owners_changed = previous.owners != view.owners;
    let state = node.releases.state();
    node.flows.keys(|record| {
        if is_derivable(node, &state, record) {
            return false;
        }
        let hash = record.key.hash();
        let Some(rank) = view.rank(hash) else {
            return false;
        };
        if record.is_owned && rank.first != view.local_vm {
            moves
                .outgoing
                .entry(rank.first)
                .or_default()
                .push(record.key);
        } else if !record.is_owned && rank.first == view.local_vm {
            moves.takeovers.push(record.key);
        } else if record.is_owned
            && owners_changed
            && record.coap_state.is_some()
            && previous.replica(hash) != view.replica(hash)
        {
            moves.to_replicate.push(record.key);
        }
        false
    });
    moves
}

/// Carries out the moves; returns whether all succeeded.
async fn apply_moves(node: &Arc<Node>, moves: Moves) -> bool {
    for key in &moves.to_replicate {
        node.replicas.push(*key);
    }
    if !moves.takeovers.is_empty() {
        counter!("ragwortbeam_flows_taken_over_total").increment(moves.takeovers.len() as u64);
        info!("event=flows_taken_over flows={}", moves.takeovers.len());
        take_over(node, &moves.takeovers).await;
    }
    let mut is_done = true;
    for (owner, keys) in moves.outgoing {
        for keys in keys.chunks(RECORDS_PER_CALL) {
            is_done &= hand_over(node, owner, keys).await;
        }
    }
    is_done
}

/// Hands records over to their new owner; returns whether it has taken all of them.
async fn hand_over(node: &Arc<Node>, owner: id::Vm, keys: &[Key]) -> bool {
    let mut sent = Vec::new();
    let mut records: Vec<FlowRecord> = Vec::with_capacity(keys.len());
    for key in keys {
        node.flows.with(*key, |record| {
            records.push(record.to_message());
            sent.push(*key);
        });
    }
    let message = Records {
        sender: node.members.view().local_vm.0,
        records,
    };
    match node.peers.links.hand_over(owner, message).await {
        Ok(answer) if (answer.taken as usize) < sent.len() => {
            warn!(
                "event=handover_incomplete vm={owner} taken={}",
                answer.taken
            );
            false
        }
        Ok(answer) => {
            counter!("ragwortbeam_flows_handed_over_total").increment(u64::from(answer.taken));
            for key in sent {
                demote(node, key);
            }
            true
        }
        Err(error) => {
            warn!(
                "event=handover_failed vm={owner} flows={} error=\"{error}\"",
                keys.len()
            );
            false
        }
    }
}

/// Turns the record of a flow that another VM now serves into a replica and ends the
/// registrations of its feeds.
fn demote(node: &Arc<Node>, key: Key) {
    let registrations = node.flows.with(key, |record| {
        record.is_owned = false;
        let feeds = record
            .coap_state
            .iter_mut()
            .flat_map(|coap_state| &mut coap_state.feeds);
        feeds
            .filter_map(|feed| Some((feed.endpoint, feed.endpoint_token.take()?)))
            .collect::<Vec<_>>()
    });
    for (endpoint, endpoint_token) in registrations.unwrap_or_default() {
        feed::end_registration(node, key.service, endpoint, endpoint_token);
    }
}

/// Takes over records that another VM hands over; returns how many were taken, or 0 when the
/// registration of their feeds timed out.
pub async fn accept_handover(node: &Arc<Node>, records: Records) -> u32 {
    let mut keys = Vec::with_capacity(records.records.len());
    for message in &records.records {
        let Some(key) = message.key.as_ref().and_then(Key::from_message) else {
            continue;
        };
        let is_owned_here = node.flows.with(key, |record| record.is_owned) == Some(true);
        let merged = node.flows.with_or_insert(key, |record| {
            if is_owned_here {
                merge_into_owned(record, message);
            } else {
                record.merge(message);
            }
        });
        if merged.is_ok() {
            keys.push(key);
        }
    }
    if timeout(REGISTRATION_TIMEOUT, take_over(node, &keys))
        .await
        .is_ok()
    {
        keys.len() as u32
    } else {
        0
    }
}

/// Merges a handed-over record into one that this VM created in the meantime.
fn merge_into_owned(record: &mut Record, message: &FlowRecord) {
    let mut received = Record::new(record.key);
    received.merge(message);
    let Some(received_state) = received.coap_state else {
        return;
    };
    let coap_state = record.coap_state_mut();
    for exchange in received_state.exchanges {
        coap_state.merge_exchange(exchange);
    }
    for feed in received_state.feeds {
        if coap_state
            .feeds
            .iter()
            .all(|known| known.token != feed.token)
        {
            coap_state.feeds.push(feed);
        }
    }
}

/// Marks records as owned by this VM and registers their feeds.
async fn take_over(node: &Arc<Node>, keys: &[Key]) {
    let mut registrations = Vec::new();
    for key in keys {
        let tokens = node.flows.with(*key, |record| {
            record.is_owned = true;
            let feeds = record
                .coap_state
                .iter()
                .flat_map(|coap_state| &coap_state.feeds);
            feeds
                .filter(|feed| feed.endpoint_token.is_none())
                .map(|feed| feed.token)
                .collect::<Vec<_>>()
        });
        for token in tokens.unwrap_or_default() {
            let node = node.clone();
            let key = *key;
            registrations.push(tokio::spawn(async move {
                relocation::reregister(&node, key, token, None).await;
            }));
        }
        node.replicas.push(*key);
    }
    for registration in registrations {
        // If the task panics, one feed remains unregistered until its Max-Age expires.
        let _ = registration.await;
    }
}
