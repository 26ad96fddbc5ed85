//! Moves of records between VMs when ownership changes.

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

/// Pause before a view change is acted on, so that changes that come together are
/// handled together.
const SETTLE: Duration = Duration::from_millis(20);

/// Longest time that a hand-over waits for the feeds' registrations, within the time its
/// caller allows.
const ADOPT_TIMEOUT: Duration = Duration::from_millis(2500);

/// How often moves that failed are tried again.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// How often idle records are dropped.
const IDLE_INTERVAL: Duration = Duration::from_secs(10);

/// What a change of the view asks for.
#[derive(Debug, Default)]
struct Moves {
    /// Records to hand to another owner.
    away: HashMap<id::Vm, Vec<Key>>,
    /// Copies whose flows this VM owns from now on.
    here: Vec<Key>,
    /// Owned records whose replica is another VM from now on.
    copies: Vec<Key>,
}

/// Follows the view for the life of the node.
///
/// Records are looked through only after a change of the owners, and again while moves
/// have failed.
pub async fn run(node: Arc<Node>) {
    let mut views = node.members.watch();
    let mut idle = interval(IDLE_INTERVAL);
    let mut before = node.members.view();
    let mut has_failed = false;
    loop {
        tokio::select! {
            changed = views.changed() => {
                if changed.is_err() {
                    return;
                }
                sleep(SETTLE).await;
                views.mark_unchanged();
            }
            () = sleep(RETRY_INTERVAL), if has_failed => {}
            _ = idle.tick() => {
                let idle_ms = node.settings.limits.flow_idle.as_millis() as u64;
                node.flows.drop_idle(idle_ms);
                continue;
            }
        }
        let view = node.members.view();
        if has_failed || before.owners != view.owners {
            has_failed = !apply_moves(&node, plan(&node, &before, &view)).await;
        }
        before = view;
    }
}

/// Follows the releases for the life of the node: copies the records of datagram flows
/// that a new owner would bind to another endpoint.
pub async fn follow_releases(node: Arc<Node>) {
    let mut releases = node.releases.watch();
    while releases.changed().await.is_ok() {
        let state = releases.borrow_and_update().clone();
        let exceptions = node.flows.keys(|record| {
            record.is_owned && record.endpoint.is_some() && !is_derivable(&node, &state, record)
        });
        for key in exceptions {
            node.replicas.push(key);
        }
    }
}

/// Returns whether a new owner finds a record's state without being told.
fn is_derivable(node: &Node, state: &State, record: &Record) -> bool {
    let Some(endpoint) = record.endpoint else {
        return record.coap_state.is_none();
    };
    let service = state.service(record.key.service);
    let data_centre = &node.settings.data_centre;
    let chosen = service.and_then(|service| datagrams::choose(service, data_centre, record.key));
    record.coap_state.is_none() && chosen.is_some_and(|chosen| chosen.id == endpoint)
}

/// Passes on what this VM knows of other VMs' flows to the two VMs ranked highest now;
/// returns whether all have taken it.
pub async fn forward_copies(node: &Arc<Node>) -> bool {
    let view = node.members.view();
    let copies = node.flows.keys(|record| record.coap_state.is_some());
    let mut batches: HashMap<id::Vm, Vec<FlowRecord>> = HashMap::new();
    for key in copies {
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

/// Hands all records over before this VM stops; returns how many are left.
pub async fn hand_over_all(node: &Arc<Node>) -> usize {
    let view = node.members.view();
    let moves = plan(node, &view, &view);
    let left: usize = moves.away.values().map(Vec::len).sum();
    if left > 0 {
        apply_moves(node, moves).await;
    }
    let view = node.members.view();
    plan(node, &view, &view).away.values().map(Vec::len).sum()
}

/// Compares each record's place with what the view says.
fn plan(node: &Arc<Node>, before: &View, view: &View) -> Moves {
    let mut moves = Moves::default();
    let owners_changed = before.owners != view.owners;
    let state = node.releases.state();
    node.flows.keys(|record| {
        if is_derivable(node, &state, record) {
            return false;
        }
        let hash = record.key.hash();
        let Some(rank) = view.rank(hash) else {
            return false;
        };
        if record.is_owned && rank.first != view.me {
            moves.away.entry(rank.first).or_default().push(record.key);
        } else if !record.is_owned && rank.first == view.me {
            moves.here.push(record.key);
        } else if record.is_owned
            && owners_changed
            && record.coap_state.is_some()
            && before.replica(hash) != view.replica(hash)
        {
            moves.copies.push(record.key);
        }
        false
    });
    moves
}

/// Returns whether all moves are done.
async fn apply_moves(node: &Arc<Node>, moves: Moves) -> bool {
    for key in &moves.copies {
        node.replicas.push(*key);
    }
    if !moves.here.is_empty() {
        counter!("ragwortbeam_flows_taken_over_total").increment(moves.here.len() as u64);
        info!("event=flows_taken_over flows={}", moves.here.len());
        take_over(node, &moves.here).await;
    }
    let mut is_done = true;
    for (owner, keys) in moves.away {
        for keys in keys.chunks(RECORDS_PER_CALL) {
            is_done &= hand_over(node, owner, keys).await;
        }
    }
    is_done
}

/// Returns whether the owner has taken the records.
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
        sender: node.members.view().me.0,
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
                release(node, key);
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

/// Turns a record that another VM now serves into a copy and ends its registrations.
fn release(node: &Arc<Node>, key: Key) {
    let legs = node.flows.with(key, |record| {
        record.is_owned = false;
        let feeds = record
            .coap_state
            .iter_mut()
            .flat_map(|coap_state| &mut coap_state.feeds);
        feeds
            .filter_map(|feed| Some((feed.endpoint, feed.endpoint_token.take()?)))
            .collect::<Vec<_>>()
    });
    for (endpoint, leg) in legs.unwrap_or_default() {
        feed::end_leg(node, key.service, endpoint, leg);
    }
}

/// Takes over records that another VM hands over; returns how many were taken, none
/// while their feeds are not registered.
pub async fn accept_handover(node: &Arc<Node>, records: Records) -> u32 {
    let mut keys = Vec::with_capacity(records.records.len());
    for message in &records.records {
        let Some(key) = message.key.as_ref().and_then(Key::from_message) else {
            continue;
        };
        let is_known = node.flows.with(key, |record| record.is_owned) == Some(true);
        let merged = node.flows.with_or_insert(key, |record| {
            if is_known {
                merge_into_owned(record, message);
            } else {
                record.merge(message);
            }
        });
        if merged.is_ok() {
            keys.push(key);
        }
    }
    if timeout(ADOPT_TIMEOUT, take_over(node, &keys)).await.is_ok() {
        keys.len() as u32
    } else {
        0
    }
}

/// Joins a handed-over record with one that this VM opened in the meantime.
fn merge_into_owned(record: &mut Record, message: &FlowRecord) {
    let mut other = Record::new(record.key);
    other.merge(message);
    let Some(theirs) = other.coap_state else {
        return;
    };
    let coap_state = record.coap_state_mut();
    for exchange in theirs.exchanges {
        coap_state.merge_exchange(exchange);
    }
    for feed in theirs.feeds {
        if coap_state
            .feeds
            .iter()
            .all(|known| known.token != feed.token)
        {
            coap_state.feeds.push(feed);
        }
    }
}

/// Serves these records from now on and registers their feeds.
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
                relocation::register_again(&node, key, token, None).await;
            }));
        }
        node.replicas.push(*key);
    }
    for registration in registrations {
        // A panic there leaves one feed to its Max-Age.
        let _ = registration.await;
    }
}
