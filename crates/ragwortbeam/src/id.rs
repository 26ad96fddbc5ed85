//! Small keys that name VMs, services and endpoints on the wire and in tables.

use std::net::SocketAddr;

use derive_more::Display;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Names a VM; the hash of its name.
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

/// One process of a VM. A VM that returns under the same name is another process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Process {
    /// VM.
    pub vm: Vm,
    /// Start time, milliseconds since the Unix epoch.
    pub incarnation: u64,
}

/// Names a service; the hash of its name.
///
/// A release that would give two services one id is rejected.
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

/// Names an endpoint of one service; the hash of its address, seeded with the service.
///
/// The same address behind two services has two ids.
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
