//! Flows that passed through this VM lately. The table only informs the choice of
//! endpoints and resets; a packet of an open flow is steered by its token without it.

use std::collections::HashMap;

use crate::catalog::{EndpointKey, Traffic};
use crate::packet::Packet;
use crate::prelude::*;

/// Time without a packet after which a flow no longer counts as open here: it may have
/// moved to another VM, and callers pause for a second or two.
const OPEN_WINDOW: Duration = Duration::from_secs(4);

/// Longest time that a request counts as waiting for its answer.
const BUSY_WINDOW: Duration = Duration::from_secs(2);

/// Time for which a finished flow is kept, so that its last packets do not reopen it.
const FINISHED_LINGER: Duration = Duration::from_secs(3);

/// A flow's two ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AddressPair {
    /// Caller's end.
    pub caller: SocketAddrV4,
    /// Address that the caller uses.
    pub destination: SocketAddrV4,
}

impl AddressPair {
    /// Returns the ends of a packet's flow.
    pub fn of(packet: &Packet) -> Self {
        Self {
            caller: packet.caller,
            destination: packet.destination,
        }
    }
}

/// What a packet tells of its flow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Observation {
    /// True when the endpoint must have answered since the packet before.
    pub endpoint_answered: bool,
    /// True when the packet's data was sent before and nothing was answered since.
    pub is_retransmission: bool,
}

/// A flow.
#[derive(Clone, Copy, Debug)]
pub struct Flow {
    /// Endpoint that the flow is on, or that its last opening packet went to.
    pub endpoint: EndpointKey,
    /// Endpoint that an earlier copy of the opening packet went to.
    pub previous_endpoint: Option<EndpointKey>,
    /// What it carries.
    pub traffic: Traffic,
    /// Copies of the opening packet before the last one.
    pub retransmissions: u32,
    /// Time of the last opening packet, or of the first packet seen.
    pub opened_at: Moment,
    /// True when it is counted that the last opening packet has no answer.
    pub is_counted_unanswered: bool,
    seen_at: Moment,
    is_open: bool,
    is_finished: bool,
    next_sequence: u32,
    acknowledged: u32,
    waiting_since: Option<Moment>,
}

impl Flow {
    /// Returns a flow whose opening packet goes to `endpoint`.
    pub fn opening(endpoint: EndpointKey, traffic: Traffic, packet: &Packet, now: Moment) -> Self {
        Self {
            endpoint,
            previous_endpoint: None,
            traffic,
            retransmissions: packet.acknowledged,
            opened_at: now,
            is_counted_unanswered: false,
            seen_at: now,
            is_open: false,
            is_finished: false,
            next_sequence: packet.sequence.wrapping_add(1),
            acknowledged: 0,
            waiting_since: Some(now),
        }
    }

    /// Returns an open flow that this VM sees for the first time.
    pub fn established(
        endpoint: EndpointKey,
        traffic: Traffic,
        packet: &Packet,
        now: Moment,
    ) -> Self {
        Self {
            is_open: true,
            next_sequence: packet.sequence,
            acknowledged: packet.acknowledged,
            waiting_since: None,
            ..Self::opening(endpoint, traffic, packet, now)
        }
    }

    /// Sends a further copy of the opening packet to `endpoint`.
    pub fn retry_opening(&mut self, endpoint: EndpointKey, packet: &Packet, now: Moment) {
        if endpoint != self.endpoint {
            self.previous_endpoint = Some(self.endpoint);
        }
        self.endpoint = endpoint;
        self.retransmissions = packet.acknowledged;
        self.opened_at = now;
        self.is_counted_unanswered = false;
        self.seen_at = now;
    }

    /// Returns whether the caller has acknowledged the endpoint's answer to the opening.
    pub fn is_open(&self) -> bool {
        self.is_open
    }

    /// Takes note of a packet other than an opening one.
    pub fn observe(&mut self, packet: &Packet, now: Moment) -> Observation {
        self.seen_at = now;
        let is_first = !self.is_open;
        let is_acknowledging = is_first || is_after(packet.acknowledged, self.acknowledged);
        let end = packet.sequence.wrapping_add(packet.data_len.into());
        let has_data = packet.data_len > 0;
        let is_new_data = has_data && is_after(end, self.next_sequence);
        self.is_open = true;
        if is_acknowledging {
            self.acknowledged = packet.acknowledged;
            if !is_first && self.traffic != Traffic::Bulk {
                self.waiting_since = None;
            }
        }
        if is_new_data {
            self.next_sequence = end;
            self.waiting_since = Some(now);
        }
        if packet.flags.finishes || packet.flags.resets {
            self.is_finished = true;
        }
        Observation {
            endpoint_answered: is_acknowledging,
            is_retransmission: has_data && !is_new_data && !is_acknowledging,
        }
    }

    fn counts_as_open(&self, now: Moment) -> bool {
        !self.is_finished && now.since(self.seen_at) < OPEN_WINDOW
    }

    fn counts_as_busy(&self, now: Moment) -> bool {
        let waits = |since| now.since(since) < BUSY_WINDOW;
        !self.is_finished && self.waiting_since.is_some_and(waits)
    }
}

/// Returns whether `left` comes after `right` in the sequence numbers' circle.
fn is_after(left: u32, right: u32) -> bool {
    left.wrapping_sub(right) as i32 > 0
}

/// Flows by their ends.
#[derive(Debug, Default)]
pub struct Table {
    flows: HashMap<AddressPair, Flow>,
}

impl Table {
    /// Returns a flow.
    pub fn get_mut(&mut self, ends: AddressPair) -> Option<&mut Flow> {
        self.flows.get_mut(&ends)
    }

    /// Adds a flow in place of an earlier one with the same ends.
    pub fn insert(&mut self, ends: AddressPair, flow: Flow) {
        self.flows.insert(ends, flow);
    }

    /// Drops a flow.
    pub fn remove(&mut self, ends: AddressPair) {
        self.flows.remove(&ends);
    }

    /// Returns the number of flows.
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Returns whether there is no flow.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    /// Drops flows without a packet for `idle`, and finished ones sooner.
    pub fn expire(&mut self, idle: Duration, now: Moment) {
        self.flows.retain(|_, flow| {
            let limit = if flow.is_finished {
                FINISHED_LINGER.min(idle)
            } else {
                idle
            };
            now.since(flow.seen_at) < limit
        });
    }

    /// Counts open flows and waiting requests by endpoint.
    pub fn counts(&self, now: Moment) -> HashMap<EndpointKey, (u32, u32)> {
        let mut counts: HashMap<EndpointKey, (u32, u32)> = HashMap::new();
        for flow in self.flows.values() {
            let count = counts.entry(flow.endpoint).or_default();
            count.0 += u32::from(flow.counts_as_open(now));
            count.1 += u32::from(flow.counts_as_busy(now));
        }
        counts
    }
}
