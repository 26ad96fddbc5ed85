//! The catalog: entries merge by store revision, so nothing older replaces something
//! newer, whoever brings it and in whatever order.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use ragwortbeam_base::clock::Moment;
use slotmap::SlotMap;
use spdlog::info;

use super::{
    Change, Configuration, Endpoint, EndpointKey, Entry, EntryUpdate, Removal, Route, address_mask,
    tag,
};

/// What a merge changed; nothing by default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MergeSummary {
    /// Entries taken.
    pub endpoints: usize,
    /// True when a newer configuration came into force.
    pub configuration: bool,
}

/// Routes and endpoints with the revision that they include.
#[derive(Debug, Default)]
pub struct Catalog {
    /// Revision up to which all changes are included; 0 for none.
    revision: u64,
    /// Last moment at which that was known to be the newest revision.
    fresh_at: Moment,
    configuration: Configuration,
    endpoints: SlotMap<EndpointKey, Endpoint>,
    /// Newest start of each endpoint.
    by_id: HashMap<u64, EndpointKey>,
    by_tag: HashMap<u32, EndpointKey>,
    /// Highest revision of a dropped endpoint; changes after an earlier one are incomplete.
    dropped_revision: u64,
}

impl Catalog {
    /// Returns the revision up to which all changes are included.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns whether it holds a configuration.
    pub fn is_loaded(&self) -> bool {
        self.revision > 0 && self.configuration.revision > 0
    }

    /// Returns the time since the catalog was known to be current.
    pub fn age(&self, now: Moment) -> Duration {
        now.since(self.fresh_at)
    }

    /// Returns the configuration in force.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Returns the route of an address.
    pub fn route(&self, address: SocketAddrV4) -> Option<&Route> {
        self.configuration.routes.get(&address)
    }

    /// Returns an endpoint.
    pub fn endpoint(&self, key: EndpointKey) -> Option<&Endpoint> {
        self.endpoints.get(key)
    }

    /// Returns all endpoints, those that are gone included.
    pub fn endpoints(&self) -> impl Iterator<Item = (EndpointKey, &Endpoint)> {
        self.endpoints.iter()
    }

    /// Returns the endpoint with this tag.
    pub fn by_tag(&self, tag: u32) -> Option<EndpointKey> {
        self.by_tag.get(&tag).copied()
    }

    /// Returns the endpoint that a token names on a flow to `destination`.
    pub fn by_token(&self, token: u32, destination: SocketAddrV4) -> Option<EndpointKey> {
        self.by_tag(token ^ address_mask(destination))
    }

    /// Returns where packets for an endpoint go: to its newest start, which rejects flows
    /// of earlier ones.
    pub fn forwarding_endpoint(&self, key: EndpointKey) -> Option<&Endpoint> {
        let endpoint = self.endpoints.get(key)?;
        let newest = self.by_id.get(&endpoint.id)?;
        self.endpoints.get(*newest)
    }

    /// Returns whether another endpoint has the tag of this one, so that a token would not
    /// name it.
    pub fn is_ambiguous(&self, key: EndpointKey) -> bool {
        let tag = self.endpoints.get(key).map(|endpoint| endpoint.tag);
        tag.is_none_or(|tag| self.by_tag.get(&tag) != Some(&key))
    }

    /// Notes that the catalog includes all changes up to `revision`, the newest one at `at`.
    pub fn advance(&mut self, revision: u64, at: Moment) {
        if revision < self.revision {
            return;
        }
        self.revision = revision;
        self.fresh_at = self.fresh_at.max(at);
    }

    /// Notes that the revision held was the newest one at `at`.
    pub fn confirm(&mut self, at: Moment) {
        if self.revision > 0 {
            self.fresh_at = self.fresh_at.max(at);
        }
    }

    /// Returns the highest revision of an endpoint that was dropped.
    pub fn dropped_revision(&self) -> u64 {
        self.dropped_revision
    }

    /// Takes a configuration if it is newer than the one in force.
    pub fn apply_configuration(&mut self, configuration: Configuration) -> bool {
        let held = &self.configuration;
        let is_newer = configuration.revision > held.revision
            && (configuration.version > held.version || held.revision == 0);
        if !is_newer {
            return false;
        }
        info!(
            "event=configuration_in_force version={} revision={} routes={} replaced={}",
            configuration.version,
            configuration.revision,
            configuration.routes.len(),
            held.version,
        );
        self.configuration = configuration;
        true
    }

