//! Choice of an endpoint for a new flow.
//!
//! The choice depends on the catalog, this VM's subset of its endpoints, the load that this VM
//! causes and the load that other VMs report, which is up to one report interval old. A random
//! part decides between endpoints of similar cost, so that VMs with the same report do not all
//! choose the same endpoint.

use std::collections::HashMap;

use rand::{Rng, RngExt};

use crate::catalog::{EndpointKey, Traffic};
use crate::load::EndpointLoads;
use crate::prelude::*;
use crate::subset::Subset;

/// Weights of the terms of an endpoint's cost, for one kind of traffic.
struct Weights {
    /// Load of an open flow.
    open: f64,
    /// Load of an outstanding request.
    busy: f64,
    /// Cost that is added for an endpoint in another data centre, in load per slot.
    remote: f64,
}

/// Weights for flows of many requests: an open flow will carry further requests, and a network
/// partition between the data centres would interrupt it.
const MULTI_REQUEST: Weights = Weights {
    open: 0.15,
    busy: 1.0,
    remote: 3.0,
};

/// Weights for flows of a single request, which end before the load changes.
const SINGLE_REQUEST: Weights = Weights {
    open: 0.03,
    busy: 1.0,
    remote: 0.5,
};

/// Weights for large responses, which take little processing but much bandwidth between the data
/// centres.
const BULK: Weights = Weights {
    open: 0.03,
    busy: 1.0,
    remote: 4.0,
};

/// Factor for the cost of an endpoint that is still warming up.
const WARMUP_FACTOR: f64 = 1.6;

/// Cost of an unanswered opening packet, in load per slot. It matters while there are fewer of them
/// than make the endpoint silent.
const UNANSWERED_PENALTY: f64 = 1.0;

/// Upper bound of the random part of the cost, in load per slot.
const MAX_JITTER: f64 = 0.45;

/// Largest share of the candidates, in percent, that may be excluded as silent. When more seem
/// silent, the fault is probably on this VM's side.
const MAX_SILENT_PERCENT: usize = 50;

/// Time without an answer of any endpoint elsewhere after which an evacuated data centre is used
/// all the same. Endpoints that are down lose their entries in about that time; a shorter silence
/// may be that of packets that were lost.
const MIN_SILENCE_TO_OVERRIDE: Duration = Duration::from_secs(3);

/// Parameters for the choice of an endpoint for a new flow.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Kind of traffic on the flow.
    pub traffic: Traffic,
    /// Data centre of this VM.
    pub data_centre: &'a str,
    /// Endpoints that earlier transmissions of the opening packet were sent to; chosen only when no
    /// other is available. `None` where there is none.
    pub avoid: [Option<EndpointKey>; 2],
}

/// Mean requests for each slot from which a data centre gets no flows that this one has no room
/// for: the counts of other data centres are old, and a flow that finds no room there either has
/// lost its time.
const MAX_SPILL_LOAD: f64 = 1.0;

/// Returns the load of an open flow, in outstanding requests.
pub fn open_weight(traffic: Traffic) -> f64 {
    weights(traffic).open
}

/// Returns an endpoint with room in another data centre, for a new flow that this one has no room
/// for; `None` when there is none.
///
/// Endpoints are drawn in proportion to their free slots, as all VMs see the same old counts.
pub fn spill(
    request: &PlacementRequest<'_>,
    subset: &Subset,
    catalog: &Catalog,
    endpoint_loads: &EndpointLoads,
    now: Moment,
    random: &mut impl Rng,
) -> Option<EndpointKey> {
    let in_subset = subset.endpoints_of(request.service).iter();
    let in_subset = in_subset.filter_map(|key| Some((*key, catalog.endpoint(*key)?)));
    let usable = in_subset.filter(|(key, endpoint)| {
        *endpoint.entry.data_centre != *request.data_centre
            && catalog.is_available(endpoint, now)
            && catalog.warmup_rate(endpoint, now).is_none()
            && !catalog.is_ambiguous(*key)
            && !request.avoid.contains(&Some(*key))
            && !endpoint_loads.is_silent(*key, endpoint, now)
    });
    let mut loads: HashMap<&str, (u32, u32)> = HashMap::new();
    let mut candidates: Vec<(EndpointKey, &str, u32)> = Vec::new();
    for (key, endpoint) in usable {
        let local = endpoint_loads.local_load(key);
        let elsewhere = endpoint_loads.reported_load(endpoint, now).busy;
        let busy = local.busy + local.leased + elsewhere;
        let slots = endpoint.entry.slots;
        let load = loads.entry(&endpoint.entry.data_centre).or_default();
        load.0 += busy;
        load.1 += slots;
        let data_centre = &*endpoint.entry.data_centre;
        candidates.push((key, data_centre, slots.saturating_sub(busy)));
    }
    candidates.retain(|(_, data_centre, free)| {
        let (busy, slots) = loads[data_centre];
        *free > 0 && f64::from(busy) < f64::from(slots) * MAX_SPILL_LOAD
    });
    let total: u32 = candidates.iter().map(|it| it.2).sum();
    let mut remainder = random.random_range(0..total.max(1));
    let drawn = candidates.iter().find(|(_, _, free)| {
        let is_drawn = remainder < *free;
        remainder = remainder.saturating_sub(*free);
        is_drawn
    });
    drawn.map(|(key, _, _)| *key)
}

