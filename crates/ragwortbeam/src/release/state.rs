//! Configuration of all services as of one release.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use derive_more::Display;

use crate::document;
use crate::id;

/// Kind of the packets of a service, which decides how they are balanced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Display)]
pub enum Kind {
    /// CoAP requests, each balanced on its own.
    #[display("requests")]
    Requests,
    /// Opaque datagrams; all those of a flow go to one endpoint.
    #[display("datagrams")]
    Datagrams,
}

/// A service that callers send to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Hash of the service's name.
    pub id: id::Service,
    /// Name of the service, unique among services.
    pub name: String,
    /// Kind of the packets; never changes for a service.
    pub kind: Kind,
    /// Address that callers send to, unique among services.
    pub address: SocketAddr,
    /// Names of the data centres that serve it, at least one.
    pub data_centres: Vec<String>,
    /// Backend servers, whose addresses are unique within the service.
    pub endpoints: Vec<Endpoint>,
}

impl Service {
    /// Returns the endpoint with this id, or `None` if the service has no such endpoint.
    pub fn endpoint(&self, id: id::Endpoint) -> Option<&Endpoint> {
        self.endpoints.iter().find(|endpoint| endpoint.id == id)
    }

    /// Returns whether `data_centre` serves the service.
    pub fn is_served_in(&self, data_centre: &str) -> bool {
        self.data_centres.iter().any(|name| name == data_centre)
    }

    /// Returns the endpoints of `data_centre` that take new requests and flows.
    pub fn open_endpoints(&self, data_centre: &str) -> impl Iterator<Item = &Endpoint> {
        self.endpoints
            .iter()
            .filter(move |endpoint| !endpoint.draining && endpoint.data_centre == data_centre)
    }
}

/// A backend server of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Hash of the service id and the address.
    pub id: id::Endpoint,
    /// IP and UDP port that the backend server listens on.
    pub address: SocketAddr,
    /// Name of the data centre that the backend server is in.
    pub data_centre: String,
    /// Number of requests that it serves concurrently, at least 1.
    pub slots: u32,
    /// True once it takes no new requests and flows.
    pub draining: bool,
}

/// All services as of one release.
///
/// A clone shares the services, so applying a note copies only the changed services and a map
/// of pointers.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct State {
    /// Number of the last note that was validated, whether it was accepted or rejected.
    pub number: u64,
    pub(super) services: BTreeMap<id::Service, Arc<Service>>,
}

impl State {
    /// Returns the service with this id, or `None` if there is no such service.
    pub fn service(&self, id: id::Service) -> Option<&Arc<Service>> {
        self.services.get(&id)
    }

    /// Returns all services, sorted by id.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// Returns the state as a snapshot document for other VMs.
    pub fn to_snapshot(&self) -> document::Snapshot {
        document::Snapshot {
            number: self.number,
            services: self
                .services()
                .map(|service| service_entry(service))
                .collect(),
        }
    }
}

fn service_entry(service: &Service) -> document::ServiceEntry {
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
