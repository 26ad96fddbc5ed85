//! Deterministic subsetting: the endpoints that one VM places new flows on.
//!
//! A VM needs the load of every endpoint that it chooses from, so their number is bounded. The
//! endpoints of each service are ranked by rendezvous hashing with the VM's address, and the first
//! ones form the subset. VMs have different subsets, so that all endpoints are used. Hubs compute
//! the subsets of the VMs that report to them and reply with the load of those endpoints only.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::net::Ipv4Addr;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::catalog::{EndpointKey, StateId};
use crate::prelude::*;

/// Maximum number of endpoints of a service that a subset has in the VM's data centre, and again in
/// all others together. The least loaded of so many is a good choice.
const MAX_PER_SERVICE: usize = 64;

/// Maximum number of endpoints of all services that a subset has in the VM's data centre, and again
/// in all others together. It is exceeded only when each service has just [`MIN_PER_SERVICE`]. The
/// load of so many endpoints fits into a digest of about a kilobyte.
const MAX_TOTAL: usize = 512;

/// Number of endpoints of a service that are kept however many services there are, so that one
/// can fail while another one is fully loaded.
const MIN_PER_SERVICE: usize = 4;

/// Endpoints of a service in the VM's data centre, or those in all others.
type Candidates<'a> = Vec<(EndpointKey, &'a Endpoint)>;

/// Subset of one VM at one revision of the catalog.
#[derive(Debug, Default)]
pub struct Subset {
    by_service: HashMap<Arc<str>, Vec<EndpointKey>>,
    /// Tags of the endpoints in the VM's data centre, in ascending order.
    local: Vec<u32>,
    /// Tags of all endpoints, those of the VM's data centre first; both parts in ascending order.
    all: Vec<u32>,
    checksum: u32,
    /// State of the catalog that the subset was computed from.
    state_id: StateId,
    /// End of the first hold of a removed entry, at which the subset changes; `None` when no hold
    /// is running.
    valid_until: Option<Moment>,
}

impl Subset {
    /// Computes the subset of a VM in `data_centre`.
    pub fn select(vm: Ipv4Addr, data_centre: &str, catalog: &Catalog, now: Moment) -> Self {
        let mut services: HashMap<&Arc<str>, [Candidates<'_>; 2]> = HashMap::new();
        let usable = || {
            let endpoints = catalog.endpoints();
            endpoints.filter(|(_, endpoint)| catalog.is_available(endpoint, now))
        };
        for (key, endpoint) in usable() {
            let is_remote = *endpoint.entry.data_centre != *data_centre;
            let parts = services.entry(&endpoint.entry.service).or_default();
            parts[usize::from(is_remote)].push((key, endpoint));
        }
        let size = (MAX_TOTAL / services.len().max(1)).clamp(MIN_PER_SERVICE, MAX_PER_SERVICE);
        let mut subset = Self {
            state_id: catalog.state_id(),
            valid_until: usable().filter_map(|(_, it)| it.gone_at()).min(),
            ..Self::default()
        };
        let mut remote = Vec::new();
        for (service, mut parts) in services {
            for part in &mut parts {
                part.sort_by_key(|(_, endpoint)| Reverse(rendezvous_hash(vm, endpoint.tag)));
                part.truncate(size);
            }
            let tags = |part: &Candidates<'_>| part.iter().map(|it| it.1.tag).collect();
            let mut tags: [Vec<u32>; 2] = [tags(&parts[0]), tags(&parts[1])];
            subset.local.append(&mut tags[0]);
            remote.append(&mut tags[1]);
            let keys = parts.iter().flatten().map(|(key, _)| *key).collect();
            subset.by_service.insert(service.clone(), keys);
        }
        subset.local.sort_unstable();
        remote.sort_unstable();
        subset.all = subset.local.clone();
        subset.all.append(&mut remote);
        let bytes: Vec<u8> = subset
            .all
            .iter()
            .flat_map(|tag| tag.to_le_bytes())
            .collect();
        subset.checksum = (xxh3_64(&bytes) as u32).max(1);
        subset
    }

    /// Returns whether the subset need not be computed again.
    fn is_current(&self, catalog: &Catalog, now: Moment) -> bool {
        self.state_id == catalog.state_id() && self.valid_until.is_none_or(|end| now < end)
    }

    /// Returns the endpoints of a service; empty when it has none.
    pub fn endpoints_of(&self, service: &str) -> &[EndpointKey] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the tags of the endpoints in the VM's data centre, or of all endpoints when
    /// `include_remote` is true.
    pub fn tags(&self, include_remote: bool) -> &[u32] {
        if include_remote {
            &self.all
        } else {
            &self.local
        }
    }

    /// Returns a hash of the tags, by which two VMs compare their versions of a subset; never 0.
    pub fn checksum(&self) -> u32 {
        self.checksum
    }
}

fn rendezvous_hash(vm: Ipv4Addr, tag: u32) -> u64 {
    xxh3_64_with_seed(&tag.to_le_bytes(), u32::from(vm).into())
}

/// Cache of subsets by VM.
#[derive(Debug, Default)]
pub struct SubsetCache {
    by_vm: HashMap<Ipv4Addr, Arc<Subset>>,
}

impl SubsetCache {
    /// Returns the subset of a VM in `data_centre`; computes it when the cached one is outdated.
    pub fn get_or_select(
        &mut self,
        vm: Ipv4Addr,
        data_centre: &str,
        catalog: &Catalog,
        now: Moment,
    ) -> Arc<Subset> {
        let cached = self.by_vm.get(&vm);
        if let Some(subset) = cached.filter(|subset| subset.is_current(catalog, now)) {
            return subset.clone();
        }
        let subset = Arc::new(Subset::select(vm, data_centre, catalog, now));
        self.by_vm.insert(vm, subset.clone());
        subset
    }

    /// Drops the subsets of all VMs but these.
    pub fn retain(&mut self, vms: &[Ipv4Addr]) {
        self.by_vm.retain(|vm, _| vms.contains(vm));
    }
}
