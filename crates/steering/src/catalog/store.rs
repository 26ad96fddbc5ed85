//! The replicated catalog: updates are ordered by store revision, so an older one never
//! replaces a newer one, whatever their source and order of arrival. After a restoration of the store
//! from a copy, what is known here may be later than what the store lists.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use metrics::counter;
use ragwortbeam_base::clock::Moment;
use slotmap::SlotMap;
use spdlog::info;

use super::endpoint::RESTORED_STATE_HOLD;
use super::{
    Change, Configuration, Endpoint, EndpointKey, Entry, EntryUpdate, EvacuationUpdate,
    Evacuations, Removal, RestoredEntry, Revision, Route, address_mask, tag,
};

/// Age of the catalog up to which it shows whether the store's writers have written again.
const MAX_SETTLING_AGE: Duration = Duration::from_secs(2);

/// Changes that a merge made; none by default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MergeSummary {
    /// Number of endpoints that were added or updated.
    pub endpoints: usize,
    /// True when a newer configuration replaced the current one.
    pub configuration: bool,
}

/// State of a catalog's endpoints and evacuation orders; changes whenever these do, apart from the
/// holds of removals.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StateId {
    revision: Revision,
    evacuations: Revision,
    settled: u64,
}

/// Routes and endpoints up to a revision of the store.
#[derive(Debug, Default)]
pub struct Catalog {
    /// Revision up to which all changes are included; `NONE` for none.
    revision: Revision,
    /// Latest moment at which `revision` was known to be the newest one.
    current_at: Moment,
    configuration: Configuration,
    evacuations: Evacuations,
    endpoints: SlotMap<EndpointKey, Endpoint>,
    /// Newest instance of each endpoint.
    by_id: HashMap<u64, EndpointKey>,
    /// First instance with each tag; later ones with the same tag are ambiguous.
    by_tag: HashMap<u32, EndpointKey>,
    /// Highest revision of a dropped endpoint; `NONE` for none. The changes after a lower revision
    /// are no longer complete here.
    dropped_revision: Revision,
    /// Number of times that [`Self::settle`] changed something.
    settled: u64,
    /// True once an entry had a start time, from which on those without one are doubted.
    has_start_times: bool,
}

impl Catalog {
    /// Returns the store revision up to which all changes are included; `NONE` for none.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns whether the catalog is complete up to a revision and has a configuration.
    pub fn is_loaded(&self) -> bool {
        self.revision.is_some() && self.configuration.revision.is_some()
    }

    /// Returns the time since the catalog was last known to be current; the time since the clock's
    /// origin when it never was.
    pub fn age(&self, now: Moment) -> Duration {
        now.since(self.current_at)
    }

    /// Returns the current configuration; its revision is `NONE` when there is none.
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
        revision: Revision,
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
        let is_newer = self.evacuations.replace(evacuations, now);
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

    /// Returns the identifier of the state from which something is computed.
    pub fn state_id(&self) -> StateId {
        StateId {
            revision: self.revision,
            evacuations: self.evacuations.complete_to(),
            settled: self.settled,
        }
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
    pub fn advance(&mut self, revision: Revision, at: Moment) {
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
        if self.revision.is_some() {
            self.current_at = self.current_at.max(at);
        }
    }

    /// Returns the highest revision of a dropped endpoint; `NONE` for none.
    pub fn dropped_revision(&self) -> Revision {
        self.dropped_revision
    }

    /// Replaces the configuration by one with a higher version, or by the same version of a later
    /// era; returns whether it did.
    ///
    /// The operator's version decides: a restored store lists an earlier one until the operator has
    /// written the latest again, and the revision of that may be below the known one. Any version
    /// replaces a missing configuration.
    pub fn apply_configuration(&mut self, configuration: Configuration) -> bool {
        let current = &self.configuration;
        let order = |it: &Configuration| (it.version, it.revision.era);
        let is_newer = !current.revision.is_some() || order(&configuration) > order(current);
        if !is_newer {
            if configuration.version != current.version {
                counter!("ragwortbeam_catalog_updates_ignored_total", "kind" => "configuration")
                    .increment(1);
                info!(
                    "event=configuration_ignored version={} revision={} era={} version_in_force={} revision_in_force={} era_in_force={}",
                    configuration.version,
                    configuration.revision.number,
                    configuration.revision.era,
                    current.version,
                    current.revision.number,
                    current.revision.era,
                );
            }
            return false;
        }
        info!(
            "event=configuration_in_force version={} revision={} routes={} replaced={} era={}",
            configuration.version,
            configuration.revision.number,
            configuration.routes.len(),
            current.version,
            configuration.revision.era,
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
        let current_revision = current.map_or(Revision::NONE, |key| self.endpoints[key].revision);
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
                endpoint.restored = None;
                if !endpoint.is_gone(now) {
                    endpoint.removal = Some(Removal {
                        observed_at: now,
                        hold,
                    });
                }
                log_endpoint("endpoint_removed", endpoint, hold);
            }
            (Change::Unreadable, Some(key)) => {
                let endpoint = &mut self.endpoints[key];
                endpoint.revision = update.revision;
                endpoint.restored = None;
                endpoint.entry.is_draining = true;
                log_endpoint("endpoint_unreadable", endpoint, hold);
            }
            (Change::Removed | Change::Unreadable, None) => return false,
        }
        true
    }

