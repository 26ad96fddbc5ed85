//! Feeds: observations of callers (RFC 7641) and their registrations at endpoints.

use std::time::Instant;

use coap_lite::Packet;
use metrics::counter;

use super::pool::{End, Lease};
use crate::clock;
use crate::flow::record::Feed;
use crate::flow::{Key, replication};
use crate::prelude::*;
use crate::refusal::{Reason, Refusal};
use crate::release::Service;
use crate::wire::coap::{self, Token};

/// Time allowed for one registration at an endpoint that replaces an earlier one.
pub(super) const REGISTER_TIMEOUT: Duration = Duration::from_secs(3);

/// Width of the Observe value (RFC 7641, section 3.4).
const SEQUENCE_MASK: u32 = 0x00ff_ffff;

/// How a registration gets its slot.
#[derive(Clone, Copy, Debug)]
pub(super) enum Admission {
    /// In turn with other requests.
    New,
    /// At once, as the feed was admitted before and its caller waits for no answer.
    Established {
        /// Endpoint that the feed leaves.
        avoided: Option<id::Endpoint>,
    },
}

/// A registration that an endpoint has accepted or answered plainly.
pub(super) struct Registration {
    /// The endpoint's answer.
    pub(super) answer: Packet,
    /// Endpoint.
    pub(super) endpoint: id::Endpoint,
    /// Token towards it.
    pub(super) leg: u64,
}

/// Registers a caller's observation at an endpoint and returns the first answer.
///
/// # Errors
///
/// The refusal to answer with; a registration is idempotent.
pub async fn register(
    node: &Arc<Node>,
    service: &Service,
    key: Key,
    request: &Packet,
    deadline: Instant,
) -> Result<Packet, Refusal> {
    let token = Token::new(request.get_token());
    deregister(node, key, request);
    let mut registration =
        register_anywhere(node, service, key, request, Admission::New, deadline).await?;
    if coap::observe(&registration.answer).is_none() {
        return Ok(registration.answer);
    }
    let sequence = next_sequence(0);
    let feed = Feed {
        token,
        request: coap::encode(request).into(),
        endpoint: registration.endpoint,
        endpoint_token: Some(registration.leg),
        sequence,
        last_message_id: request.header.message_id,
        confirmed_at_ms: clock::monotonic_ms(),
        unconfirmed: None,
    };
    let added = node
        .flows
        .with_or_insert(key, |record| record.coap_state_mut().feeds.push(feed));
    if added.is_err() {
        end_leg(node, key.service, registration.endpoint, registration.leg);
        return Err(Refusal::not_run(Reason::FlowsFull));
    }
    registration.answer.set_observe_value(sequence);
    counter!("ragwortbeam_feeds_opened_total").increment(1);
    replication::replicate_now(node, key).await;
    Ok(registration.answer)
}

/// Ends the caller's observation with the request's token, if there is one.
pub fn deregister(node: &Arc<Node>, key: Key, request: &Packet) {
    drop_feed(node, key, Token::new(request.get_token()));
}

/// Ends an observation here and at its endpoint.
pub fn drop_feed(node: &Arc<Node>, key: Key, token: Token) {
    let removed = node.flows.with(key, |record| record.remove_feed(token));
    let Some(feed) = removed.flatten() else {
        return;
    };
    counter!("ragwortbeam_feeds_closed_total").increment(1);
    node.replicas.push(key);
    if let Some(leg) = feed.endpoint_token {
        end_leg(node, key.service, feed.endpoint, leg);
    }
}

/// Ends a registration at an endpoint; the endpoint learns it with its next notification.
pub fn end_leg(node: &Arc<Node>, service: id::Service, endpoint: id::Endpoint, leg: u64) {
    let state = node.releases.state();
    let Some(service) = state.service(service) else {
        return;
    };
    if let Some(link) = node.links.of(node, service, endpoint) {
        link.deregister(leg);
    }
}

/// Registers an observation at one endpoint after the other until one accepts it or the
/// deadline passes.
pub(super) async fn register_anywhere(
    node: &Arc<Node>,
    service: &Service,
    key: Key,
    request: &Packet,
    admission: Admission,
    deadline: Instant,
) -> Result<Registration, Refusal> {
    let pool = node.pools.of(node, service.id);
    let mut tried = Vec::new();
    if let Admission::Established { avoided } = admission {
        tried.extend(avoided);
    }
    let untried = tried.len();
    let mut refusal = Refusal::not_run(Reason::NoEndpoint);
    loop {
        let data_centre = &node.settings.data_centre;
        let acquired = match admission {
            Admission::New => pool.acquire(service, data_centre, &tried, deadline).await,
            Admission::Established { .. } => pool.take_any(service, data_centre, &tried),
        };
        let lease = match acquired {
            Ok(lease) => lease,
            Err(_) if tried.len() > untried => return Err(refusal),
            Err(reason) => return Err(Refusal::not_run(reason)),
        };
        tried.push(lease.endpoint);
        match register_at(node, service, key, request, lease, deadline).await {
            Ok(registration) => return Ok(registration),
            Err(next) => refusal = next,
        }
    }
}

async fn register_at(
    node: &Arc<Node>,
    service: &Service,
    key: Key,
    request: &Packet,
    lease: Lease,
    deadline: Instant,
) -> Result<Registration, Refusal> {
    let endpoint = lease.endpoint;
    let Some(link) = node.links.of(node, service, endpoint) else {
        return Err(Refusal::not_run(Reason::NoEndpoint));
    };
    let attempt_deadline = deadline.min(Instant::now() + REGISTER_TIMEOUT);
    match link.register(key, request.clone(), attempt_deadline).await {
        Ok((leg, answer)) if !coap::is_shed(&answer) => {
            lease.finish(End::Served);
            Ok(Registration {
                answer,
                endpoint,
                leg,
            })
        }
        Ok(_) => {
            lease.finish(End::Shed);
            Err(Refusal::not_run(Reason::Shed))
        }
        Err(_) => {
            lease.finish(End::Failed);
            Err(Refusal::may_have_run(Reason::BackendReset))
        }
    }
}

/// Returns the Observe value that follows `last` and, once the feed has moved between
/// VMs, also what the other VM sent: it is the wall clock's milliseconds unless that
/// is no newer than `last` (RFC 7641, section 4.4).
pub fn next_sequence(last: u32) -> u32 {
    let clock = clock::wall_ms() as u32 & SEQUENCE_MASK;
    if last == 0 || is_newer(clock, last) {
        clock
    } else {
        (last + 1) & SEQUENCE_MASK
    }
}

/// Returns whether Observe value `next` is newer than `last` (RFC 7641, section 3.4).
pub fn is_newer(next: u32, last: u32) -> bool {
    let distance = next.wrapping_sub(last) & SEQUENCE_MASK;
    distance != 0 && distance < SEQUENCE_MASK / 2
}
