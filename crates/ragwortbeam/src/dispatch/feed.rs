//! Feeds: callers' CoAP observations (RFC 7641) and their registrations at endpoints.

use std::time::Instant;

use coap_lite::Packet;
use metrics::counter;

use super::pool::{Completion, Lease};
use crate::clock;
use crate::flow::record::Feed;
use crate::flow::{Key, replication};
use crate::prelude::*;
use crate::refusal::{Reason, Refusal};
use crate::release::Service;
use crate::wire::coap::{self, Token};

/// Time allowed for a registration at one endpoint, and for one attempt to reregister a feed.
pub(super) const REGISTER_TIMEOUT: Duration = Duration::from_secs(3);

/// Mask of the 24-bit Observe value (RFC 7641, section 3.4).
const SEQUENCE_MASK: u32 = 0x00ff_ffff;

/// Way in which a registration is admitted to an endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) enum Admission {
    /// The registration waits in the service's queue like any request.
    New,
    /// The registration bypasses the queue, since the feed was admitted before and its caller
    /// waits for no answer.
    Established {
        /// Endpoint that the feed moves away from; `None` if any may be chosen.
        excluded: Option<id::Endpoint>,
    },
}

/// A registration to which an endpoint has responded. The endpoint has accepted it only if
/// the answer carries an Observe option.
pub(super) struct Registration {
    /// The endpoint's answer.
    pub(super) answer: Packet,
    /// Id of the endpoint that answered.
    pub(super) endpoint: id::Endpoint,
    /// Token of the registration at the endpoint.
    pub(super) endpoint_token: u64,
}

/// Registers a caller's observation at an endpoint and returns the endpoint's first answer.
/// Registration is idempotent, so it needs no reservation.
///
/// # Errors
///
/// Returns the refusal to send to the caller.
pub async fn register(
    node: &Arc<Node>,
    service: &Service,
    key: Key,
    request: &Packet,
    deadline: Instant,
) -> Result<Packet, Refusal> {
    let token = Token::new(request.get_token());
    // A registration replaces an earlier one with the same token (RFC 7641, section 4.1).
    deregister(node, key, request);
    let mut registration =
        register_at_any_endpoint(node, service, key, request, Admission::New, deadline).await?;
    if coap::observe(&registration.answer).is_none() {
        return Ok(registration.answer);
    }
    let sequence = next_sequence(0);
    let feed = Feed {
        token,
        request: coap::encode(request).into(),
        endpoint: registration.endpoint,
        endpoint_token: Some(registration.endpoint_token),
        sequence,
        last_message_id: request.header.message_id,
        confirmed_at_ms: clock::monotonic_ms(),
        unconfirmed: None,
    };
    let added = node
        .flows
        .with_or_insert(key, |record| record.coap_state_mut().feeds.push(feed));
    if added.is_err() {
        end_registration(
            node,
            key.service,
            registration.endpoint,
            registration.endpoint_token,
        );
        return Err(Refusal::not_run(Reason::FlowsFull));
    }
    registration.answer.set_observe_value(sequence);
    counter!("ragwortbeam_feeds_opened_total").increment(1);
    replication::replicate_now(node, key).await;
    Ok(registration.answer)
}

/// Closes the caller's feed that has the request's token, if there is one.
pub fn deregister(node: &Arc<Node>, key: Key, request: &Packet) {
    close_feed(node, key, Token::new(request.get_token()));
}

/// Removes a feed from its flow's record and ends its registration at the endpoint.
pub fn close_feed(node: &Arc<Node>, key: Key, token: Token) {
    let removed = node.flows.with(key, |record| record.remove_feed(token));
    let Some(feed) = removed.flatten() else {
        return;
    };
    counter!("ragwortbeam_feeds_closed_total").increment(1);
    node.replicas.push(key);
    if let Some(endpoint_token) = feed.endpoint_token {
        end_registration(node, key.service, feed.endpoint, endpoint_token);
    }
}

/// Ends a registration at an endpoint. The endpoint learns of it when its next notification is
/// answered with a reset.
pub fn end_registration(
    node: &Arc<Node>,
    service: id::Service,
    endpoint: id::Endpoint,
    endpoint_token: u64,
) {
    let state = node.releases.state();
    let Some(service) = state.service(service) else {
        return;
    };
    if let Some(link) = node.links.get_or_open(node, service, endpoint) {
        link.deregister(endpoint_token);
    }
}

/// Tries to register an observation at one endpoint after another until one responds without
/// shedding, no endpoint is left or the deadline passes.
pub(super) async fn register_at_any_endpoint(
    node: &Arc<Node>,
    service: &Service,
    key: Key,
    request: &Packet,
    admission: Admission,
    deadline: Instant,
) -> Result<Registration, Refusal> {
    let pool = node.pools.get_or_create(node, service.id);
    let mut tried = Vec::new();
    if let Admission::Established { excluded } = admission {
        tried.extend(excluded);
    }
    let excluded_len = tried.len();
    let mut refusal = Refusal::not_run(Reason::NoEndpoint);
    loop {
        let data_centre = &node.settings.data_centre;
        let acquired = match admission {
            Admission::New => pool.acquire(service, data_centre, &tried, deadline).await,
            Admission::Established { .. } => {
                pool.acquire_any_unlimited(service, data_centre, &tried)
            }
        };
        let lease = match acquired {
            Ok(lease) => lease,
            Err(_) if tried.len() > excluded_len => return Err(refusal),
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
    let Some(link) = node.links.get_or_open(node, service, endpoint) else {
        return Err(Refusal::not_run(Reason::NoEndpoint));
    };
    let attempt_deadline = deadline.min(Instant::now() + REGISTER_TIMEOUT);
    match link.register(key, request.clone(), attempt_deadline).await {
        Ok((endpoint_token, answer)) if !coap::is_shed(&answer) => {
            lease.finish(Completion::Served);
            Ok(Registration {
                answer,
                endpoint,
                endpoint_token,
            })
        }
        Ok(_) => {
            lease.finish(Completion::Shed);
            Err(Refusal::not_run(Reason::Shed))
        }
        Err(_) => {
            lease.finish(Completion::Failed);
            Err(Refusal::may_have_run(Reason::BackendReset))
        }
    }
}

/// Returns the Observe value to send after `last`, or the first one if `last` is 0: the low 24
/// bits of the wall-clock time in milliseconds, or `last + 1` if the clock is not newer (RFC
/// 7641, section 4.4). With the clock, the values stay in order when the feed moves between
/// VMs, even if the new VM does not know the last value that the other one sent.
pub fn next_sequence(last: u32) -> u32 {
    let clock = clock::wall_ms() as u32 & SEQUENCE_MASK;
    if last == 0 || is_newer(clock, last) {
        clock
    } else {
        (last + 1) & SEQUENCE_MASK
    }
}

/// Returns whether the 24-bit Observe value `next` is newer than `last` in serial-number order
/// (RFC 7641, section 3.4).
pub fn is_newer(next: u32, last: u32) -> bool {
    let distance = next.wrapping_sub(last) & SEQUENCE_MASK;
    distance != 0 && distance <= SEQUENCE_MASK / 2
}
