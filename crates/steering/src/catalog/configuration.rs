//! The operator's configuration: which service answers at which address.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

/// What the flows of a route carry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Traffic {
    /// Idempotent requests, many on one flow.
    Idempotent,
    /// Requests that must not be repeated.
    NonIdempotent,
    /// Large idempotent answers.
    Bulk,
}

/// Share of a service in a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Service.
    pub service: Arc<str>,
    /// Relative share of new flows.
    pub weight: u32,
}

/// Where new flows to one address go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name.
    pub name: String,
    /// Address that callers use.
    pub address: SocketAddrV4,
    /// What its flows carry.
    pub traffic: Traffic,
    /// Services; not empty, and the weights' sum is above 0.
    pub targets: Vec<Target>,
}

impl Route {
    /// Returns the service of a new flow; `draw` is any number, drawn for the flow.
    pub fn select_service(&self, draw: u64) -> &Arc<str> {
        let total: u64 = self
            .targets
            .iter()
            .map(|target| u64::from(target.weight))
            .sum();
        let mut rest = draw % total.max(1);
        for target in &self.targets {
            if rest < u64::from(target.weight) {
                return &target.service;
            }
            rest -= u64::from(target.weight);
        }
        &self.targets[0].service
    }
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Configuration {
    /// Store revision of the item.
    pub revision: u64,
    /// Version that the operator gave it; rises with each change.
    pub version: u64,
    /// Idle time after which a flow may be dropped.
    pub flow_idle: Duration,
    /// Routes by address.
    pub routes: HashMap<SocketAddrV4, Route>,
}
