//! Requests of callers: from datagram to answer.

use std::time::Instant;

use coap_lite::{MessageClass, MessageType, Packet};
use metrics::{counter, histogram};
use spdlog::info;

use super::attempt::{self, Rules};
use super::reserve::{self, Outcome, Permit};
use super::{feed, notify};
use crate::flow::Key;
use crate::flow::at_most_once::ExchangeStatus;
use crate::flow::record::Transfer;
use crate::prelude::*;
use crate::refusal::{Reason, Refusal};
use crate::release::Service;
use crate::wire::coap;

/// Most block-wise transfers remembered for one flow.
const MAX_TRANSFERS: usize = 8;

/// Takes a caller's datagram of a flow that this VM serves.
pub fn receive(node: &Arc<Node>, service: &Arc<Service>, key: Key, datagram: &[u8]) {
    let packet = match coap::decode(datagram) {
        Ok(packet) => packet,
        Err(reason) => return node.refusals.add(reason),
    };
    match (packet.header.code, packet.header.get_type()) {
        (MessageClass::Request(_), MessageType::Confirmable | MessageType::NonConfirmable) => {
            start(node, service, key, packet);
        }
        (MessageClass::Empty, MessageType::Acknowledgement) => {
            notify::acknowledged(node, key, packet.header.message_id);
        }
        (MessageClass::Empty, MessageType::Reset) => {
            notify::reset(node, key, packet.header.message_id);
        }
        // A CoAP ping is one of these (RFC 7252, section 4.3).
        (code, MessageType::Confirmable) => {
            if code != MessageClass::Empty {
                node.refusals.add(Reason::MessageUnexpected);
            }
            let reset = coap::empty(MessageType::Reset, packet.header.message_id);
            node.entry.send(key, &coap::encode(&reset));
        }
        _ => node.refusals.add(Reason::MessageUnexpected),
    }
}

fn start(node: &Arc<Node>, service: &Arc<Service>, key: Key, request: Packet) {
    let Some(kind) = coap::request_type(&request) else {
        return;
    };
    if let Err(reason) = coap::check_options(&request) {
        return refuse(node, service, key, &request, Refusal::not_run(reason));
    }
    let id = request.header.message_id;
    let is_idempotent = coap::is_idempotent(kind);
    let me = node.members.process();
    let started = node.flows.with_or_insert(key, |record| {
        record.is_owned = true;
        record.start_exchange(id, is_idempotent, me)
    });
    match started {
        Err(reason) => refuse(node, service, key, &request, Refusal::not_run(reason)),
        Ok(ExchangeStatus::Duplicate) => counter!("ragwortbeam_duplicates_total").increment(1),
        Ok(ExchangeStatus::Answered(answer)) => {
            counter!("ragwortbeam_answers_repeated_total").increment(1);
            node.entry.send(key, &answer);
        }
        Ok(ExchangeStatus::HeldBy(holder)) => {
            if let Err(refusal) = reserve::judge_holder(node, holder) {
                let answer = refusal_answer(node, service, key, &request, refusal);
                finish(node, key, id, false, answer);
            }
        }
        Ok(ExchangeStatus::New) => {
            let work = node.begin_work();
            let (node, service) = (node.clone(), service.clone());
            tokio::spawn(async move {
                serve(&node, &service, key, request, is_idempotent).await;
                drop(work);
            });
        }
    }
}

async fn serve(
    node: &Arc<Node>,
    service: &Arc<Service>,
    key: Key,
    request: Packet,
    is_idempotent: bool,
) {
    let id = request.header.message_id;
    let begun = Instant::now();
    let deadline = begun + allowed(node, &request);
    let mut permit = None;
    if !is_idempotent {
        match reserve::reserve(node, key, id).await {
            Ok(Outcome::Granted(until)) => permit = Some(Permit::new(key, id, until)),
            Ok(Outcome::Answered(answer)) => {
                return finish(node, key, id, false, answer);
            }
            Ok(Outcome::Elsewhere | Outcome::Unsettled(_)) => return,
            Err(refusal) => {
                let answer = refusal_answer(node, service, key, &request, refusal);
                return finish(node, key, id, false, answer);
            }
        }
    }
    let mut rules = Rules {
        is_idempotent,
        deadline,
        permit,
        pinned: pinned(node, key, &request),
    };
    let answer = match answer(node, service, key, &request, &mut rules).await {
        Ok(mut answer) => {
            coap::address_answer(&request, &mut answer);
            counter!("ragwortbeam_requests_total", "verdict" => "ran").increment(1);
            histogram!("ragwortbeam_request_seconds").record(begun.elapsed());
            coap::encode(&answer).into()
        }
        Err(refusal) => refusal_answer(node, service, key, &request, refusal),
    };
    finish(node, key, id, is_idempotent, answer);
}

