//! Conditions under which a VM may reset a caller's flow.
//!
//! Resetting an open flow whose endpoint is alive aborts work in progress. In case of doubt, no
//! reset is sent: the caller retransmits its packet, and the conditions are evaluated again.

use crate::load::EndpointLoads;
use crate::prelude::*;

/// Minimum time between an endpoint being gone and a reset of its open flows: an entry that lapsed
/// during a store outage is written again within two seconds of the end of the outage.
const RESET_DELAY: Duration = Duration::from_millis(2500);

/// Time after an endpoint's answer in which its flows are not reset, even if its entry was
/// removed.
const RECENT_ANSWER_WINDOW: Duration = Duration::from_secs(2);

/// Maximum age of a catalog whose lack of a route proves that no such route exists.
const MAX_CATALOG_AGE: Duration = Duration::from_millis(2500);

/// Reason for the reset of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// No route has the destination address.
    NoRoute,
    /// No endpoint of the service accepts new flows.
    NoEndpoint,
    /// The service is so loaded that the flow would not get a slot in time.
    Overloaded,
    /// The endpoint's entry was removed and the endpoint no longer answers.
    EndpointGone,
}

impl Reason {
    /// Returns the label of the reason in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::NoRoute => "no_route",
            Self::NoEndpoint => "no_endpoint",
            Self::Overloaded => "overloaded",
            Self::EndpointGone => "endpoint_gone",
        }
    }
}

/// Returns whether a new flow without a route may be reset; an outdated catalog may merely lack
/// a new route.
pub fn may_reset_unrouted(catalog: &Catalog, now: Moment) -> bool {
    catalog.age(now) <= MAX_CATALOG_AGE
}

/// Returns whether an open flow with the token of this endpoint instance may be reset after the
/// caller retransmitted data without an answer.
///
/// The newest instance of the endpoint decides. While it lives it may hold the flow, which it
/// accepted before its own entry was known here, and it resets the flows that it does not hold.
pub fn may_reset_open(
    instance: catalog::EndpointKey,
    catalog: &Catalog,
    endpoint_loads: &EndpointLoads,
    now: Moment,
) -> bool {
    let Some(newest) = catalog.newest_instance(instance) else {
        return false;
    };
    let is_gone = catalog
        .endpoint(newest)
        .and_then(|endpoint| endpoint.gone_for(now))
        .is_some_and(|gone| gone >= RESET_DELAY);
    let has_answered = |key| endpoint_loads.answered_within(key, RECENT_ANSWER_WINDOW, now);
    is_gone && !has_answered(instance) && !has_answered(newest)
}
