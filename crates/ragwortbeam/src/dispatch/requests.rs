//! Handling of callers' CoAP messages, from the request datagram to the answer.

use std::time::Instant;

use coap_lite::{MessageClass, MessageType, Packet};
use metrics::{counter, histogram};
use spdlog::info;

use super::attempt::{self, Constraints};
use super::reserve::{self, Outcome, Permit};
use super::{feed, notify};
use crate::flow::Key;
use crate::flow::at_most_once::ExchangeStatus;
use crate::flow::record::Transfer;
use crate::prelude::*;
use crate::refusal::{Reason, Refusal};
use crate::release::Service;
use crate::wire::coap;

/// Maximum number of block-wise transfers recorded per flow; the oldest is dropped first.
const MAX_TRANSFERS: usize = 8;

/// Handles a CoAP datagram from a caller whose flow this VM owns.
pub fn receive(node: &Arc<Node>, service: &Arc<Service>, key: Key, datagram: &[u8]) {
    let packet = match coap::decode(datagram) {
        Ok(packet) => packet,
        Err(reason) => return node.refusals.add(reason),
    };
    match (packet.header.code, packet.header.get_type()) {
        (MessageClass::Request(_), MessageType::Confirmable | MessageType::NonConfirmable) => {
            start_request(node, service, key, packet);
        }
        (MessageClass::Empty, MessageType::Acknowledgement) => {
            notify::handle_acknowledgement(node, key, packet.header.message_id);
        }
        (MessageClass::Empty, MessageType::Reset) => {
            notify::handle_reset(node, key, packet.header.message_id);
        }
        // An empty confirmable message is a CoAP ping (RFC 7252, section 4.3). Like any other
        // unexpected confirmable message, it is answered with a reset.
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

fn start_request(node: &Arc<Node>, service: &Arc<Service>, key: Key, request: Packet) {
    let Some(kind) = coap::request_type(&request) else {
        return;
    };
    if let Err(reason) = coap::check_options(&request) {
        return send_refusal(node, service, key, &request, Refusal::not_run(reason));
    }
    let message_id = request.header.message_id;
    let is_idempotent = coap::is_idempotent(kind);
    let local = node.members.process();
    let started = node.flows.with_or_insert(key, |record| {
        record.is_owned = true;
        record.start_exchange(message_id, is_idempotent, local)
    });
    match started {
        Err(reason) => send_refusal(node, service, key, &request, Refusal::not_run(reason)),
        Ok(ExchangeStatus::Duplicate) => counter!("ragwortbeam_duplicates_total").increment(1),
        Ok(ExchangeStatus::Answered(answer)) => {
            counter!("ragwortbeam_answers_repeated_total").increment(1);
            node.entry.send(key, &answer);
        }
        Ok(ExchangeStatus::HeldBy(holder)) => {
            if let Err(refusal) = reserve::holder_outcome(node, holder) {
                let answer = refusal_answer(node, service, key, &request, refusal);
                finish_exchange(node, key, message_id, false, answer);
            }
        }
        Ok(ExchangeStatus::New) => {
            let request_guard = node.begin_request();
            let (node, service) = (node.clone(), service.clone());
            tokio::spawn(async move {
                serve_request(&node, &service, key, request, is_idempotent).await;
                drop(request_guard);
            });
        }
    }
}

async fn serve_request(
    node: &Arc<Node>,
    service: &Arc<Service>,
    key: Key,
    request: Packet,
    is_idempotent: bool,
) {
    let message_id = request.header.message_id;
    let started_at = Instant::now();
    let deadline = started_at + time_limit(node, &request);
    let mut permit = None;
    if !is_idempotent {
        match reserve::reserve(node, key, message_id).await {
            Ok(Outcome::Granted(valid_until)) => {
                permit = Some(Permit::new(key, message_id, valid_until))
            }
            Ok(Outcome::Answered(answer)) => {
                return finish_exchange(node, key, message_id, false, answer);
            }
            Ok(Outcome::Elsewhere | Outcome::Unsettled(_)) => return,
            Err(refusal) => {
                let answer = refusal_answer(node, service, key, &request, refusal);
                return finish_exchange(node, key, message_id, false, answer);
            }
        }
    }
    let mut constraints = Constraints {
        is_idempotent,
        deadline,
        permit,
        pinned_endpoint: pinned_endpoint(node, key, &request),
    };
    let answer = match obtain_answer(node, service, key, &request, &mut constraints).await {
        Ok(mut answer) => {
            coap::match_answer_to_request(&request, &mut answer);
            counter!("ragwortbeam_requests_total", "verdict" => "ran").increment(1);
            histogram!("ragwortbeam_request_seconds").record(started_at.elapsed());
            coap::encode(&answer).into()
        }
        Err(refusal) => refusal_answer(node, service, key, &request, refusal),
    };
    finish_exchange(node, key, message_id, is_idempotent, answer);
}

/// Returns the time allowed for the request: the configured limit, or less if the caller set
/// a shorter one.
fn time_limit(node: &Node, request: &Packet) -> Duration {
    let limit = node.settings.limits.request_deadline;
    match coap::deadline_ms(request) {
        Some(ms) => limit.min(Duration::from_millis(ms)),
        None => limit,
    }
}

async fn obtain_answer(
    node: &Arc<Node>,
    service: &Arc<Service>,
    key: Key,
    request: &Packet,
    constraints: &mut Constraints,
) -> Result<Packet, Refusal> {
    if coap::is_registration(request) {
        return feed::register(node, service, key, request, constraints.deadline).await;
    }
    // A deregistration is a GET request too, so an endpoint answers it like any other (RFC 7641,
    // section 3.6).
    if coap::is_deregistration(request) {
        feed::deregister(node, key, request);
    }
    let answer = attempt::run(node, service, request, constraints).await?;
    record_transfer(node, key, request, &answer);
    Ok(answer.packet)
}

/// Returns the endpoint that served the earlier blocks of a block-wise transfer; `None` for a
/// first block or an unknown transfer.
fn pinned_endpoint(node: &Node, key: Key, request: &Packet) -> Option<id::Endpoint> {
    if coap::block_number(request) == 0 {
        return None;
    }
    let resource = coap::resource_hash(request);
    let endpoint = node.flows.with(key, |record| {
        let transfers = &record.coap_state.as_ref()?.transfers;
        let transfer = transfers
            .iter()
            .find(|transfer| transfer.resource == resource)?;
        Some(transfer.endpoint)
    });
    endpoint.flatten()
}

/// Records the endpoint that served the first block, so that the following blocks go there
/// too; removes the record with the last block.
fn record_transfer(node: &Node, key: Key, request: &Packet, answer: &attempt::Answer) {
    let resource = coap::resource_hash(request);
    let has_more = coap::has_more_blocks(&answer.packet);
    if coap::block_number(request) != 0 && has_more {
        return;
    }
    let changed = node.flows.with(key, |record| {
        let transfers = &mut record.coap_state_mut().transfers;
        let previous_len = transfers.len();
        transfers.retain(|transfer| transfer.resource != resource);
        let was_recorded = transfers.len() < previous_len;
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
        was_recorded || has_more
    });
    if changed == Some(true) {
        node.replicas.push(key);
    }
}

/// Sends a refusal to a request for which no exchange is recorded.
fn send_refusal(node: &Arc<Node>, service: &Service, key: Key, request: &Packet, refusal: Refusal) {
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
    let refusal = weaken_uncertain_verdict(node, key, request, refusal);
    node.refusals.add(refusal.reason);
    let verdict = refusal.verdict.to_string();
    counter!("ragwortbeam_requests_total", "verdict" => verdict).increment(1);
    info!("event=request_refused service={} {refusal}", service.name);
    let retry_after_s = node.pools.get_or_create(node, service.id).retry_after_s();
    coap::encode(&coap::refuse(request, refusal, retry_after_s)).into()
}

/// Changes the verdict `NotRun` to `MayHaveRun` where this VM cannot be certain: a previous
/// owner of the flow may have run an idempotent request that the caller now retransmits.
fn weaken_uncertain_verdict(node: &Node, key: Key, request: &Packet, refusal: Refusal) -> Refusal {
    let is_idempotent = coap::request_type(request).is_some_and(coap::is_idempotent);
    let is_certain = !is_idempotent || node.members.is_stable_owner(key.hash());
    if is_certain || refusal.verdict != Verdict::NotRun {
        return refusal;
    }
    Refusal::may_have_run(refusal.reason)
}

/// Finishes the exchange and sends the answer. The answer to a non-idempotent request is kept
/// and replicated.
fn finish_exchange(node: &Node, key: Key, message_id: u16, is_idempotent: bool, answer: Arc<[u8]>) {
    node.flows
        .with(key, |record| record.finish_exchange(message_id, &answer));
    if !is_idempotent {
        node.replicas.push(key);
    }
    node.entry.send(key, &answer);
}
