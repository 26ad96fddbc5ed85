//! Shards: the endpoints of a service in a data centre, split so that one VM can count the requests
//! at each of them.

use std::collections::HashMap;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::catalog::{EndpointKey, StateId};
use crate::prelude::*;

/// Mean number of endpoints of a shard. Enough for their queues to even out; few enough for the
/// openings of one shard to be a small part of a VM's work.
const MEAN_ENDPOINTS: usize = 8;

/// Endpoints whose requests one allocator counts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Shard {
    /// Identifier, which is the same on all VMs with the same catalog.
    pub id: u64,
    /// Endpoints of the shard; never empty.
    pub endpoints: Vec<EndpointKey>,
    /// Sum of the endpoints' slots.
    pub slots: u32,
}

/// Shards of all services in one data centre, computed from one state of the catalog.
#[derive(Debug, Default)]
pub struct ShardMap {
    by_service: HashMap<Arc<str>, Vec<Shard>>,
    /// Service and index of each shard.
    by_id: HashMap<u64, (Arc<str>, usize)>,
    /// State of the catalog that the shards were computed from.
    state_id: StateId,
    /// Time at which a removed endpoint is gone, so that the shards change; `None` without one.
    valid_until: Option<Moment>,
}

impl ShardMap {
    /// Splits the endpoints in `data_centre` that accept new flows.
    ///
    /// The number of a service's shards is a power of two, so that an endpoint that comes or goes
    /// seldom moves the others.
    pub fn split(data_centre: &str, catalog: &Catalog, now: Moment) -> Self {
        let mut services: HashMap<&Arc<str>, Vec<(EndpointKey, &Endpoint)>> = HashMap::new();
        let mut valid_until: Option<Moment> = None;
        for (key, endpoint) in catalog.endpoints() {
            let is_here = *endpoint.entry.data_centre == *data_centre;
            if !is_here || !catalog.is_available(endpoint, now) || catalog.is_ambiguous(key) {
                continue;
            }
            valid_until = [valid_until, endpoint.gone_at()]
                .into_iter()
                .flatten()
                .min();
            let endpoints = services.entry(&endpoint.entry.service).or_default();
            endpoints.push((key, endpoint));
        }
        let mut map = Self {
            state_id: catalog.state_id(),
            valid_until,
            ..Self::default()
        };
        for (service, endpoints) in services {
            map.add_service(service, &endpoints);
        }
        map
    }

    fn add_service(&mut self, service: &Arc<str>, endpoints: &[(EndpointKey, &Endpoint)]) {
        let count = endpoints.len().div_ceil(MEAN_ENDPOINTS).next_power_of_two();
        let mut parts: Vec<Vec<(EndpointKey, &Endpoint)>> = vec![Vec::new(); count];
        for (key, endpoint) in endpoints {
            let hash = xxh3_64(&endpoint.tag.to_le_bytes());
            parts[hash as usize % count].push((*key, endpoint));
        }
        let mut shards = Vec::new();
        for (index, part) in parts.iter().enumerate() {
            if part.is_empty() {
                continue;
            }
            let seed = (count as u64) << 32 | index as u64;
            let id = xxh3_64_with_seed(service.as_bytes(), seed);
            self.by_id.insert(id, (service.clone(), shards.len()));
            shards.push(Shard {
                id,
                endpoints: part.iter().map(|(key, _)| *key).collect(),
                slots: part.iter().map(|(_, it)| it.entry.slots).sum(),
            });
        }
        self.by_service.insert(service.clone(), shards);
    }

    /// Returns whether the map need not be computed again.
    pub fn is_current(&self, catalog: &Catalog, now: Moment) -> bool {
        self.state_id == catalog.state_id() && self.valid_until.is_none_or(|end| now < end)
    }

    /// Returns the shards of a service; empty when it has no endpoint here.
    pub fn of_service(&self, service: &str) -> &[Shard] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the shard with this identifier.
    pub fn get(&self, id: u64) -> Option<&Shard> {
        let (service, index) = self.by_id.get(&id)?;
        self.by_service.get(service)?.get(*index)
    }
}
