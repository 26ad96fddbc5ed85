//! Opening packets that wait for an allocator's answer, and the leases of their flows.

use std::net::Ipv4Addr;
use std::sync::atomic::Ordering;

use metrics::counter;

use super::{DiscardReason, Outcome, Steering, Tables};
use crate::catalog::EndpointKey;
use crate::choice::{self, PlacementRequest};
use crate::flow::{AddressPair, Flow, Lease};
use crate::mesh::{MembershipTable, ReceivedAnswer};
use crate::packet::Packet;
use crate::placement::{
    self, Answer, Claims, Directory, Dispatch, MAX_AVOIDED, Next, Opening, Shard, ShardMap,
};
use crate::prelude::*;
use crate::reset::Reason;

/// Number of allocators that the claims get to choose from.
const ALLOCATORS_PER_SHARD: usize = 4;

/// Latency target of a route that has none.
const DEFAULT_LATENCY_TARGET: Duration = Duration::from_millis(400);

/// Part of the latency target for which an opening may wait; the rest is for the request itself.
const PATIENCE_DIVISOR: u32 = 2;

/// Longest patience, and the age from which a kept opening packet does not lead to a reset: the
/// caller's next copy comes after 200 ms, and may have opened the flow through another VM.
const MAX_PATIENCE: Duration = Duration::from_millis(180);

/// Pause of this process from which packets that it receives may be older than they seem.
const PAUSE: Duration = Duration::from_millis(100);

/// Time after a pause in which such packets are handled.
const PAUSE_AFTERMATH: Duration = Duration::from_millis(300);

/// Shortest patience, which lets a late copy of an opening packet find a slot that is free.
const MIN_PATIENCE: Duration = Duration::from_millis(20);

/// Times after the first transmission at which a caller sends copies of the opening packet.
const COPY_DELAYS: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(600)];

/// What a VM needs to place flows through allocators.
pub struct Leasing {
    members: Arc<Mutex<MembershipTable>>,
    /// Number of live VMs from which allocators are used; 0 for never.
    min_vms: u32,
    pub(super) claims: Claims,
    shards: Arc<ShardMap>,
    /// True while the data centre has `min_vms`.
    has_min_vms: bool,
    ticked_at: Moment,
    /// End of the last pause of this process; `None` before the first.
    resumed_at: Option<Moment>,
}

impl Leasing {
    /// Returns the state of a VM without claims.
    pub fn new(members: Arc<Mutex<MembershipTable>>, min_vms: u32) -> Self {
        let vm = members.lock().unwrap().ip();
        Self {
            members,
            min_vms,
            claims: Claims::new(vm),
            shards: Arc::default(),
            has_min_vms: false,
            ticked_at: Moment::now(),
            resumed_at: None,
        }
    }

    /// Records that this process runs.
    pub(super) fn tick(&mut self, now: Moment) {
        if now.since(self.ticked_at) > PAUSE {
            self.resumed_at = Some(now);
        }
        self.ticked_at = now;
    }

    /// Returns whether the flow of a kept opening packet cannot be open already.
    fn may_refuse(&self, opening: &Opening, now: Moment) -> bool {
        let resumed_at = self.resumed_at;
        now.since(self.ticked_at) <= PAUSE
            && resumed_at.is_none_or(|at| now.since(at) > PAUSE_AFTERMATH)
            && now.since(opening.received_at) <= MAX_PATIENCE + MIN_PATIENCE / 2
    }

    /// Updates whether the data centre has enough VMs for allocators.
    pub(super) fn refresh(&mut self, now: Moment) {
        let vms = self.members.lock().unwrap().local_vm_count(now) as u32;
        self.has_min_vms = self.min_vms > 0 && vms >= self.min_vms;
    }

    /// Returns the shards of a service whose flows are placed through allocators; empty for others.
    fn shards_of(
        &mut self,
        service: &str,
        data_centre: &str,
        catalog: &Catalog,
        now: Moment,
    ) -> Vec<Shard> {
        let has_warmup_limit = catalog.configuration().warmups.contains_key(service);
        if !self.has_min_vms && !has_warmup_limit {
            return Vec::new();
        }
        if !self.shards.is_current(catalog, now) {
            self.shards = Arc::new(ShardMap::split(data_centre, catalog, now));
        }
        self.shards.of_service(service).to_vec()
    }
}

/// Decision on an opening packet that was kept for the answer to its claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Resolved {
    /// The decoded packet.
    pub packet: Packet,
    /// The packet as received.
    pub datagram: Vec<u8>,
    /// What happens to it.
    pub outcome: Outcome,
}

