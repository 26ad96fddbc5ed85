//! The replicated catalog: updates are ordered by store revision, so an older one never
//! replaces a newer one, whatever their source and order of arrival.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use metrics::counter;
use ragwortbeam_base::clock::Moment;
use slotmap::SlotMap;
use spdlog::info;

use super::{
    Change, Configuration, Endpoint, EndpointKey, Entry, EntryUpdate, EvacuationUpdate,
    Evacuations, Removal, Route, address_mask, tag,
};

/// Changes that a merge made; none by default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MergeSummary {
    /// Number of endpoints that were added or updated.
    pub endpoints: usize,
    /// True when a newer configuration replaced the current one.
    pub configuration: bool,
}

/// Routes and endpoints up to a revision of the store.
#[derive(Debug, Default)]
pub struct Catalog {
    /// Revision up to which all changes are included; 0 for none.
    revision: u64,
    /// Latest moment at which `revision` was known to be the newest one.
    current_at: Moment,
    configuration: Configuration,
    evacuations: Evacuations,
    endpoints: SlotMap<EndpointKey, Endpoint>,
    /// Newest instance of each endpoint.
    by_id: HashMap<u64, EndpointKey>,
    /// First instance with each tag; later ones with the same tag are ambiguous.
    by_tag: HashMap<u32, EndpointKey>,
    /// Highest revision of a dropped endpoint; 0 for none. The changes after a lower revision are
    /// no longer complete here.
    dropped_revision: u64,
    /// True once an entry had a start time, from which on those without one are doubted.
    has_start_times: bool,
}

impl Catalog {
    /// Returns the store revision up to which all changes are included; 0 for none.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns whether the catalog is complete up to a revision and has a configuration.
    pub fn is_loaded(&self) -> bool {
        self.revision > 0 && self.configuration.revision > 0
    }

    /// Returns the time since the catalog was last known to be current; the time since the clock's
    /// origin when it never was.
    pub fn age(&self, now: Moment) -> Duration {
        now.since(self.current_at)
    }

    /// Returns the current configuration; its revision is 0 when there is none.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Returns the route of a destination address.
    pub fn route(&self, address: SocketAddrV4) -> Option<&Route> {
        self.configuration.routes.get(&address)
    }

    /// Returns the evacuation orders that stand.
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Applies the changes of evacuation orders up to `revision`.
    pub fn apply_evacuations(
        &mut self,
        updates: Vec<EvacuationUpdate>,
        revision: u64,
        now: Moment,
    ) {
        let previous = self.evacuations.clone();
        self.evacuations.apply(updates, revision);
        self.restart_warmups(&previous, now);
    }

    /// Replaces the evacuation orders by a set that is complete up to a later revision; returns
    /// whether it was one.
    pub fn replace_evacuations(&mut self, evacuations: Evacuations, now: Moment) -> bool {
        let previous = self.evacuations.clone();
        let is_newer = self.evacuations.replace(evacuations);
        self.restart_warmups(&previous, now);
        is_newer
    }

    /// Takes the endpoints of data centres whose evacuation has ended for warming up where their
    /// service has a limit: they may have been replaced meanwhile.
    fn restart_warmups(&mut self, previous: &Evacuations, now: Moment) {
        for endpoint in self.endpoints.values_mut() {
            let data_centre = &endpoint.entry.data_centre;
            let has_ended =
                previous.contains(data_centre) && !self.evacuations.contains(data_centre);
            let warmup = self.configuration.warmups.get(&endpoint.entry.service);
            if let (true, Some(warmup)) = (has_ended, warmup) {
                let ends_at = now + warmup.duration;
                endpoint.warmup_ends_at = endpoint.warmup_ends_at.max(ends_at);
            }
        }
    }

    /// Returns the requests a second that an endpoint bears while it warms up; `None` when it has
    /// no limit now.
    pub fn warmup_rate(&self, endpoint: &Endpoint, now: Moment) -> Option<f64> {
        let warmup = self.configuration.warmups.get(&endpoint.entry.service)?;
        endpoint.is_warming_up(now).then_some(warmup.rate_per_s)
    }

    /// Returns the revisions of the catalog and of its evacuation orders, which change whenever an
    /// endpoint does.
    pub fn revisions(&self) -> (u64, u64) {
        (self.revision, self.evacuations.complete_to())
    }

    /// Returns whether an endpoint accepts new flows and its data centre is not evacuated.
    pub fn is_available(&self, endpoint: &Endpoint, now: Moment) -> bool {
        endpoint.accepts_flows(now) && !self.evacuations.contains(&endpoint.entry.data_centre)
    }

    /// Returns an endpoint instance; `None` when it was dropped.
    pub fn endpoint(&self, key: EndpointKey) -> Option<&Endpoint> {
        self.endpoints.get(key)
    }

