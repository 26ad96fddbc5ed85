//! This VM's part in the rotation of its data centre: the first hub counts the VMs and decides, the
//! other VMs follow the state in its frames.

use std::collections::HashMap;
use std::net::Ipv4Addr;

use metrics::{counter, gauge};
use spdlog::info;

use super::PeerLink;
use crate::message;
use crate::prelude::*;
use crate::rotation::{Census, Neighbour, Policy, Reason, State};

/// Time without a frame after which a VM counts as silent, in a data centre with the shortest
/// heartbeat interval.
const MIN_SILENCE: Duration = Duration::from_millis(350);

/// Heartbeat intervals after which a VM counts as silent, where these are longer.
const SILENCE_INTERVALS: u32 = 3;

/// Age above which the state of a data centre is ignored, in heartbeat intervals: three times the
/// interval between frames to its hub.
const STATE_LIFETIME_INTERVALS: u32 = 15;

/// Minimum age above which the state of a data centre is ignored.
const MIN_STATE_LIFETIME: Duration = Duration::from_millis(1500);

/// Maximum number of silent VMs that the first hub contacts in one heartbeat round.
const MAX_CONTACTED_VMS: usize = 8;

/// States of data centres that this VM knows.
#[derive(Debug, Default)]
pub(super) struct Rotation {
    policy: Policy,
    reason: Reason,
    /// State of this data centre while this VM is its first hub; `None` while it is not.
    decided: Option<State>,
    /// States received from first hubs, with the time of receipt.
    received: HashMap<Arc<str>, (State, Moment)>,
    /// Time for which a received state is used, derived from the heartbeat interval.
    lifetime: Duration,
    /// Whether the last readiness check found the callers handed over.
    was_handed_over: bool,
}

impl Rotation {
    /// Returns the state of `data_centre` as received from its first hub; `None` when it is too
    /// old.
    fn received(&self, data_centre: &str, now: Moment) -> Option<State> {
        let (state, received_at) = self.received.get(data_centre)?;
        let lifetime = self.lifetime.max(MIN_STATE_LIFETIME);
        (now.since(*received_at) <= lifetime).then_some(*state)
    }
}

impl PeerLink {
    /// Decides on the rotation of this data centre if this VM is its first hub. Returns the VMs
    /// whose silence has to be confirmed or refuted by a heartbeat.
    pub(super) fn update_rotation(&self, interval: Duration, now: Moment) -> Vec<Ipv4Addr> {
        let max_silence = MIN_SILENCE.max(interval * SILENCE_INTERVALS);
        let (is_first_hub, data_centre, census, silent) = {
            let members = self.members.lock().unwrap();
            (
                members.is_first_hub(now),
                members.data_centre().clone(),
                members.census(max_silence, now),
                members.silent_vms(max_silence / 2, MAX_CONTACTED_VMS, now),
            )
        };
        let mut rotation = self.rotation.lock().unwrap();
        let rotation = &mut *rotation;
        rotation.lifetime = interval * STATE_LIFETIME_INTERVALS;
        if !is_first_hub {
            rotation.decided = None;
            return Vec::new();
        }
        let others: Vec<Neighbour<'_>> = rotation
            .received
            .keys()
            .filter(|name| **name != data_centre)
            .filter_map(|name| {
                Some(Neighbour {
                    data_centre: name,
                    state: rotation.received(name, now)?,
                })
            })
            .collect();
        let was_handed_over = rotation.policy.is_handed_over();
        let reason = rotation
            .policy
            .evaluate(&data_centre, census, &others, max_silence, now);
        let is_handed_over = rotation.policy.is_handed_over();
        if reason != rotation.reason {
            info!(
                "event=rotation_decided data_centre={data_centre} reason={} is_handed_over={is_handed_over} known_vms={} able_vms={} other_data_centres={}",
                reason.label(),
                census.known,
                census.able,
                others.len()
            );
        }
        if is_handed_over && !was_handed_over {
            counter!("ragwortbeam_hand_overs_total").increment(1);
        }
        rotation.reason = reason;
        rotation.decided = Some(State {
            census,
            is_handed_over,
        });
        gauge!("ragwortbeam_data_centre_vms", "state" => "known").set(census.known);
        gauge!("ragwortbeam_data_centre_vms", "state" => "able").set(census.able);
        silent
    }

    /// Returns the state of this data centre for a frame; `None` while this VM is not its first
    /// hub.
    pub(super) fn own_state(&self) -> Option<message::DataCentre> {
        let state = self.rotation.lock().unwrap().decided?;
        Some(message::DataCentre {
            known_vms: state.census.known,
            able_vms: state.census.able,
            is_handed_over: state.is_handed_over,
        })
    }

    /// Records the state of a data centre from a frame of its first hub.
    pub(super) fn record_state(&self, data_centre: &str, state: &message::DataCentre, now: Moment) {
        let state = State {
            census: Census {
                known: state.known_vms,
                able: state.able_vms.min(state.known_vms),
            },
            is_handed_over: state.is_handed_over,
        };
        let mut rotation = self.rotation.lock().unwrap();
        rotation.received.insert(data_centre.into(), (state, now));
    }

    /// Returns the state of this data centre; `None` while none is known.
    pub fn data_centre_state(&self, now: Moment) -> Option<State> {
        let data_centre = self.members.lock().unwrap().data_centre().clone();
        let rotation = self.rotation.lock().unwrap();
        rotation
            .decided
            .or_else(|| rotation.received(&data_centre, now))
    }

    /// Returns whether other data centres serve this one's callers, so that this VM has to fail
    /// its readiness checks. Logs each change.
    pub fn is_handed_over(&self, now: Moment) -> bool {
        let state = self.data_centre_state(now).unwrap_or_default();
        let mut rotation = self.rotation.lock().unwrap();
        if rotation.was_handed_over != state.is_handed_over {
            info!(
                "event=readiness_changed is_handed_over={} known_vms={} able_vms={}",
                state.is_handed_over, state.census.known, state.census.able
            );
            rotation.was_handed_over = state.is_handed_over;
        }
        state.is_handed_over
    }
}
