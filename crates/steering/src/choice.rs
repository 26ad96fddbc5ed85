//! Choice of an endpoint for a new flow.
//!
//! Inputs are the catalog, this VM's own counts and the other VMs' counts, which are a
//! report interval old. Chance breaks near ties, so that VMs with the same report do not
//! all choose the same endpoint.

use rand::{Rng, RngExt};

use crate::catalog::{Key, Traffic};
use crate::load::Board;
use crate::prelude::*;

/// Load, in requests for each slot, that an open flow of idempotent requests stands for
/// when another such flow is placed: its requests come again and again.
const FLOW_SHARE_OF_LASTING: f64 = 0.15;

/// The same when a flow of a single request is placed, which ends soon.
const FLOW_SHARE_OF_SINGLE: f64 = 0.03;

/// Load for each slot by which an endpoint of another data centre has to be better: a
/// partition would cut its flows off, and bytes between data centres cost.
const REMOTE_PENALTY: f64 = 3.0;

/// Load that an endpoint with slow answers after its start counts for in addition, as a
/// factor.
const COLD_FACTOR: f64 = 1.6;

/// Width of the random part, in requests for each slot.
const TIE_WIDTH: f64 = 0.25;

/// Share of a service's endpoints, in percent, that may be left out as silent. When more
/// seem silent, the fault is likely to be on this VM's side.
const MAX_SILENT_PERCENT: usize = 50;

/// A flow that needs an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Wish<'a> {
    /// Service.
    pub service: &'a str,
    /// What the flow carries.
    pub traffic: Traffic,
    /// Data centre of this VM.
    pub data_centre: &'a str,
    /// Endpoints to which earlier copies of the opening packet went.
    pub avoid: [Option<Key>; 2],
}

/// Returns the endpoint for a new flow; `None` when the service has none that takes flows.
pub fn choose(
    wish: &Wish<'_>,
    catalog: &Catalog,
    board: &Board,
    now: Moment,
    random: &mut impl Rng,
) -> Option<Key> {
    let candidates: Vec<(Key, &Endpoint)> = catalog
        .endpoints()
        .filter(|(key, endpoint)| {
            *endpoint.entry.service == *wish.service
                && endpoint.takes_flows(now)
                && !catalog.is_ambiguous(*key)
        })
        .collect();
    let silent = |(key, endpoint): &(Key, &Endpoint)| {
        board.is_silent(*key, endpoint, now) && !board.may_retry(*key, now)
    };
    let silent_count = candidates.iter().filter(|it| silent(it)).count();
    let leaves_out_silent = silent_count * 100 <= candidates.len() * MAX_SILENT_PERCENT;
    let best = |is_allowed: &dyn Fn(&(Key, &Endpoint)) -> bool, random: &mut dyn FnMut() -> f64| {
        candidates
            .iter()
            .filter(|candidate| is_allowed(candidate))
            .map(|(key, endpoint)| {
                let cost = cost(wish, *key, endpoint, board, now) + random();
                (*key, cost)
            })
            .min_by(|left, right| left.1.total_cmp(&right.1))
            .map(|(key, _)| key)
    };
    let mut tie = || random.random_range(0.0..TIE_WIDTH);
    let is_untried = |(key, _): &(Key, &Endpoint)| !wish.avoid.contains(&Some(*key));
    best(
        &|it| is_untried(it) && !(leaves_out_silent && silent(it)),
        &mut tie,
    )
    .or_else(|| best(&is_untried, &mut tie))
    .or_else(|| best(&|_| true, &mut tie))
}

/// Returns the load for each slot that a new flow would meet.
fn cost(wish: &Wish<'_>, key: Key, endpoint: &Endpoint, board: &Board, now: Moment) -> f64 {
    let own = board.own(key);
    let reported = board.reported(endpoint, now);
    let open = f64::from(own.open + reported.open);
    let busy = f64::from(own.busy + reported.busy);
    let flow_share = match wish.traffic {
        Traffic::Idempotent => FLOW_SHARE_OF_LASTING,
        Traffic::NonIdempotent | Traffic::Bulk => FLOW_SHARE_OF_SINGLE,
    };
    let mut cost = (busy + open * flow_share) / f64::from(endpoint.entry.slots);
    if endpoint.is_cold(now) {
        cost = (cost + 1.0 / f64::from(endpoint.entry.slots)) * COLD_FACTOR;
    }
    if *endpoint.entry.data_centre != *wish.data_centre {
        cost += REMOTE_PENALTY;
    }
    cost
}
