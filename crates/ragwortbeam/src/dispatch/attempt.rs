//! Dispatch of a request to endpoints, with retries.

use std::time::Instant;

use coap_lite::Packet;
use metrics::counter;

use super::pool::{Completion, Lease, Pool};
use super::reserve::Permit;
use crate::backend::Failure;
use crate::prelude::*;
use crate::refusal::{Reason, Refusal};
use crate::release::Service;
use crate::wire::coap;

/// Maximum number of attempts for one request, including the first.
const MAX_ATTEMPTS: usize = 3;

/// Constraints on the dispatch of one request.
#[derive(Debug)]
pub struct Constraints {
    /// True if the request may run more than once.
    pub is_idempotent: bool,
    /// Time by which the request has to be answered.
    pub deadline: Instant,
    /// Permit of a non-idempotent request; `None` for an idempotent one, which needs none.
    pub permit: Option<Permit>,
    /// Endpoint that served the earlier blocks of the transfer and has to serve the request,
    /// unless the service no longer lists it; `None` if any endpoint may.
    pub pinned_endpoint: Option<id::Endpoint>,
}

/// An endpoint's answer to a request.
#[derive(Debug)]
pub struct Answer {
    /// Answer as received, with the message id and token of this VM's request to the endpoint
    /// rather than of the caller's request.
    pub packet: Packet,
    /// Id of the endpoint that answered.
    pub endpoint: id::Endpoint,
}

/// Dispatches a request, retrying until an endpoint answers or no retry is allowed.
///
/// Each attempt goes to a different endpoint.
///
/// # Errors
///
/// Returns the refusal to send to the caller if no attempt got an answer.
pub async fn run(
    node: &Arc<Node>,
    service: &Service,
    request: &Packet,
    constraints: &mut Constraints,
) -> Result<Answer, Refusal> {
    let pool = node.pools.get_or_create(node, service.id);
    pool.retry_budget.deposit();
    let mut tried = Vec::new();
    let mut refusal = Refusal::not_run(Reason::NoEndpoint);
    while tried.len() < MAX_ATTEMPTS {
        if !tried.is_empty() && !pool.retry_budget.try_withdraw() {
            counter!("ragwortbeam_retries_denied_total").increment(1);
            break;
        }
        let lease = match acquire_lease(node, &pool, service, &tried, constraints).await {
            Ok(lease) => lease,
            Err(_) if !tried.is_empty() => break,
            Err(reason) => return Err(Refusal::not_run(reason)),
        };
        if !tried.is_empty() {
            let reason = refusal.reason.to_string();
            counter!("ragwortbeam_retries_total", "reason" => reason).increment(1);
        }
        if let Some(permit) = &mut constraints.permit {
            permit.renew(node).await?;
        }
        if Instant::now() >= constraints.deadline {
            // The verdict of the earlier attempts still holds.
            let reason = Reason::DeadlineQueued;
            return Err(Refusal { reason, ..refusal });
        }
        tried.push(lease.endpoint);
        match attempt_once(node, service, request, constraints, lease).await {
            Ok(answer) => return Ok(answer),
            Err(next) => refusal = combine_refusals(refusal, next),
        }
        let may_retry = constraints.is_idempotent || refusal.verdict == Verdict::NotRun;
        if !may_retry
            || constraints.pinned_endpoint.is_some()
            || Instant::now() >= constraints.deadline
        {
            break;
        }
    }
    Err(refusal)
}

async fn acquire_lease(
    node: &Node,
    pool: &Arc<Pool>,
    service: &Service,
    tried: &[id::Endpoint],
    constraints: &Constraints,
) -> Result<Lease, Reason> {
    if let Some(endpoint) = constraints
        .pinned_endpoint
        .and_then(|pinned| service.endpoint(pinned))
    {
        return Ok(pool.acquire_unlimited(endpoint.id, endpoint.slots));
    }
    let data_centre = &node.settings.data_centre;
    pool.acquire(service, data_centre, tried, constraints.deadline)
        .await
}

async fn attempt_once(
    node: &Arc<Node>,
    service: &Service,
    request: &Packet,
    constraints: &Constraints,
    lease: Lease,
) -> Result<Answer, Refusal> {
    let endpoint = lease.endpoint;
    let Some(link) = node.links.get_or_open(node, service, endpoint) else {
        return Err(Refusal::not_run(Reason::NoEndpoint));
    };
    let mut request = request.clone();
    let remaining = constraints
        .deadline
        .saturating_duration_since(Instant::now());
    coap::set_deadline_ms(&mut request, remaining.as_millis() as u64);
    match link.exchange(request, constraints.deadline).await {
        Ok(packet) if coap::is_shed(&packet) => {
            lease.finish(Completion::Shed);
            Err(Refusal::not_run(Reason::Shed))
        }
        Ok(packet) => {
            lease.finish(Completion::Served);
            Ok(Answer { packet, endpoint })
        }
        Err(Failure::NotSent) => {
            lease.finish(Completion::Failed);
            Err(Refusal::not_run(Reason::BackendReset))
        }
        Err(Failure::Reset) => {
            lease.finish(Completion::Failed);
            Err(Refusal::may_have_run(Reason::BackendReset))
        }
        Err(Failure::TimedOut) => {
            lease.finish(Completion::Failed);
            Err(Refusal::may_have_run(Reason::DeadlineDispatched))
        }
    }
}

/// Combines the refusals of two attempts: once an attempt may have run the request, a later
/// refusal as not run does not change that.
fn combine_refusals(previous: Refusal, next: Refusal) -> Refusal {
    if previous.verdict == Verdict::MayHaveRun {
        Refusal {
            reason: next.reason,
            verdict: Verdict::MayHaveRun,
        }
    } else {
        next
    }
}
