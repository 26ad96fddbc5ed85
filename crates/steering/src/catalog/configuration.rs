//! The operator's configuration: routes from addresses to services.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

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
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Configuration {
    /// Revision of the store at which the configuration was written; 0 when there is none.
    pub revision: u64,
    /// Version set by the operator, who increases it with each change.
    pub version: u64,
    /// Idle time after which a VM drops a flow from its flow table; 0 selects the default.
    pub flow_idle: Duration,
    /// Routes by destination address.
    pub routes: HashMap<SocketAddrV4, Route>,
}

impl Configuration {
    /// Returns whether a route sends flows to a service.
    pub fn has_service(&self, name: &str) -> bool {
        let mut targets = self.routes.values().flat_map(|route| &route.targets);
        targets.any(|target| *target.service == *name)
    }
}