    /// Takes a change of an entry if it is newer than what is held.
    ///
    /// A removal takes effect after `hold`, unless the entry returns before.
    pub fn apply_update(&mut self, item: EntryUpdate, now: Moment, hold: Duration) -> bool {
        let held = self.by_id.get(&item.endpoint).copied();
        let held_revision = held.map_or(0, |key| self.endpoints[key].revision);
        if item.revision <= held_revision {
            return false;
        }
        match (item.change, held) {
            (Change::Written(entry), Some(key))
                if self.endpoints[key].entry.born_ms == entry.born_ms =>
            {
                self.update(key, entry, item.revision, None, now);
            }
            (Change::Written(entry), _) => {
                self.insert(item.endpoint, entry, item.revision, None, now);
            }
            (Change::Removed, Some(key)) => {
                let endpoint = &mut self.endpoints[key];
                endpoint.revision = item.revision;
                endpoint.removal = Some(Removal { at: now, hold });
                log_endpoint("endpoint_removed", endpoint, hold);
            }
            (Change::Unreadable, Some(key)) => {
                let endpoint = &mut self.endpoints[key];
                endpoint.revision = item.revision;
                endpoint.entry.is_draining = true;
                log_endpoint("endpoint_unreadable", endpoint, hold);
            }
            (Change::Removed | Change::Unreadable, None) => return false,
        }
        true
    }

    /// Takes a whole endpoint as another VM holds it.
    pub fn merge_endpoint(&mut self, endpoint: Endpoint, now: Moment) -> bool {
        let held = self.by_id.get(&endpoint.id).copied();
        if held.is_some_and(|key| endpoint.revision <= self.endpoints[key].revision) {
            return false;
        }
        let (entry, revision, removal) = (endpoint.entry, endpoint.revision, endpoint.removal);
        match held.filter(|key| self.endpoints[*key].entry.born_ms == entry.born_ms) {
            Some(key) => self.update(key, entry, revision, removal, now),
            None => self.insert(endpoint.id, entry, revision, removal, now),
        }
        true
    }

    /// Removes entries that a complete reading at `revision` did not bring.
    pub fn remove_missing(
        &mut self,
        present: &[u64],
        revision: u64,
        now: Moment,
        hold: Duration,
    ) -> usize {
        let missing: Vec<u64> = self
            .by_id
            .iter()
            .filter(|(id, key)| {
                let endpoint = &self.endpoints[**key];
                endpoint.removal.is_none() && endpoint.revision <= revision && !present.contains(id)
            })
            .map(|(id, _)| *id)
            .collect();
        for endpoint in &missing {
            let item = EntryUpdate {
                endpoint: *endpoint,
                revision,
                change: Change::Removed,
            };
            self.apply_update(item, now, hold);
        }
        missing.len()
    }

    /// Drops endpoints that have been gone for longer than any flow lives; returns them.
    pub fn drop_gone(&mut self, now: Moment, flow_lifetime: Duration) -> Vec<EndpointKey> {
        let dropped: Vec<EndpointKey> = self
            .endpoints
            .iter()
            .filter(|(_, endpoint)| {
                endpoint
                    .gone_for(now)
                    .is_some_and(|gone| gone > flow_lifetime)
            })
            .map(|(key, _)| key)
            .collect();
        for key in &dropped {
            if let Some(endpoint) = self.endpoints.remove(*key) {
                self.dropped_revision = self.dropped_revision.max(endpoint.revision);
                self.by_id.retain(|_, held| held != key);
                self.by_tag
                    .retain(|tag, held| *tag != endpoint.tag || held != key);
            }
        }
        dropped
    }

    fn update(
        &mut self,
        key: EndpointKey,
        entry: Entry,
        revision: u64,
        removal: Option<Removal>,
        now: Moment,
    ) {
        let endpoint = &mut self.endpoints[key];
        endpoint.warm_at = now + entry.warmup_left;
        endpoint.entry = entry;
        endpoint.revision = revision;
        endpoint.removal = removal;
        match removal {
            Some(removal) => log_endpoint("endpoint_removed", endpoint, removal.hold),
            None => log_endpoint("endpoint_changed", endpoint, Duration::ZERO),
        }
    }

    fn insert(
        &mut self,
        id: u64,
        entry: Entry,
        revision: u64,
        removal: Option<Removal>,
        now: Moment,
    ) {
        if let Some(earlier) = self.by_id.get(&id) {
            let hold = Duration::ZERO;
            self.endpoints[*earlier].removal = Some(Removal { at: now, hold });
        }
        let tag = tag(id, entry.born_ms);
        let endpoint = Endpoint {
            id,
            warm_at: now + entry.warmup_left,
            entry,
            revision,
            tag,
            removal,
        };
        log_endpoint("endpoint_added", &endpoint, Duration::ZERO);
        let key = self.endpoints.insert(endpoint);
        self.by_id.insert(id, key);
        self.by_tag.entry(tag).or_insert(key);
    }
}

fn log_endpoint(event: &str, endpoint: &Endpoint, hold: Duration) {
    info!(
        "event={event} endpoint={:x} tag={:08x} service={} address={} data_centre={} draining={} born_ms={} revision={} hold_ms={}",
        endpoint.id,
        endpoint.tag,
        endpoint.entry.service,
        endpoint.entry.address,
        endpoint.entry.data_centre,
        endpoint.entry.is_draining,
        endpoint.entry.born_ms,
        endpoint.revision,
        hold.as_millis(),
    );
}