/// Returns the endpoint for a new flow; `None` when the service has none that accepts flows.
///
/// The endpoint belongs to the VM's subset, unless each endpoint of the subset is silent or accepts
/// no new flows. An endpoint in an evacuated data centre is returned only when each endpoint
/// elsewhere has been silent for some seconds or accepts no new flows. When all entries of the service were removed a
/// short time ago, they have probably lapsed while their endpoints still run, and one of these
/// endpoints is returned.
pub fn choose(
    request: &PlacementRequest<'_>,
    subset: &Subset,
    catalog: &Catalog,
    endpoint_loads: &EndpointLoads,
    now: Moment,
    random: &mut impl Rng,
) -> Option<EndpointKey> {
    let is_addressable = |(key, endpoint): &(EndpointKey, &Endpoint)| {
        *endpoint.entry.service == *request.service && !catalog.is_ambiguous(*key)
    };
    // Only an allocator can keep the limit of an endpoint that warms up.
    let is_limited = |it: &(EndpointKey, &Endpoint)| catalog.warmup_rate(it.1, now).is_some();
    let is_usable = |it: &(EndpointKey, &Endpoint)| {
        is_addressable(it) && it.1.accepts_flows(now) && !is_limited(it)
    };
    let is_evacuated =
        |it: &(EndpointKey, &Endpoint)| catalog.evacuations().contains(&it.1.entry.data_centre);
    let is_available = |it: &(EndpointKey, &Endpoint)| is_usable(it) && !is_evacuated(it);
    // The entry of a replaced instance did not lapse: its endpoint has a newer one.
    let is_lapsed = |it: &(EndpointKey, &Endpoint)| {
        is_addressable(it)
            && it.1.may_have_lapsed(now)
            && catalog.newest_instance(it.0) == Some(it.0)
    };
    let candidate = |(key, endpoint)| Candidate {
        key,
        endpoint,
        is_silent: endpoint_loads.is_silent(key, endpoint, now)
            && !endpoint_loads.is_retry_due(key, now),
    };
    let in_subset = subset.endpoints_of(request.service).iter();
    let in_subset = in_subset.filter_map(|key| Some((*key, catalog.endpoint(*key)?)));
    let mut candidates: Vec<Candidate<'_>> =
        in_subset.filter(is_available).map(candidate).collect();
    let all_that = |is_allowed: &dyn Fn(&(EndpointKey, &Endpoint)) -> bool| {
        let allowed = catalog.endpoints().filter(is_allowed);
        allowed.map(candidate).collect::<Vec<Candidate<'_>>>()
    };
    if candidates.iter().all(|it| it.is_silent) {
        candidates = all_that(&is_available);
    }
    if candidates.is_empty() {
        candidates = all_that(&|it| is_lapsed(it) && !is_evacuated(it));
    }
    let has_no_answer = |it: &Candidate<'_>| {
        it.is_silent && !endpoint_loads.answered_within(it.key, MIN_SILENCE_TO_OVERRIDE, now)
    };
    if !catalog.evacuations().is_empty() && candidates.iter().all(has_no_answer) {
        let is_left = |it: &(EndpointKey, &Endpoint)| {
            is_addressable(it) && it.1.accepts_flows(now) && is_limited(it) && !is_evacuated(it)
        };
        // While an endpoint elsewhere warms up, the order leaves one to serve.
        if !catalog.endpoints().any(|it| is_left(&it)) {
            candidates = all_that(&is_usable);
        }
    }
    if candidates.is_empty() {
        candidates = all_that(&is_lapsed);
    }
    let silent_count = candidates.iter().filter(|it| it.is_silent).count();
    let excludes_silent = silent_count * 100 <= candidates.len() * MAX_SILENT_PERCENT;
    let mut cheapest = |is_allowed: &dyn Fn(&Candidate<'_>) -> bool| {
        candidates
            .iter()
            .filter(|candidate| is_allowed(candidate))
            .map(|it| {
                let jitter = random.random_range(0.0..MAX_JITTER);
                (
                    it.key,
                    cost(request, it.key, it.endpoint, endpoint_loads, now) + jitter,
                )
            })
            .min_by(|left, right| left.1.total_cmp(&right.1))
            .map(|(key, _)| key)
    };
    let is_untried = |it: &Candidate<'_>| !request.avoid.contains(&Some(it.key));
    cheapest(&|it| is_untried(it) && !(excludes_silent && it.is_silent))
        .or_else(|| cheapest(&is_untried))
        .or_else(|| cheapest(&|_| true))
}

/// An endpoint that a new flow may be placed on.
struct Candidate<'a> {
    key: EndpointKey,
    endpoint: &'a Endpoint,
    /// True when the endpoint is silent and its next retry is not due yet.
    is_silent: bool,
}

/// Returns the cost of placing a new flow on an endpoint, in load per slot.
fn cost(
    request: &PlacementRequest<'_>,
    key: EndpointKey,
    endpoint: &Endpoint,
    endpoint_loads: &EndpointLoads,
    now: Moment,
) -> f64 {
    let local = endpoint_loads.local_load(key);
    let reported = endpoint_loads.reported_load(endpoint, now);
    let open = f64::from(local.open + reported.open);
    let busy = f64::from(local.busy + local.leased + reported.busy);
    let weights = weights(request.traffic);
    let load = busy * weights.busy + open * weights.open;
    let mut cost = load / f64::from(endpoint.entry.slots);
    cost += f64::from(local.unanswered) * UNANSWERED_PENALTY;
    if endpoint.is_warming_up(now) {
        cost = (cost + 1.0 / f64::from(endpoint.entry.slots)) * WARMUP_FACTOR;
    }
    if *endpoint.entry.data_centre != *request.data_centre {
        cost += weights.remote;
    }
    cost
}

fn weights(traffic: Traffic) -> Weights {
    match traffic {
        Traffic::Idempotent => MULTI_REQUEST,
        Traffic::NonIdempotent => SINGLE_REQUEST,
        Traffic::Bulk => BULK,
    }
}
