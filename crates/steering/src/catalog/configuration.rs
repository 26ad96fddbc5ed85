//! The operator's configuration: routes from addresses to services.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use super::Revision;

/// Kind of traffic on the flows of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Traffic {
    /// Idempotent requests, many on one flow.
    Idempotent,
    /// Non-idempotent requests, which must not be repeated; one on each flow.
    NonIdempotent,
    /// Idempotent requests with large responses.
    Bulk,
}

/// A service that a route sends flows to, with its weight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Name of the service.
    pub service: Arc<str>,
    /// Share of new flows, relative to the sum of the route's weights.
    pub weight: u32,
}

/// Services that receive the new flows to one address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name that the operator gave the route.
    pub name: String,
    /// Destination address of the callers' packets.
    pub address: SocketAddrV4,
    /// Kind of traffic on its flows.
    pub traffic: Traffic,
    /// Services with their weights; never empty, and the sum of the weights is above 0.
    pub targets: Vec<Target>,
    /// Urgency of the requests; 0 is the most urgent.
    pub priority: u32,
    /// Time within which a request is to be answered; 0 when it is not set.
    pub latency_target: Duration,
}

/// Limit for the endpoints of a service while they warm up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Warmup {
    /// Duration of the warm-up.
    pub duration: Duration,
    /// Requests a second that an endpoint bears meanwhile; above 0.
    pub rate_per_s: f64,
}

impl Route {
    /// Selects the service of a new flow in proportion to the weights.
    ///
    /// The same `flow_hash` always selects the same service of a route.
    pub fn select_service(&self, flow_hash: u64) -> &Arc<str> {
        let total: u64 = self
            .targets
            .iter()
            .map(|target| u64::from(target.weight))
            .sum();
        let mut remainder = flow_hash % total.max(1);
        for target in &self.targets {
            if remainder < u64::from(target.weight) {
                return &target.service;
            }
            remainder -= u64::from(target.weight);
        }
        &self.targets[0].service
    }
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Revision of the store at which the configuration was written; `NONE` when there is none.
    pub revision: Revision,
    /// Version set by the operator, who increases it with each change.
    pub version: u64,
    /// Idle time after which a VM drops a flow from its flow table; 0 selects the default.
    pub flow_idle: Duration,
    /// Routes by destination address.
    pub routes: HashMap<SocketAddrV4, Route>,
    /// Services whose endpoints have a limit while they warm up.
    pub warmups: HashMap<Arc<str>, Warmup>,
}

impl Configuration {
    /// Returns whether a route sends flows to a service.
    pub fn has_service(&self, name: &str) -> bool {
        let mut targets = self.routes.values().flat_map(|route| &route.targets);
        targets.any(|target| *target.service == *name)
    }
}
