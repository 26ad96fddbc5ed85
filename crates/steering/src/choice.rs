//! Choice of an endpoint for a new flow.
//!
//! Inputs are the catalog, the VM's subset of it, this VM's own counts and the other VMs'
//! counts, which are a report interval old. Chance breaks near ties, so that VMs with the same report do not
//! all choose the same endpoint.

use rand::{Rng, RngExt};

use crate::catalog::{EndpointKey, Traffic};
use crate::load::EndpointLoads;
use crate::prelude::*;
use crate::subset::Subset;

/// Weights of open flows and waiting requests in the load of an endpoint, and the
/// advantage for each slot that an endpoint of another data centre needs. The figures are
/// those of the comparison in `docs/MEASUREMENTS.md`, *Choice of an endpoint*.
struct Weights {
    open: f64,
    busy: f64,
    remote: f64,
}

/// For flows of many requests: an open one stands for requests to come, and a partition
/// would cut it off.
const LASTING: Weights = Weights {
    open: 0.15,
    busy: 1.0,
    remote: 3.0,
};

/// For flows of a single request, which end before the load changes.
const SINGLE: Weights = Weights {
    open: 0.03,
    busy: 1.0,
    remote: 0.5,
};

/// For large answers, which are short work but many bytes between data centres.
const BULK: Weights = Weights {
    open: 0.03,
    busy: 1.0,
    remote: 4.0,
};

/// Load that an endpoint with slow answers after its start counts for in addition, as a
/// factor.
const COLD_FACTOR: f64 = 1.6;

/// Load for each slot that an unanswered opening packet counts for, below the number that
/// makes an endpoint silent.
const UNANSWERED_PENALTY: f64 = 1.0;

/// Width of the random part, in requests for each slot.
const TIE_WIDTH: f64 = 0.45;

/// Share of a service's endpoints, in percent, that may be left out as silent. When more
/// seem silent, the fault is likely to be on this VM's side.
const MAX_SILENT_PERCENT: usize = 50;

/// A flow that needs an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// Service.
    pub service: &'a str,
    /// What the flow carries.
    pub traffic: Traffic,
    /// Data centre of this VM.
    pub data_centre: &'a str,
    /// Endpoints to which earlier copies of the opening packet went.
    pub avoid: [Option<EndpointKey>; 2],
}

/// Returns the endpoint for a new flow; `None` when the service has none that takes flows.
///
/// It is one of the VM's subset, unless none of these answers. When all entries of the
/// service have just gone, they have probably lapsed while their endpoints live.
pub fn choose(
    wish: &PlacementRequest<'_>,
    subset: &Subset,
    catalog: &Catalog,
    board: &EndpointLoads,
    now: Moment,
    random: &mut impl Rng,
) -> Option<EndpointKey> {
    let is_named = |(key, endpoint): &(EndpointKey, &Endpoint)| {
        *endpoint.entry.service == *wish.service && !catalog.is_ambiguous(*key)
    };
    let is_usable = |it: &(EndpointKey, &Endpoint)| is_named(it) && it.1.accepts_flows(now);
    let is_lapsed = |it: &(EndpointKey, &Endpoint)| is_named(it) && it.1.may_have_lapsed(now);
    let judged = |(key, endpoint)| Candidate {
        key,
        endpoint,
        is_silent: board.is_silent(key, endpoint, now) && !board.is_retry_due(key, now),
    };
    let known = subset.of(wish.service).iter();
    let known = known.filter_map(|key| Some((*key, catalog.endpoint(*key)?)));
    let mut candidates: Vec<Candidate<'_>> = known.filter(is_usable).map(judged).collect();
    if candidates.iter().all(|it| it.is_silent) {
        candidates = catalog.endpoints().filter(is_usable).map(judged).collect();
    }
    if candidates.is_empty() {
        candidates = catalog.endpoints().filter(is_lapsed).map(judged).collect();
    }
    let silent_count = candidates.iter().filter(|it| it.is_silent).count();
    let leaves_out_silent = silent_count * 100 <= candidates.len() * MAX_SILENT_PERCENT;
    let mut best = |is_allowed: &dyn Fn(&Candidate<'_>) -> bool| {
        candidates
            .iter()
            .filter(|candidate| is_allowed(candidate))
            .map(|it| {
                let tie = random.random_range(0.0..TIE_WIDTH);
                (it.key, cost(wish, it.key, it.endpoint, board, now) + tie)
            })
            .min_by(|left, right| left.1.total_cmp(&right.1))
            .map(|(key, _)| key)
    };
    let is_untried = |it: &Candidate<'_>| !wish.avoid.contains(&Some(it.key));
    best(&|it| is_untried(it) && !(leaves_out_silent && it.is_silent))
        .or_else(|| best(&is_untried))
        .or_else(|| best(&|_| true))
}

/// An endpoint that a flow may get.
struct Candidate<'a> {
    key: EndpointKey,
    endpoint: &'a Endpoint,
    /// True when it is silent and not due for another try.
    is_silent: bool,
}

/// Returns the load for each slot that a new flow would meet.
fn cost(
    wish: &PlacementRequest<'_>,
    key: EndpointKey,
    endpoint: &Endpoint,
    board: &EndpointLoads,
    now: Moment,
) -> f64 {
    let own = board.local_load(key);
    let reported = board.reported_load(endpoint, now);
    let open = f64::from(own.open + reported.open);
    let busy = f64::from(own.busy + reported.busy);
    let weights = match wish.traffic {
        Traffic::Idempotent => LASTING,
        Traffic::NonIdempotent => SINGLE,
        Traffic::Bulk => BULK,
    };
    let load = busy * weights.busy + open * weights.open;
    let mut cost = load / f64::from(endpoint.entry.slots);
    cost += f64::from(own.unanswered) * UNANSWERED_PENALTY;
    if endpoint.is_cold(now) {
        cost = (cost + 1.0 / f64::from(endpoint.entry.slots)) * COLD_FACTOR;
    }
    if *endpoint.entry.data_centre != *wish.data_centre {
        cost += weights.remote;
    }
    cost
}