    /// Applies an entry that the store lists after its restoration from a copy; returns whether it
    /// changed anything. Where a later state of the endpoint is known, that one is kept until
    /// [`Self::settle`] finds that the endpoint did not write again.
    pub fn apply_restored(&mut self, update: EntryUpdate, now: Moment, hold: Duration) -> bool {
        let Change::Written(entry) = &update.change else {
            return self.apply_update(update, now, hold);
        };
        let (id, born_ms) = (update.endpoint, entry.born_ms);
        self.defer_restored(id, entry, update.revision, now)
            || self.with_known_warmup(id, born_ms, |it| it.apply_update(update, now, hold))
    }

    /// Applies an entry of the restored store, whose remaining warm-up may be as old as the copy: that
    /// of a known instance stays.
    fn with_known_warmup<T>(
        &mut self,
        id: u64,
        born_ms: u64,
        apply: impl FnOnce(&mut Self) -> T,
    ) -> T {
        let known = self.instance(id, born_ms);
        let known_end = known.map(|key| self.endpoints[key].warmup_ends_at);
        let result = apply(self);
        if let (Some(key), Some(known_end)) = (known, known_end) {
            self.endpoints[key].warmup_ends_at = known_end;
        }
        result
    }

    /// Defers an entry of the restored store if it is older than what is known of its endpoint;
    /// returns whether it is.
    fn defer_restored(&mut self, id: u64, entry: &Entry, revision: Revision, now: Moment) -> bool {
        let Some(key) = self.by_id.get(&id) else {
            return false;
        };
        let endpoint = &mut self.endpoints[*key];
        if revision <= endpoint.revision || !endpoint.is_later_than(entry, now) {
            return false;
        }
        endpoint.revision = revision;
        endpoint.restored = Some(RestoredEntry {
            entry: entry.clone(),
            due_at: now + RESTORED_STATE_HOLD,
        });
        log_endpoint("restored_entry_deferred", endpoint, RESTORED_STATE_HOLD);
        true
    }

    /// Uses the restored entries that are due, and ends the evacuation orders that a restoration of
    /// the store dropped and nobody has written again. Their holds begin anew while the store cannot
    /// be followed, as what its writers do is unknown then.
    pub fn settle(&mut self, now: Moment) {
        if self.age(now) > MAX_SETTLING_AGE {
            self.evacuations.extend_holds(now);
            let restored = self.endpoints.values_mut();
            for restored in restored.filter_map(|it| it.restored.as_mut()) {
                restored.due_at = now + RESTORED_STATE_HOLD;
            }
            return;
        }
        let previous = self.evacuations.clone();
        if self.evacuations.end_held(now) {
            self.settled += 1;
            self.restart_warmups(&previous, now);
        }
        let is_due = |it: &RestoredEntry| now >= it.due_at;
        let due: Vec<(u64, Revision, Entry)> = self
            .by_id
            .iter()
            .map(|(id, key)| (*id, &self.endpoints[*key]))
            .filter_map(|(id, endpoint)| {
                let restored = endpoint.restored.as_ref().filter(|it| is_due(it))?;
                Some((id, endpoint.revision, restored.entry.clone()))
            })
            .collect();
        for (id, revision, entry) in due {
            self.settled += 1;
            self.with_known_warmup(id, entry.born_ms, |it| {
                it.put_entry(id, entry, revision, None, now);
            });
        }
    }

    /// Merges an endpoint instance from another VM's catalog if it is newer than the current one;
    /// returns whether it did. `is_restored` tells that the other catalog follows a restoration of
    /// the store that is not known here yet.
    pub fn merge_endpoint(&mut self, endpoint: Endpoint, is_restored: bool, now: Moment) -> bool {
        let Endpoint { id, revision, .. } = endpoint;
        let is_listed = is_restored && endpoint.removal.is_none();
        if is_listed {
            let born_ms = endpoint.entry.born_ms;
            return self.defer_restored(id, &endpoint.entry, revision, now)
                || self.with_known_warmup(id, born_ms, |it| it.put_newer(endpoint, now));
        }
        self.put_newer(endpoint, now)
    }

    /// Records an endpoint instance of another VM's catalog if it is newer than the current one;
    /// returns whether it is.
    fn put_newer(&mut self, endpoint: Endpoint, now: Moment) -> bool {
        let Endpoint { id, revision, .. } = endpoint;
        let current = self.by_id.get(&endpoint.id).copied();
        if current.is_some_and(|key| endpoint.revision <= self.endpoints[key].revision) {
            return false;
        }
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
        revision: Revision,
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
    fn doubt(&self, id: u64, entry: Entry, revision: Revision) -> Change {
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
            "event=entry_doubted reason={reason} endpoint={id:x} service={} address={} revision={}",
            entry.service, entry.address, revision.number
        );
        Change::Unreadable
    }

    /// Records an entry as that of the endpoint's newest instance, which is the known one with the
    /// entry's start time or a new one. Another instance that was the newest is replaced.
    fn put_entry(
        &mut self,
        id: u64,
        entry: Entry,
        revision: Revision,
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
            restored: None,
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
        endpoint.revision.number,
        hold.as_millis(),
    );
}
