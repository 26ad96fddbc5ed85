//! When a VM may end a caller's flow.
//!
//! A reset of an open flow whose endpoint lives breaks work in progress, so every doubt
//! ends in silence: the caller sends its packet again, and that decides anew.

use crate::load::EndpointLoads;
use crate::prelude::*;

/// Time after an endpoint is gone before its open flows are reset: an entry that lapsed
/// while the store was away is back within two seconds of its return.
const GONE_GRACE: Duration = Duration::from_millis(2500);

/// Sign of life within which an endpoint is not taken as gone, whatever its entry says.
const ALIVE_WINDOW: Duration = Duration::from_secs(2);

/// Age of the catalog up to which the lack of a route is taken as known.
const CURRENT: Duration = Duration::from_millis(2500);

/// Why a flow is reset.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// No route has the address.
    NoRoute,
    /// No endpoint of the service takes new flows.
    NoEndpoint,
    /// The endpoint's entry was removed and the endpoint stays silent.
    EndpointGone,
}

impl Reason {
    /// Returns the name, for logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::NoRoute => "no_route",
            Self::NoEndpoint => "no_endpoint",
            Self::EndpointGone => "endpoint_gone",
        }
    }
}

/// Returns whether a new flow without a route may be refused; an outdated catalog may
/// merely lack the route.
pub fn may_refuse_unrouted(catalog: &Catalog, now: Moment) -> bool {
    catalog.age(now) <= CURRENT
}

/// Returns whether an open flow on this endpoint may be reset after the caller repeated
/// its data in vain.
pub fn may_reset_open(
    key: catalog::EndpointKey,
    endpoint: &Endpoint,
    board: &EndpointLoads,
    now: Moment,
) -> bool {
    let is_gone = endpoint
        .gone_for(now)
        .is_some_and(|gone| gone >= GONE_GRACE);
    is_gone && !board.answered_within(key, ALIVE_WINDOW, now)
}