impl Steering {
    /// Keeps the bytes of an opening packet with [`Outcome::Pending`].
    pub fn keep(&self, number: u64, packet: &Packet, datagram: &[u8], now: Moment) {
        if let Some(leasing) = &mut *self.leasing.lock().unwrap() {
            leasing.claims.keep(number, packet, datagram, now);
        }
    }

    /// Removes and returns the messages to allocators.
    pub fn take_outbox(&self) -> Vec<Dispatch> {
        match &mut *self.leasing.lock().unwrap() {
            Some(leasing) => leasing.claims.take_outbox(),
            None => Vec::new(),
        }
    }

    /// Applies an allocator's answer; returns the decision on the opening packet once there is one.
    pub fn apply_answer(&self, received: ReceivedAnswer, now: Moment) -> Option<Resolved> {
        self.with_tables(now, |tables| {
            let mut leasing = self.leasing.lock().unwrap();
            let leasing = leasing.as_mut()?;
            let ReceivedAnswer {
                allocator,
                number,
                answer,
            } = received;
            let shards = match leasing.claims.service_of(number) {
                Some(service) if matches!(answer, Answer::Denied(_)) => {
                    leasing.shards_of(&service, &self.data_centre, tables.catalog, now)
                }
                _ => Vec::new(),
            };
            let members = leasing.members.clone();
            let allocators = |shard| allocators_of(&members, shard, now);
            let directory = Directory {
                shards: &shards,
                allocators: &allocators,
                now,
            };
            let next = leasing
                .claims
                .answer(allocator, number, answer, directory)?;
            self.resolve(next, leasing, directory, tables)
        })
    }

    /// Ends claims without an answer in time; returns the decisions on their opening packets.
    pub fn expire_claims(&self, now: Moment) -> Vec<Resolved> {
        self.with_tables(now, |tables| {
            let mut leasing = self.leasing.lock().unwrap();
            let Some(leasing) = leasing.as_mut().filter(|it| !it.claims.is_empty()) else {
                return Vec::new();
            };
            let members = leasing.members.clone();
            let allocators = |shard| allocators_of(&members, shard, now);
            let directory = Directory {
                shards: &[],
                allocators: &allocators,
                now,
            };
            let next = leasing.claims.expire(directory).into_iter();
            next.filter_map(|next| self.resolve(next, leasing, directory, tables))
                .collect()
        })
    }

    /// Begins a claim for an opening packet; `None` when this VM has to choose an endpoint by
    /// itself.
    pub(super) fn begin_claim(
        &self,
        packet: &Packet,
        request: &PlacementRequest<'_>,
        tables: &mut Tables<'_>,
    ) -> Option<Outcome> {
        let (catalog, now) = (tables.catalog, tables.now);
        let mut leasing = self.leasing.lock().unwrap();
        let leasing = leasing.as_mut()?;
        let shards = leasing.shards_of(request.service, &self.data_centre, catalog, now);
        if shards.is_empty() {
            return None;
        }
        let route = catalog.route(packet.destination)?;
        let tag = |key: Option<EndpointKey>| Some(catalog.endpoint(key?)?.tag);
        let mut avoid = [0; MAX_AVOIDED];
        for (slot, key) in avoid.iter_mut().zip(request.avoid) {
            *slot = tag(key).unwrap_or(0);
        }
        let opening = Opening {
            packet: *packet,
            datagram: Vec::new(),
            received_at: now,
            service: request.service.into(),
            traffic: request.traffic,
            priority: route.priority,
            patience: patience(route.latency_target, packet.acknowledged),
            avoid,
        };
        let members = leasing.members.clone();
        let allocators = |shard| allocators_of(&members, shard, now);
        let directory = Directory {
            shards: &shards,
            allocators: &allocators,
            now,
        };
        let next = match leasing.claims.begin(opening, directory) {
            Next::Spill(opening) => match self.spill(&opening, tables) {
                Some(outcome) => return Some(outcome),
                None => leasing.claims.wait(opening, directory),
            },
            next => next,
        };
        match next {
            Next::Pending(number) => Some(Outcome::Pending(number)),
            _ => None,
        }
    }

    /// Returns the number of the pending claim for a flow; `None` when there is none.
    pub(super) fn pending_claim(&self, addresses: AddressPair) -> Option<u64> {
        let leasing = self.leasing.lock().unwrap();
        leasing.as_ref()?.claims.pending_number(addresses)
    }

    /// Sends the release of a flow's lease, if it has one.
    pub(super) fn release(&self, flow: &mut Flow, outcome: placement::Outcome) {
        let Some(lease) = flow.lease.take() else {
            return;
        };
        if let Some(leasing) = &mut *self.leasing.lock().unwrap() {
            leasing
                .claims
                .release(lease.allocator, lease.number, outcome);
        }
    }