    /// Returns all endpoint instances, including those that are gone.
    pub fn endpoints(&self) -> impl Iterator<Item = (EndpointKey, &Endpoint)> {
        self.endpoints.iter()
    }

    /// Returns the endpoint instance with this tag; the first one when several have it.
    pub fn by_tag(&self, tag: u32) -> Option<EndpointKey> {
        self.by_tag.get(&tag).copied()
    }

    /// Returns the endpoint instance that a token identifies on a flow to `destination`.
    pub fn by_token(&self, token: u32, destination: SocketAddrV4) -> Option<EndpointKey> {
        self.by_tag(token ^ address_mask(destination))
    }

    /// Returns the newest instance of an instance's endpoint.
    pub fn newest_instance(&self, key: EndpointKey) -> Option<EndpointKey> {
        let endpoint = self.endpoints.get(key)?;
        self.by_id.get(&endpoint.id).copied()
    }

    /// Returns the newest instance of an endpoint, to which packets for any of its instances are
    /// forwarded. It resets the flows that it does not hold. It may hold flows with the token of
    /// the previous instance: those that it accepted before its own entry was known here.
    pub fn forwarding_endpoint(&self, key: EndpointKey) -> Option<&Endpoint> {
        self.endpoints.get(self.newest_instance(key)?)
    }

    /// Returns whether another instance has the same tag, so that tokens do not identify this one.
    pub fn is_ambiguous(&self, key: EndpointKey) -> bool {
        let tag = self.endpoints.get(key).map(|endpoint| endpoint.tag);
        tag.is_none_or(|tag| self.by_tag.get(&tag) != Some(&key))
    }

    /// Records that the catalog includes all changes up to `revision`, which was the newest one
    /// at `at`. A lower revision than the current one is ignored.
    pub fn advance(&mut self, revision: u64, at: Moment) {
        if revision < self.revision {
            counter!("ragwortbeam_catalog_updates_ignored_total", "kind" => "revision")
                .increment(1);
            return;
        }
        self.revision = revision;
        self.current_at = self.current_at.max(at);
    }

    /// Records that the current revision was the newest one at `at`.
    pub fn confirm(&mut self, at: Moment) {
        if self.revision > 0 {
            self.current_at = self.current_at.max(at);
        }
    }

    /// Returns the highest revision of a dropped endpoint; 0 for none.
    pub fn dropped_revision(&self) -> u64 {
        self.dropped_revision
    }

    /// Replaces the configuration if both revision and version are newer; returns whether it did.
    ///
    /// Any version replaces a missing configuration.
    pub fn apply_configuration(&mut self, configuration: Configuration) -> bool {
        let current = &self.configuration;
        let is_newer = configuration.revision > current.revision
            && (configuration.version > current.version || current.revision == 0);
        if !is_newer {
            if configuration.version != current.version {
                counter!("ragwortbeam_catalog_updates_ignored_total", "kind" => "configuration")
                    .increment(1);
                info!(
                    "event=configuration_ignored version={} revision={} version_in_force={} revision_in_force={}",
                    configuration.version,
                    configuration.revision,
                    current.version,
                    current.revision,
                );
            }
            return false;
        }
        info!(
            "event=configuration_in_force version={} revision={} routes={} replaced={}",
            configuration.version,
            configuration.revision,
            configuration.routes.len(),
            current.version,
        );
        self.configuration = configuration;
        true
    }

    /// Applies an update of an entry if it is newer than the current entry; returns whether it
    /// changed anything.
    ///
    /// A removal takes effect after `hold`, unless the entry is written again before.
    pub fn apply_update(&mut self, update: EntryUpdate, now: Moment, hold: Duration) -> bool {
        let current = self.by_id.get(&update.endpoint).copied();
        let current_revision = current.map_or(0, |key| self.endpoints[key].revision);
        if update.revision <= current_revision {
            if update.revision < current_revision {
                counter!("ragwortbeam_catalog_updates_ignored_total", "kind" => "endpoint")
                    .increment(1);
            }
            return false;
        }
        let change = match update.change {
            Change::Written(entry) => self.doubt(update.endpoint, entry, update.revision),
            change => change,
        };
        match (change, current) {
            (Change::Written(entry), _) => {
                self.put_entry(update.endpoint, entry, update.revision, None, now);
            }
            (Change::Removed, Some(key)) => {
                let endpoint = &mut self.endpoints[key];
                endpoint.revision = update.revision;
                endpoint.removal = Some(Removal {
                    observed_at: now,
                    hold,
                });
                log_endpoint("endpoint_removed", endpoint, hold);
            }
            (Change::Unreadable, Some(key)) => {
                let endpoint = &mut self.endpoints[key];
                endpoint.revision = update.revision;
                endpoint.entry.is_draining = true;
                log_endpoint("endpoint_unreadable", endpoint, hold);
            }
            (Change::Removed | Change::Unreadable, None) => return false,
        }
        true
    }

