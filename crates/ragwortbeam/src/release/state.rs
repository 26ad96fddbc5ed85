//! The configuration as of one release.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use derive_more::Display;

use crate::document;
use crate::id;

/// How the packets of a service are treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Display)]
pub enum Kind {
    /// CoAP requests, balanced one by one.
    #[display("requests")]
    Requests,
    /// Opaque datagrams, bound to one endpoint for each flow.
    #[display("datagrams")]
    Datagrams,
}

/// A service that callers send to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Hash of the name.
    pub id: id::Service,
    /// Unique name.
    pub name: String,
    /// How packets are treated; never changes.
    pub kind: Kind,
    /// Address that callers send to; unique among services.
    pub address: SocketAddr,
    /// Data centres that serve it; at least one.
    pub data_centres: Vec<String>,
    /// Backend servers; addresses are unique within the service.
    pub endpoints: Vec<Endpoint>,
}

impl Service {
    /// Returns the endpoint with this id.
    pub fn endpoint(&self, id: id::Endpoint) -> Option<&Endpoint> {
        self.endpoints.iter().find(|endpoint| endpoint.id == id)
    }

    /// Returns whether `data_centre` serves it.
    pub fn is_served_in(&self, data_centre: &str) -> bool {
        self.data_centres.iter().any(|name| name == data_centre)
    }

    /// Returns the endpoints of `data_centre` that take new work.
    pub fn open_endpoints(&self, data_centre: &str) -> impl Iterator<Item = &Endpoint> {
        self.endpoints
            .iter()
            .filter(move |endpoint| !endpoint.draining && endpoint.data_centre == data_centre)
    }
}

/// A backend server of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Hash of service and address.
    pub id: id::Endpoint,
    /// Where it listens.
    pub address: SocketAddr,
    /// Data centre it stands in.
    pub data_centre: String,
    /// Requests it serves at once; at least 1.
    pub slots: u32,
    /// True once it takes no new work.
    pub draining: bool,
}

/// All services as of one release.
///
/// A clone shares the services, so applying a note costs what it changes plus a map of
/// pointers.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct State {
    /// Number of the last note judged, accepted or rejected.
    pub number: u64,
    pub(super) services: BTreeMap<id::Service, Arc<Service>>,
}

impl State {
    /// Returns a service.
    pub fn service(&self, id: id::Service) -> Option<&Arc<Service>> {
        self.services.get(&id)
    }

    /// Returns all services in order of id.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// Returns the state as a document for other VMs.
    pub fn to_snapshot(&self) -> document::Snapshot {
        document::Snapshot {
            number: self.number,
            services: self.services().map(|service| entry(service)).collect(),
        }
    }
}

fn entry(service: &Service) -> document::ServiceEntry {
    document::ServiceEntry {
        name: service.name.clone(),
        kind: service.kind.to_string(),
        address: service.address.to_string(),
        data_centres: service.data_centres.clone(),
        endpoints: service.endpoints.iter().map(endpoint_entry).collect(),
    }
}

fn endpoint_entry(endpoint: &Endpoint) -> document::EndpointEntry {
    document::EndpointEntry {
        address: endpoint.address.to_string(),
        data_centre: endpoint.data_centre.clone(),
        slots: endpoint.slots,
        draining: endpoint.draining,
    }
}
