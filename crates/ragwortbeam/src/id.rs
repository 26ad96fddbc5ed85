//! Fixed-size ids of VMs, services and endpoints, used on the wire and in tables.

use std::net::SocketAddr;

use derive_more::Display;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Id of a VM: the hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Display)]
#[display("{_0:016x}")]
pub struct Vm(pub u64);

impl Vm {
    /// Returns the id of the VM with this name.
    pub fn of(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }
}

/// One process of a VM. A VM that restarts under the same name is another process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Process {
    /// Id of the VM that the process runs on.
    pub vm: Vm,
    /// Start time of the process, milliseconds since the Unix epoch.
    pub incarnation: u64,
}

/// Id of a service: the hash of its name.
///
/// A release in which two services would have the same id is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Display)]
#[display("{_0:016x}")]
pub struct Service(pub u64);

impl Service {
    /// Returns the id of the service with this name.
    pub fn of(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }
}

/// Id of an endpoint of one service: the hash of its address, seeded with the service id.
///
/// An address that two services use has a different id in each.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Display)]
#[display("{_0:016x}")]
pub struct Endpoint(pub u64);

impl Endpoint {
    /// Returns the id of the endpoint at `address` of `service`.
    pub fn of(service: Service, address: SocketAddr) -> Self {
        Self(xxh3_64_with_seed(address.to_string().as_bytes(), service.0))
    }
}
