//! Conversion of catalogs to and from the messages that VMs exchange.

use std::net::SocketAddrV4;
use std::time::Duration;

use ragwortbeam_base::clock::Moment;

use spdlog::warn;

use super::{
    Catalog, Change, Configuration, Endpoint, Entry, EntryError, EntryUpdate, Evacuations,
    LAPSED_ENTRY_HOLD, MergeSummary, Removal, Revision, Route, Target, Traffic, Warmup, tag,
};
use crate::message;

/// Returns a duration in milliseconds, saturating at the largest value of a message field.
pub fn saturating_ms(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

impl Catalog {
    /// Returns a message with all changes after `revision` and all evacuation orders. It has the
    /// configuration also if that is a later version than `version`.
    pub fn changed_after(&self, revision: Revision, version: u64, now: Moment) -> message::Catalog {
        let configuration = self.configuration();
        let has_changed = configuration.revision > revision || configuration.version > version;
        message::Catalog {
            configuration: has_changed.then(|| configuration_to_message(configuration)),
            endpoints: self
                .endpoints()
                .filter(|(_, endpoint)| endpoint.revision > revision)
                .map(|(_, endpoint)| endpoint_to_message(endpoint, now))
                .collect(),
            evacuations: self
                .evacuations()
                .stored()
                .map(|(data_centre, revision)| message::Evacuation {
                    data_centre: data_centre.to_string(),
                    revision: revision.number,
                    era: revision.era,
                })
                .collect(),
        }
    }

    /// Replaces the evacuation orders by those of another VM's message if these are complete up
    /// to a later revision; returns whether they were.
    pub fn merge_evacuations(
        &mut self,
        catalog: &message::Catalog,
        complete_to: Revision,
        now: Moment,
    ) -> bool {
        let orders = catalog.evacuations.iter();
        let ordered = orders.map(|it| {
            let revision = Revision::new(it.era, it.revision);
            (it.data_centre.as_str().into(), revision)
        });
        self.replace_evacuations(Evacuations::new(complete_to, ordered), now)
    }

    /// Returns a message with the revisions and age of this catalog.
    pub fn view(&self, now: Moment) -> message::View {
        let (revision, evacuations) = (self.revision(), self.evacuations().complete_to());
        message::View {
            revision: revision.number,
            age_ms: saturating_ms(self.age(now)),
            evacuations_revision: evacuations.number,
            era: revision.era,
            evacuations_era: evacuations.era,
            configuration_version: self.configuration().version,
        }
    }

    /// Replaces the configuration by that of another VM's message if this has a later one; returns
    /// whether it has. Routes that cannot be used are ignored.
    pub fn merge_configuration(&mut self, catalog: &message::Catalog) -> bool {
        let configuration = catalog.configuration.as_ref();
        configuration.is_some_and(|it| self.apply_configuration(configuration_from_message(it)))
    }

    /// Merges a message of another VM whose catalog is complete up to `revision`. Routes that cannot
    /// be used are ignored, and endpoints that cannot be used get no new flows.
    ///
    /// A message with `is_whole` lists all endpoints, and those that are missing are removed.
    pub fn merge(
        &mut self,
        catalog: &message::Catalog,
        revision: Revision,
        is_whole: bool,
        now: Moment,
    ) -> MergeSummary {
        let is_restored = self.revision().is_some() && revision.era > self.revision().era;
        let mut summary = MergeSummary {
            configuration: self.merge_configuration(catalog),
            ..MergeSummary::default()
        };
        // Instances of an endpoint are merged from the oldest to the newest.
        let mut endpoints: Vec<&message::Endpoint> = catalog.endpoints.iter().collect();
        endpoints.sort_by_key(|endpoint| (endpoint.era, endpoint.revision));
        for message in endpoints {
            let is_changed = match endpoint_from_message(message, now) {
                Ok(endpoint) => self.merge_endpoint(endpoint, is_restored, now),
                Err(error) => {
                    warn!(
                        "event=peer_entry_unreadable endpoint={:x} revision={} error=\"{error}\"",
                        message.id, message.revision
                    );
                    let update = EntryUpdate {
                        endpoint: message.id,
                        revision: Revision::new(message.era, message.revision),
                        change: Change::Unreadable,
                    };
                    self.apply_update(update, now, Duration::ZERO)
                }
            };
            summary.endpoints += usize::from(is_changed);
        }
        if is_whole {
            let present: Vec<u64> = catalog.endpoints.iter().map(|it| it.id).collect();
            let hold = if is_restored {
                LAPSED_ENTRY_HOLD
            } else {
                Duration::ZERO
            };
            self.remove_missing(&present, revision, now, hold);
        }
        summary
    }
}

impl From<Traffic> for message::Traffic {
    fn from(traffic: Traffic) -> Self {
        match traffic {
            Traffic::Idempotent => Self::Idempotent,
            Traffic::NonIdempotent => Self::NonIdempotent,
            Traffic::Bulk => Self::Bulk,
        }
    }
}

impl From<message::Traffic> for Traffic {
    fn from(traffic: message::Traffic) -> Self {
        match traffic {
            message::Traffic::Idempotent => Self::Idempotent,
            message::Traffic::NonIdempotent => Self::NonIdempotent,
            message::Traffic::Bulk => Self::Bulk,
        }
    }
}

fn configuration_to_message(configuration: &Configuration) -> message::Configuration {
    message::Configuration {
        revision: configuration.revision.number,
        era: configuration.revision.era,
        version: configuration.version,
        flow_idle_ms: saturating_ms(configuration.flow_idle),
        routes: configuration
            .routes
            .values()
            .map(route_to_message)
            .collect(),
        warmups: configuration
            .warmups
            .iter()
            .map(|(service, warmup)| message::Warmup {
                service: service.to_string(),
                duration_ms: saturating_ms(warmup.duration),
                rate_per_s: warmup.rate_per_s,
            })
            .collect(),
    }
}

fn route_to_message(route: &Route) -> message::Route {
    let traffic = message::Traffic::from(route.traffic);
    let targets = route.targets.iter().map(|target| message::Target {
        service: target.service.to_string(),
        weight: target.weight,
    });
    message::Route {
        ip: (*route.address.ip()).into(),
        port: route.address.port().into(),
        name: route.name.clone(),
        traffic: traffic.into(),
        targets: targets.collect(),
        priority: route.priority,
        latency_target_ms: saturating_ms(route.latency_target),
    }
}

/// Returns a message with an endpoint as the store lists it. Each VM defers a restored entry by what
/// it knows itself.
fn endpoint_to_message(endpoint: &Endpoint, now: Moment) -> message::Endpoint {
    let restored = endpoint.restored.as_ref().map(|it| &it.entry);
    let entry = restored.unwrap_or(&endpoint.entry);
    let removal = endpoint.removal.filter(|_| restored.is_none());
    let warmup_left = match restored {
        Some(entry) => entry.warmup_left,
        None => endpoint.warmup_ends_at.since(now),
    };
    message::Endpoint {
        id: endpoint.id,
        born_ms: entry.born_ms,
        revision: endpoint.revision.number,
        era: endpoint.revision.era,
        service: entry.service.to_string(),
        ip: (*entry.address.ip()).into(),
        port: entry.address.port().into(),
        data_centre: entry.data_centre.to_string(),
        slots: entry.slots,
        is_draining: entry.is_draining,
        warmup_left_ms: saturating_ms(warmup_left),
        removal: removal.map(|removal| message::Removal {
            age_ms: saturating_ms(now.since(removal.observed_at)),
            hold_ms: saturating_ms(removal.hold),
        }),
    }
}

fn configuration_from_message(message: &message::Configuration) -> Configuration {
    let routes = message.routes.iter().filter_map(route_from_message);
    Configuration {
        revision: Revision::new(message.era, message.revision),
        version: message.version,
        flow_idle: Duration::from_millis(message.flow_idle_ms.into()),
        routes: routes.map(|route| (route.address, route)).collect(),
        warmups: message
            .warmups
            .iter()
            .filter(|it| it.rate_per_s.is_finite() && it.rate_per_s > 0.0)
            .map(|it| {
                let warmup = Warmup {
                    duration: Duration::from_millis(it.duration_ms.into()),
                    rate_per_s: it.rate_per_s,
                };
                (it.service.as_str().into(), warmup)
            })
            .collect(),
    }
}

fn route_from_message(message: &message::Route) -> Option<Route> {
    let targets: Vec<Target> = message
        .targets
        .iter()
        .map(|target| Target {
            service: target.service.as_str().into(),
            weight: target.weight,
        })
        .collect();
    if targets.is_empty() {
        return None;
    }
    Some(Route {
        name: message.name.clone(),
        address: address(message.ip, message.port)?,
        traffic: message.traffic().into(),
        targets,
        priority: message.priority,
        latency_target: Duration::from_millis(message.latency_target_ms.into()),
    })
}

fn endpoint_from_message(message: &message::Endpoint, now: Moment) -> Result<Endpoint, EntryError> {
    let warmup_left = Duration::from_millis(message.warmup_left_ms.into());
    let entry = Entry {
        service: message.service.as_str().into(),
        address: address(message.ip, message.port).ok_or(EntryError::Address)?,
        data_centre: message.data_centre.as_str().into(),
        slots: message.slots,
        is_draining: message.is_draining,
        warmup_left,
        born_ms: message.born_ms,
    };
    entry.check()?;
    // 0 would address any endpoint.
    if message.id == 0 {
        return Err(EntryError::Address);
    }
    Ok(Endpoint {
        id: message.id,
        entry,
        revision: Revision::new(message.era, message.revision),
        tag: tag(message.id, message.born_ms),
        warmup_ends_at: now + warmup_left,
        removal: message.removal.map(|removal| Removal {
            observed_at: now.before(Duration::from_millis(removal.age_ms.into())),
            hold: Duration::from_millis(removal.hold_ms.into()),
        }),
        restored: None,
    })
}

/// Returns an address; `None` when the port is out of range.
fn address(ip: u32, port: u32) -> Option<SocketAddrV4> {
    Some(SocketAddrV4::new(ip.into(), u16::try_from(port).ok()?))
}
