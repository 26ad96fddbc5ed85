//! Rotation of a data centre: whether its VMs tell the network fabric that they are ready.
//!
//! While fewer than half of a data centre's VMs are in rotation, the fabric delivers its packets
//! to all of them, also to those that are frozen, cut off or dead. When none is in rotation, it
//! uses the nearest data centres. So the live minority of a data centre takes itself out of
//! rotation while another data centre can serve its callers.
//!
//! The first hub of a data centre decides for all its VMs; the frames between VMs carry its
//! decision.

use crate::prelude::*;

/// Time for which a hand-over has to be possible before it starts: a pause of this VM or a burst
/// of lost heartbeats is shorter.
const HAND_OVER_DELAY: Duration = Duration::from_millis(200);

/// Time for which at least half of the VMs have to be able before a hand-over ends.
const RETURN_DELAY: Duration = Duration::from_millis(200);

/// Time for which no other data centre can take the callers before a hand-over ends, so that
/// one lost frame does not end it.
const STRANDED_DELAY: Duration = Duration::from_millis(600);

/// Minimum number of able VMs of a data centre that receives callers, so that it outlives the
/// loss of one.
const MIN_RECEIVING_VMS: u32 = 2;

/// Maximum number of VMs' callers that one able VM serves after a hand-over. Steering takes a small
/// part of a VM's processor, and without a hand-over more than half of the callers' packets are
/// lost.
const MAX_LOAD_FACTOR: u32 = 10;

/// Largest part of all data centres, in percent, that hand their callers over at the same time.
const MAX_DONORS_PERCENT: usize = 75;

/// Number of VMs of a data centre, counted by its first hub.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Census {
    /// VMs that were seen lately, whether they answer or not. At least `able`.
    pub known: u32,
    /// VMs that answer and are not leaving, which are those that may be in rotation.
    pub able: u32,
}

impl Census {
    /// Returns whether fewer than half of the VMs are able, so that the fabric uses all of them.
    pub fn is_minority(self) -> bool {
        self.able * 2 < self.known
    }

    /// Returns whether the data centre may receive the callers of another one: its able VMs are in
    /// rotation on their own, and it is not empty after the loss of one.
    fn can_receive(self) -> bool {
        self.able >= MIN_RECEIVING_VMS && !self.is_minority()
    }

    /// Returns whether one more VM may leave the rotation while at least half stay in it. A data
    /// centre with a single able VM has no other choice.
    pub fn may_leave(self) -> bool {
        self.able <= 1 || (self.able - 1) * 2 >= self.known
    }
}

/// State of a data centre as its first hub sends it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct State {
    /// Number of its VMs.
    pub census: Census,
    /// True while its VMs are out of rotation and other data centres serve its callers.
    pub is_handed_over: bool,
}

/// Recent state of another data centre.
#[derive(Clone, Copy, Debug)]
pub struct Neighbour<'a> {
    /// Name of the data centre.
    pub data_centre: &'a str,
    /// Its state, as received a short time ago.
    pub state: State,
}

/// Reason for a decision.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Reason {
    /// At least half of the VMs are able.
    #[default]
    Majority,
    /// Fewer than half are able, for less than [`HAND_OVER_DELAY`] or [`STRANDED_DELAY`] so far.
    Settling,
    /// Fewer than half are able, but no other data centre is known to have half of its own.
    NoReceiver,
    /// Fewer than half are able, but the receiving VMs would get too many callers.
    NoRoom,
    /// Fewer than half are able, but enough other data centres hand over already.
    TooManyHandOvers,
    /// Fewer than half are able, and other data centres serve the callers.
    HandedOver,
    /// At least half are able again, for less than [`RETURN_DELAY`] so far.
    Returning,
}

impl Reason {
    /// Returns the label of the reason in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Majority => "majority",
            Self::Settling => "settling",
            Self::NoReceiver => "no_receiver",
            Self::NoRoom => "no_room",
            Self::TooManyHandOvers => "too_many_hand_overs",
            Self::HandedOver => "handed_over",
            Self::Returning => "returning",
        }
    }
}

/// Decision of a data centre's first hub whether its callers are handed over.
#[derive(Clone, Copy, Debug, Default)]
pub struct Policy {
    is_handed_over: bool,
    /// Time since which the opposite decision would be right; `None` when the current one is.
    deviates_since: Option<Moment>,
    evaluated_at: Option<Moment>,
}

impl Policy {
    /// Returns whether the callers are handed over, according to the last evaluation.
    pub fn is_handed_over(&self) -> bool {
        self.is_handed_over
    }

    /// Evaluates the state of the data centre `own` with these VMs, and of the others.
    ///
    /// After more than `max_gap` without an evaluation, this VM was frozen or was not the first
    /// hub: what it knows of the others is outdated, and the decision starts anew.
    pub fn evaluate(
        &mut self,
        own: &str,
        census: Census,
        others: &[Neighbour<'_>],
        max_gap: Duration,
        now: Moment,
    ) -> Reason {
        let is_outdated = self.evaluated_at.is_none_or(|at| now.since(at) > max_gap);
        if is_outdated {
            *self = Self::default();
        }
        self.evaluated_at = Some(now);
        let obstacle = self.obstacle(own, census, others);
        let delay = match (self.is_handed_over, obstacle) {
            (false, None) => HAND_OVER_DELAY,
            (true, Some(Reason::Majority)) => RETURN_DELAY,
            (true, Some(_)) => STRANDED_DELAY,
            (false, Some(reason)) => {
                self.deviates_since = None;
                return reason;
            }
            (true, None) => {
                self.deviates_since = None;
                return Reason::HandedOver;
            }
        };
        let deviates_since = *self.deviates_since.get_or_insert(now);
        if now.since(deviates_since) >= delay {
            self.is_handed_over = !self.is_handed_over;
            self.deviates_since = None;
            return obstacle.unwrap_or(Reason::HandedOver);
        }
        match obstacle {
            Some(Reason::Majority) => Reason::Returning,
            _ => Reason::Settling,
        }
    }

    /// Returns why a data centre keeps its callers; `None` when they are better served elsewhere.
    fn obstacle(&self, own: &str, census: Census, others: &[Neighbour<'_>]) -> Option<Reason> {
        if !census.is_minority() {
            return Some(Reason::Majority);
        }
        let receives =
            |it: &&Neighbour<'_>| it.state.census.can_receive() && !it.state.is_handed_over;
        let receivers: Vec<State> = others.iter().filter(receives).map(|it| it.state).collect();
        if receivers.is_empty() {
            return Some(Reason::NoReceiver);
        }
        // Data centres that hand over already keep their turn; the others take it by name.
        let precedes = |it: &&Neighbour<'_>| {
            let is_first_by_name = it.data_centre < own;
            if self.is_handed_over {
                it.state.is_handed_over && is_first_by_name
            } else {
                it.state.is_handed_over || it.state.census.is_minority() && is_first_by_name
            }
        };
        let donors: Vec<State> = others.iter().filter(precedes).map(|it| it.state).collect();
        if donors.len() >= (others.len() + 1) * MAX_DONORS_PERCENT / 100 {
            return Some(Reason::TooManyHandOvers);
        }
        let known = |states: &[State]| states.iter().map(|it| it.census.known).sum::<u32>();
        let able: u32 = receivers.iter().map(|it| it.census.able).sum();
        if census.known + known(&donors) + known(&receivers) > able * MAX_LOAD_FACTOR {
            return Some(Reason::NoRoom);
        }
        None
    }
}
