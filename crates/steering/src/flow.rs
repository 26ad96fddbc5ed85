//! Flows with recent packets on this VM. The table serves the choice of endpoints and the decision
//! on resets only; a packet of an open flow is steered by its token without it.

use std::collections::HashMap;
use std::net::Ipv4Addr;

use crate::catalog::{EndpointKey, Traffic};
use crate::packet::Packet;
use crate::prelude::*;

/// Time without a packet after which a flow no longer counts as open on this VM: its packets may
/// now arrive at another VM. Callers pause for one or two seconds between requests.
const OPEN_WINDOW: Duration = Duration::from_secs(4);

/// Longest time for which a request counts as outstanding.
const BUSY_WINDOW: Duration = Duration::from_secs(2);

/// Time for which a finished flow is kept, so that its last packets do not open it again.
const FINISHED_RETENTION: Duration = Duration::from_secs(3);

/// Source and destination address, which identify a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AddressPair {
    /// Address of the caller.
    pub caller: SocketAddrV4,
    /// Destination address of the caller's packets.
    pub destination: SocketAddrV4,
}

impl AddressPair {
    /// Returns the addresses of a packet's flow.
    pub fn of(packet: &Packet) -> Self {
        Self {
            caller: packet.caller,
            destination: packet.destination,
        }
    }
}

/// Result of [`Flow::observe`] for one packet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Observation {
    /// True when the packet shows that the endpoint has answered since the previous one.
    pub endpoint_answered: bool,
    /// True when the packet's data was sent before and the endpoint has not answered since.
    pub is_retransmission: bool,
    /// True when the packet begins a request while none was outstanding.
    pub begins_request: bool,
    /// True when the packet ends the outstanding request.
    pub ends_request: bool,
}

/// Lease of a slot, as the allocator and the VM that claimed it know it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// VM that allocated the slot.
    pub allocator: Ipv4Addr,
    /// Number of the claim.
    pub number: u64,
}

/// State of a flow on this VM.
#[derive(Clone, Copy, Debug)]
pub struct Flow {
    /// Endpoint that the flow is bound to; before it is open, the endpoint that its latest opening
    /// packet was sent to.
    pub endpoint: EndpointKey,
    /// Endpoint that an earlier transmission of the opening packet was sent to; `None` when all
    /// went to the same one.
    pub previous_endpoint: Option<EndpointKey>,
    /// Kind of traffic on the flow.
    pub traffic: Traffic,
    /// Number of times that the caller sent the opening packet before the latest transmission.
    pub retransmissions: u32,
    /// Time of the latest opening packet, or of the first packet when the opening was not seen.
    pub opened_at: Moment,
    /// True when the latest opening packet has been counted as unanswered.
    pub is_counted_unanswered: bool,
    /// Lease of the slot for the flow's first request; `None` without one, and after its end.
    pub lease: Option<Lease>,
    last_packet_at: Moment,
    is_open: bool,
    is_finished: bool,
    /// Sequence number after the last byte of data that the caller sent.
    next_sequence: u32,
    acknowledged: u32,
    /// Time of the latest request; `None` when no request is outstanding.
    waiting_since: Option<Moment>,
}

impl Flow {
    /// Returns a flow whose opening packet is sent to `endpoint`.
    pub fn opening(endpoint: EndpointKey, traffic: Traffic, packet: &Packet, now: Moment) -> Self {
        Self {
            endpoint,
            previous_endpoint: None,
            traffic,
            retransmissions: packet.acknowledged,
            opened_at: now,
            is_counted_unanswered: false,
            lease: None,
            last_packet_at: now,
            is_open: false,
            is_finished: false,
            next_sequence: packet.sequence.wrapping_add(1),
            acknowledged: 0,
            waiting_since: Some(now),
        }
    }

    /// Returns an open flow whose opening went through another VM or is no longer in the table.
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

    /// Records that a further copy of the opening packet is sent to `endpoint`.
    pub fn retry_opening(&mut self, endpoint: EndpointKey, packet: &Packet, now: Moment) {
        if endpoint != self.endpoint {
            self.previous_endpoint = Some(self.endpoint);
        }
        self.endpoint = endpoint;
        self.retransmissions = packet.acknowledged;
        self.opened_at = now;
        self.is_counted_unanswered = false;
        self.last_packet_at = now;
    }

    /// Returns whether the caller has acknowledged the endpoint's answer to the opening packet.
    pub fn is_open(&self) -> bool {
        self.is_open
    }

    /// Updates the flow with a packet other than an opening one.
    pub fn observe(&mut self, packet: &Packet, now: Moment) -> Observation {
        self.last_packet_at = now;
        let was_waiting = self.is_waiting();
        let was_opening = !self.is_open;
        let is_acknowledging = was_opening || is_after(packet.acknowledged, self.acknowledged);
        let end = packet.sequence.wrapping_add(packet.data_len.into());
        let has_data = packet.data_len > 0;
        let is_new_data = has_data && is_after(end, self.next_sequence);
        self.is_open = true;
        if is_acknowledging {
            self.acknowledged = packet.acknowledged;
            // Parts of a large response are acknowledged while the request is still outstanding.
            if !was_opening && self.traffic != Traffic::Bulk {
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
            begins_request: !was_waiting && self.is_waiting(),
            ends_request: was_waiting && !self.is_waiting(),
        }
    }

    /// Returns whether a request is outstanding, however long ago it began.
    fn is_waiting(&self) -> bool {
        !self.is_finished && self.waiting_since.is_some()
    }

    fn counts_as_open(&self, now: Moment) -> bool {
        !self.is_finished && now.since(self.last_packet_at) < OPEN_WINDOW
    }

    fn counts_as_busy(&self, now: Moment) -> bool {
        let waits = |since| now.since(since) < BUSY_WINDOW;
        self.lease.is_none() && !self.is_finished && self.waiting_since.is_some_and(waits)
    }
}

/// Returns whether `left` follows `right` in sequence numbers that wrap around.
fn is_after(left: u32, right: u32) -> bool {
    left.wrapping_sub(right) as i32 > 0
}

/// Flows by address pair.
#[derive(Debug, Default)]
pub struct Table {
    flows: HashMap<AddressPair, Flow>,
}

impl Table {
    /// Returns a flow; `None` when it is not in the table.
    pub fn get_mut(&mut self, addresses: AddressPair) -> Option<&mut Flow> {
        self.flows.get_mut(&addresses)
    }

    /// Adds a flow; returns an earlier one with the same addresses, which it replaces.
    pub fn insert(&mut self, addresses: AddressPair, flow: Flow) -> Option<Flow> {
        self.flows.insert(addresses, flow)
    }

    /// Drops and returns a flow; `None` when it is not in the table.
    pub fn remove(&mut self, addresses: AddressPair) -> Option<Flow> {
        self.flows.remove(&addresses)
    }

    /// Returns the number of flows.
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Returns whether the table has no flow.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    /// Drops flows without a packet for `idle`; finished flows are dropped after
    /// `FINISHED_RETENTION` at the latest.
    pub fn expire(&mut self, idle: Duration, now: Moment) {
        self.flows.retain(|_, flow| {
            let limit = if flow.is_finished {
                FINISHED_RETENTION.min(idle)
            } else {
                idle
            };
            now.since(flow.last_packet_at) < limit
        });
    }

    /// Returns the numbers of open flows and of outstanding requests without a lease, in this order,
    /// by endpoint.
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