    /// Carries out the next step of a claim; `None` while it is pending.
    fn resolve(
        &self,
        next: Next,
        leasing: &mut Leasing,
        directory: Directory<'_>,
        tables: &mut Tables<'_>,
    ) -> Option<Resolved> {
        let (opening, outcome) = match next {
            Next::Pending(_) => return None,
            Next::Leased(opening, tag, allocator, number) => {
                let lease = Lease { allocator, number };
                let Some(outcome) = self.bind_leased(&opening, tag, lease, tables) else {
                    let unused = placement::Outcome::Unused;
                    leasing.claims.release(allocator, number, unused);
                    return None;
                };
                (opening, outcome)
            }
            Next::Spill(opening) => match self.spill(&opening, tables) {
                Some(outcome) => (opening, outcome),
                None => match leasing.claims.wait(opening, directory) {
                    Next::Place(opening) => self.place(opening, tables),
                    _ => return None,
                },
            },
            Next::Refuse(opening) if leasing.may_refuse(&opening, directory.now) => {
                (opening, Outcome::Reset(Reason::Overloaded))
            }
            Next::Refuse(opening) => (opening, Outcome::Discard(DiscardReason::HeldTooLong)),
            Next::Place(opening) => self.place(opening, tables),
        };
        Some(Resolved {
            packet: opening.packet,
            datagram: opening.datagram,
            outcome,
        })
    }

    /// Binds a kept opening packet to a leased endpoint; `None` when its flow has opened meanwhile
    /// or the endpoint is not in the catalog.
    fn bind_leased(
        &self,
        opening: &Opening,
        tag: u32,
        lease: Lease,
        tables: &mut Tables<'_>,
    ) -> Option<Outcome> {
        let key = tables.catalog.by_tag(tag)?;
        let flow = tables.flows.get_mut(AddressPair::of(&opening.packet));
        if flow.is_some_and(|flow| flow.is_open()) {
            return None;
        }
        let request = self.request_of(opening, tables.catalog);
        Some(self.bind_flow(&opening.packet, &request, key, Some(lease), tables))
    }

    /// Binds an opening packet to an endpoint with room in another data centre; `None` when there
    /// is none.
    fn spill(&self, opening: &Opening, tables: &mut Tables<'_>) -> Option<Outcome> {
        let (catalog, now) = (tables.catalog, tables.now);
        let request = self.request_of(opening, catalog);
        let subset = self.subset(catalog, now);
        let mut random = rand::rng();
        let key = choice::spill(&request, &subset, catalog, tables.loads, now, &mut random)?;
        counter!("ragwortbeam_flows_spilled_total").increment(1);
        Some(self.bind_flow(&opening.packet, &request, key, None, tables))
    }

    /// Places a kept opening packet by this VM's own choice.
    fn place(&self, opening: Opening, tables: &mut Tables<'_>) -> (Opening, Outcome) {
        let request = self.request_of(&opening, tables.catalog);
        let outcome = self.choose_and_bind(&opening.packet, &request, tables);
        (opening, outcome)
    }

    fn request_of<'a>(&'a self, opening: &'a Opening, catalog: &Catalog) -> PlacementRequest<'a> {
        PlacementRequest {
            service: &opening.service,
            traffic: opening.traffic,
            data_centre: &self.data_centre,
            avoid: opening.avoid.map(|tag| catalog.by_tag(tag)),
        }
    }

    /// Records whether this VM has allocators to ask.
    pub(super) fn refresh_leasing(&self, now: Moment) {
        if let Some(leasing) = &mut *self.leasing.lock().unwrap() {
            leasing.refresh(now);
            self.pending_claims
                .store(leasing.claims.len() as u64, Ordering::Relaxed);
        }
    }
}

/// Returns the time for which the caller of an opening packet can wait, where `copy` is the number
/// of earlier transmissions.
fn patience(latency_target: Duration, copy: u32) -> Duration {
    let target = if latency_target.is_zero() {
        DEFAULT_LATENCY_TARGET
    } else {
        latency_target
    };
    let elapsed = match copy {
        0 => Duration::ZERO,
        1 => COPY_DELAYS[0],
        _ => COPY_DELAYS[1],
    };
    (target / PATIENCE_DIVISOR)
        .saturating_sub(elapsed)
        .clamp(MIN_PATIENCE, MAX_PATIENCE)
}

fn allocators_of(members: &Mutex<MembershipTable>, shard: u64, now: Moment) -> Vec<Ipv4Addr> {
    let members = members.lock().unwrap();
    members.allocators(shard, ALLOCATORS_PER_SHARD, now)
}