    /// Merges an endpoint instance from another VM's catalog if it is newer than the current one;
    /// returns whether it did.
    pub fn merge_endpoint(&mut self, endpoint: Endpoint, now: Moment) -> bool {
        let current = self.by_id.get(&endpoint.id).copied();
        if current.is_some_and(|key| endpoint.revision <= self.endpoints[key].revision) {
            return false;
        }
        let (id, revision) = (endpoint.id, endpoint.revision);
        match self.doubt(id, endpoint.entry, revision) {
            Change::Written(entry) => self.put_entry(id, entry, revision, endpoint.removal, now),
            change => {
                let update = EntryUpdate {
                    endpoint: id,
                    revision,
                    change,
                };
                return self.apply_update(update, now, Duration::ZERO);
            }
        }
        true
    }

    /// Removes the entries whose endpoints are not in `present`, the result of a full read at
    /// `revision`; returns their number. Entries with a later revision are kept.
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
            let update = EntryUpdate {
                endpoint: *endpoint,
                revision,
                change: Change::Removed,
            };
            self.apply_update(update, now, hold);
        }
        missing.len()
    }

    /// Drops endpoint instances that have been gone for longer than `flow_lifetime`, so that no
    /// flow to them is left; returns their keys.
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
                self.by_id.retain(|_, other| other != key);
                self.by_tag
                    .retain(|tag, other| *tag != endpoint.tag || other != key);
            }
        }
        dropped
    }

    /// Returns the change that a readable entry makes: [`Change::Unreadable`] when it contradicts
    /// what is known, so that another process probably wrote it.
    ///
    /// That is the case for an entry without a start time where entries have one, and for one that
    /// moves an endpoint without a restart from a service with a route to one without.
    fn doubt(&self, id: u64, entry: Entry, revision: u64) -> Change {
        let current = self.by_id.get(&id).map(|key| &self.endpoints[*key].entry);
        let lacks_start_time = entry.born_ms == 0 && self.has_start_times;
        let leaves_its_service = current.is_some_and(|current| {
            current.born_ms == entry.born_ms
                && current.service != entry.service
                && self.configuration.has_service(&current.service)
                && !self.configuration.has_service(&entry.service)
        });
        let reason = match (lacks_start_time, leaves_its_service) {
            (true, _) => "no_start_time",
            (false, true) => "service_without_route",
            (false, false) => return Change::Written(entry),
        };
        info!(
            "event=entry_doubted reason={reason} endpoint={id:x} service={} address={} revision={revision}",
            entry.service, entry.address,
        );
        Change::Unreadable
    }

    /// Records an entry as that of the endpoint's newest instance, which is the known one with the
    /// entry's start time or a new one. Another instance that was the newest is replaced.
    fn put_entry(
        &mut self,
        id: u64,
        entry: Entry,
        revision: u64,
        removal: Option<Removal>,
        now: Moment,
    ) {
        self.has_start_times |= entry.born_ms != 0;
        let known = self.instance(id, entry.born_ms);
        if let Some(previous) = self.by_id.get(&id)
            && known != Some(*previous)
        {
            self.endpoints[*previous].removal = Some(Removal {
                observed_at: now,
                hold: Duration::ZERO,
            });
        }
        let tag = tag(id, entry.born_ms);
        let endpoint = Endpoint {
            id,
            warmup_ends_at: now + entry.warmup_left,
            entry,
            revision,
            tag,
            removal,
        };
        let key = match known {
            Some(key) => {
                match removal {
                    Some(removal) => log_endpoint("endpoint_removed", &endpoint, removal.hold),
                    None => log_endpoint("endpoint_changed", &endpoint, Duration::ZERO),
                }
                self.endpoints[key] = endpoint;
                key
            }
            None => {
                log_endpoint("endpoint_added", &endpoint, Duration::ZERO);
                let key = self.endpoints.insert(endpoint);
                self.by_tag.entry(tag).or_insert(key);
                key
            }
        };
        self.by_id.insert(id, key);
    }

    /// Returns the instance of an endpoint with a start time; `None` when it is not known.
    fn instance(&self, id: u64, born_ms: u64) -> Option<EndpointKey> {
        let is_wanted = |key: &EndpointKey| {
            let endpoint = &self.endpoints[*key];
            endpoint.id == id && endpoint.entry.born_ms == born_ms
        };
        // The newest instance is checked first, as another endpoint may have the same tag.
        let newest = self.by_id.get(&id).copied();
        let tagged = self.by_tag(tag(id, born_ms));
        newest
            .filter(is_wanted)
            .or_else(|| tagged.filter(is_wanted))
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