/// Returns the time that the request may take.
fn allowed(node: &Node, request: &Packet) -> Duration {
    let limit = node.settings.limits.request_deadline;
    match coap::deadline_ms(request) {
        Some(ms) => limit.min(Duration::from_millis(ms)),
        None => limit,
    }
}

async fn answer(
    node: &Arc<Node>,
    service: &Arc<Service>,
    key: Key,
    request: &Packet,
    rules: &mut Rules,
) -> Result<Packet, Refusal> {
    if coap::is_registration(request) {
        return feed::register(node, service, key, request, rules.deadline).await;
    }
    if coap::is_deregistration(request) {
        feed::deregister(node, key, request);
    }
    let answer = attempt::run(node, service, request, rules).await?;
    remember_transfer(node, key, request, &answer);
    Ok(answer.packet)
}

/// Returns the endpoint that serves the earlier blocks of a transfer.
fn pinned(node: &Node, key: Key, request: &Packet) -> Option<id::Endpoint> {
    if coap::block_number(request) == 0 {
        return None;
    }
    let resource = coap::resource_hash(request);
    let endpoint = node.flows.with(key, |record| {
        let transfers = &record.coap_state.as_ref()?.transfers;
        let transfer = transfers.iter().find(|known| known.resource == resource)?;
        Some(transfer.endpoint)
    });
    endpoint.flatten()
}

/// Binds the blocks that follow the first one to its endpoint.
fn remember_transfer(node: &Node, key: Key, request: &Packet, answer: &attempt::Answer) {
    let resource = coap::resource_hash(request);
    let has_more = coap::has_more_blocks(&answer.packet);
    if coap::block_number(request) != 0 && has_more {
        return;
    }
    let changed = node.flows.with(key, |record| {
        let transfers = &mut record.coap_state_mut().transfers;
        let before = transfers.len();
        transfers.retain(|known| known.resource != resource);
        let was_known = transfers.len() < before;
        if has_more {
            if transfers.len() == MAX_TRANSFERS {
                transfers.remove(0);
            }
            transfers.push(Transfer {
                resource,
                endpoint: answer.endpoint,
            });
        }
        record.drop_empty_state();
        was_known || has_more
    });
    if changed == Some(true) {
        node.replicas.push(key);
    }
}

/// Refuses a request that has no exchange.
fn refuse(node: &Arc<Node>, service: &Service, key: Key, request: &Packet, refusal: Refusal) {
    let answer = refusal_answer(node, service, key, request, refusal);
    node.entry.send(key, &answer);
}

fn refusal_answer(
    node: &Arc<Node>,
    service: &Service,
    key: Key,
    request: &Packet,
    refusal: Refusal,
) -> Arc<[u8]> {
    let refusal = with_known_verdict(node, key, request, refusal);
    node.refusals.add(refusal.reason);
    let verdict = refusal.verdict.to_string();
    counter!("ragwortbeam_requests_total", "verdict" => verdict).increment(1);
    info!("event=request_refused service={} {refusal}", service.name);
    let retry_after_s = node.pools.of(node, service.id).retry_after_s();
    coap::encode(&coap::refuse(request, refusal, retry_after_s)).into()
}

/// Weakens a verdict that this VM cannot know: another VM may have run an idempotent
/// request that the caller retransmits, while it owned the flow.
fn with_known_verdict(node: &Node, key: Key, request: &Packet, refusal: Refusal) -> Refusal {
    let is_idempotent = coap::request_type(request).is_some_and(coap::is_idempotent);
    let is_certain = !is_idempotent || node.members.is_stable_owner(key.hash());
    if is_certain || refusal.verdict != Verdict::NotRun {
        return refusal;
    }
    Refusal::may_have_run(refusal.reason)
}

/// Sends the answer and, for a non-idempotent request, keeps and copies it.
fn finish(node: &Node, key: Key, id: u16, is_idempotent: bool, answer: Arc<[u8]>) {
    node.flows
        .with(key, |record| record.finish_exchange(id, &answer));
    if !is_idempotent {
        node.replicas.push(key);
    }
    node.entry.send(key, &answer);
}
