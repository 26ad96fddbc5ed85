//! Endpoints that one VM places new flows on.
//!
//! A VM needs the load of the endpoints that it chooses from, so their number is bounded:
//! of each service those that rank first in an order of the VM's own. VMs have different
//! subsets, so that all endpoints are used. Hubs work out the subsets of the VMs that
//! report to them and answer with those loads alone.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::net::Ipv4Addr;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::catalog::EndpointKey;
use crate::prelude::*;

/// Endpoints of a service in the VM's data centre, and as many in all others together, that
/// are enough for the least loaded one to be a good one.
const MAX_OF_SERVICE: usize = 64;

/// Endpoints of all services together, below [`MIN_OF_SERVICE`] of each: their loads fill
/// a digest of about a kilobyte.
const MAX_OF_ALL: usize = 512;

/// Endpoints of a service that are kept however many services there are, so that one can
/// fail and one be full.
const MIN_OF_SERVICE: usize = 4;

/// Endpoints of a service, near or far.
type Part<'a> = Vec<(EndpointKey, &'a Endpoint)>;

/// Endpoints that one VM places new flows on, as of one state of the catalog.
#[derive(Debug, Default)]
pub struct Subset {
    by_service: HashMap<Arc<str>, Vec<EndpointKey>>,
    /// Tags of those in the VM's data centre, in order.
    near: Vec<u32>,
    /// Tags of all, those of the VM's data centre first; each part in order.
    all: Vec<u32>,
    checksum: u32,
    revision: u64,
    /// End of the first hold of a removed entry.
    valid_until: Option<Moment>,
}

impl Subset {
    /// Returns the subset of a VM.
    pub fn select(vm: Ipv4Addr, data_centre: &str, catalog: &Catalog, now: Moment) -> Self {
        let mut services: HashMap<&Arc<str>, [Part<'_>; 2]> = HashMap::new();
        let usable = || {
            let endpoints = catalog.endpoints();
            endpoints.filter(|(_, endpoint)| endpoint.accepts_flows(now))
        };
        for (key, endpoint) in usable() {
            let is_far = *endpoint.entry.data_centre != *data_centre;
            let parts = services.entry(&endpoint.entry.service).or_default();
            parts[usize::from(is_far)].push((key, endpoint));
        }
        let size = (MAX_OF_ALL / services.len().max(1)).clamp(MIN_OF_SERVICE, MAX_OF_SERVICE);
        let mut subset = Self {
            revision: catalog.revision(),
            valid_until: usable().filter_map(|(_, it)| it.gone_at()).min(),
            ..Self::default()
        };
        let mut far = Vec::new();
        for (service, mut parts) in services {
            for part in &mut parts {
                part.sort_by_key(|(_, endpoint)| Reverse(rank(vm, endpoint.tag)));
                part.truncate(size);
            }
            let tags = |part: &Part<'_>| part.iter().map(|it| it.1.tag).collect();
            let mut tags: [Vec<u32>; 2] = [tags(&parts[0]), tags(&parts[1])];
            subset.near.append(&mut tags[0]);
            far.append(&mut tags[1]);
            let keys = parts.iter().flatten().map(|(key, _)| *key).collect();
            subset.by_service.insert(service.clone(), keys);
        }
        subset.near.sort_unstable();
        far.sort_unstable();
        subset.all = subset.near.clone();
        subset.all.append(&mut far);
        let bytes: Vec<u8> = subset
            .all
            .iter()
            .flat_map(|tag| tag.to_le_bytes())
            .collect();
        subset.checksum = (xxh3_64(&bytes) as u32).max(1);
        subset
    }

    /// Returns whether this is still the subset by the catalog.
    fn is_current(&self, catalog: &Catalog, now: Moment) -> bool {
        self.revision == catalog.revision() && self.valid_until.is_none_or(|end| now < end)
    }

    /// Returns the endpoints of a service.
    pub fn of(&self, service: &str) -> &[EndpointKey] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the tags of the endpoints in the VM's data centre, or of all.
    pub fn tags(&self, with_far: bool) -> &[u32] {
        if with_far { &self.all } else { &self.near }
    }

    /// Returns a number that differs between different subsets; never 0.
    pub fn checksum(&self) -> u32 {
        self.checksum
    }
}

fn rank(vm: Ipv4Addr, tag: u32) -> u64 {
    xxh3_64_with_seed(&tag.to_le_bytes(), u32::from(vm).into())
}

/// Subsets by VM.
#[derive(Debug, Default)]
pub struct SubsetCache {
    by_vm: HashMap<Ipv4Addr, Arc<Subset>>,
}

impl SubsetCache {
    /// Returns the subset of a VM in `data_centre`.
    pub fn get_or_select(
        &mut self,
        vm: Ipv4Addr,
        data_centre: &str,
        catalog: &Catalog,
        now: Moment,
    ) -> Arc<Subset> {
        let held = self.by_vm.get(&vm);
        if let Some(subset) = held.filter(|subset| subset.is_current(catalog, now)) {
            return subset.clone();
        }
        let subset = Arc::new(Subset::select(vm, data_centre, catalog, now));
        self.by_vm.insert(vm, subset.clone());
        subset
    }

    /// Drops the subsets of VMs that are not among these.
    pub fn retain(&mut self, vms: &[Ipv4Addr]) {
        self.by_vm.retain(|vm, _| vms.contains(vm));
    }
}
