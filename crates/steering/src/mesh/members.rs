//! Membership: the liveness of VMs and the order in which they serve as hubs and readers.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::net::Ipv4Addr;

use spdlog::info;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::message;
use crate::prelude::*;
use crate::rotation::Census;

/// Consecutive unanswered heartbeats after which this VM considers a peer down. At the
/// shortest heartbeat interval this takes 0.3 s, which is many round trips.
const MAX_UNANSWERED_HEARTBEATS: u32 = 6;

/// Consecutive unanswered heartbeats after which a hub's stand-in is contacted too, so that a
/// series of hubs that are down is passed quickly.
const SUSPECTED_AFTER_HEARTBEATS: u32 = 2;

/// Maximum number of stand-ins for suspected hubs that are contacted at the same time.
const MAX_STAND_INS: usize = 3;

/// Time since a VM was last seen after which it no longer counts as one of its data centre's VMs.
const CENSUS_WINDOW: Duration = Duration::from_secs(60);

/// The same for a VM that was leaving: one that is only restarted is back before.
const LEFT_CENSUS_WINDOW: Duration = Duration::from_secs(10);

/// Time since a peer was last seen, by this VM or by others, after which it is considered
/// down. Member lists are exchanged every two seconds.
const LIVENESS_TIMEOUT: Duration = Duration::from_secs(4);

/// Time since a peer was last seen after which it is removed from the table.
const MEMBER_EXPIRY: Duration = Duration::from_secs(600);

/// Maximum number of members advertised per remote data centre: the first ones in its hub order.
const ADVERTISED_REMOTE_MEMBERS: usize = 4;

/// State of a peer VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Random number that the peer's process draws when it starts.
    pub incarnation: u64,
    /// Data centre in which the peer runs.
    pub data_centre: Arc<str>,
    /// Relative capacity of the peer; peers with a higher weight are preferred as hubs.
    pub weight: u32,
    /// True when the peer has announced that it is shutting down.
    pub is_leaving: bool,
    /// True when the peer answers claims.
    pub is_allocator: bool,
    /// Time at which this VM or another one last received a frame from the peer.
    pub last_seen_at: Moment,
    /// Time at which this VM itself last received a frame from the peer; `None` before the first.
    contact_at: Option<Moment>,
    /// Heartbeats sent to the peer since this VM last received a frame from it.
    unanswered_heartbeats: u32,
}

impl Member {
    fn is_alive(&self, now: Moment) -> bool {
        self.unanswered_heartbeats < MAX_UNANSWERED_HEARTBEATS
            && now.since(self.last_seen_at) < LIVENESS_TIMEOUT
    }

    /// Returns whether this VM itself received a frame from the peer within `window`.
    fn was_heard_within(&self, window: Duration, now: Moment) -> bool {
        self.contact_at
            .is_some_and(|contact_at| now.since(contact_at) <= window)
    }
}

/// Table of this VM and the peers known to it.
#[derive(Debug)]
pub struct MembershipTable {
    ip: Ipv4Addr,
    incarnation: u64,
    data_centre: Arc<str>,
    weight: u32,
    is_leaving: bool,
    peers: HashMap<Ipv4Addr, Member>,
}

impl MembershipTable {
    /// Returns a table without peers.
    pub fn new(ip: Ipv4Addr, incarnation: u64, data_centre: &str, weight: u32) -> Self {
        Self {
            ip,
            incarnation,
            data_centre: data_centre.into(),
            weight,
            is_leaving: false,
            peers: HashMap::new(),
        }
    }

    /// Returns the address under which peers reach this VM.
    pub fn ip(&self) -> Ipv4Addr {
        self.ip
    }

    /// Returns the data centre in which this VM runs.
    pub fn data_centre(&self) -> &Arc<str> {
        &self.data_centre
    }

    /// Marks this VM as leaving, so that it no longer serves as a hub or reader.
    pub fn leave(&mut self) {
        self.is_leaving = true;
    }

    /// Returns the protobuf member entry of this VM, with age 0.
    pub fn own_member(&self) -> message::Member {
        message::Member {
            ip: self.ip.into(),
            incarnation: self.incarnation,
            data_centre: self.data_centre.to_string(),
            weight: self.weight,
            age_ms: 0,
            is_leaving: self.is_leaving,
            is_allocator: true,
        }
    }

    /// Records that a frame arrived from the peer itself, and resets its count of unanswered
    /// heartbeats.
    pub fn record_direct_contact(&mut self, member: &message::Member, now: Moment) {
        self.merge(member, now);
        if let Some(known) = self.peers.get_mut(&Ipv4Addr::from(member.ip)) {
            if known.unanswered_heartbeats >= MAX_UNANSWERED_HEARTBEATS {
                info!(
                    "event=vm_regained ip={} data_centre={}",
                    Ipv4Addr::from(member.ip),
                    known.data_centre
                );
            }
            known.unanswered_heartbeats = 0;
            known.contact_at = Some(now);
        }
    }

    /// Merges a member entry that the peer itself or another VM sent. It is ignored when the peer
    /// has been seen at the same time or later according to the known entry.
    pub fn merge(&mut self, member: &message::Member, now: Moment) {
        let ip = Ipv4Addr::from(member.ip);
        if ip == self.ip {
            return;
        }
        let last_seen_at = now.before(Duration::from_millis(member.age_ms.into()));
        let update = Member {
            incarnation: member.incarnation,
            data_centre: member.data_centre.as_str().into(),
            weight: member.weight,
            is_leaving: member.is_leaving,
            is_allocator: member.is_allocator,
            last_seen_at,
            contact_at: None,
            unanswered_heartbeats: 0,
        };
        match self.peers.get_mut(&ip) {
            Some(known) if known.last_seen_at >= last_seen_at => {}
            Some(known) => {
                *known = Member {
                    contact_at: known.contact_at,
                    unanswered_heartbeats: known.unanswered_heartbeats,
                    ..update
                };
            }
            None => {
                info!(
                    "event=vm_found ip={ip} data_centre={} weight={} age_ms={}",
                    update.data_centre, update.weight, member.age_ms
                );
                self.peers.insert(ip, update);
            }
        }
    }

    /// Counts a heartbeat sent to a peer as unanswered until a frame arrives from it.
    pub fn record_heartbeat_sent(&mut self, ip: Ipv4Addr) {
        let Some(member) = self.peers.get_mut(&ip) else {
            return;
        };
        member.unanswered_heartbeats = member.unanswered_heartbeats.saturating_add(1);
        if member.unanswered_heartbeats == MAX_UNANSWERED_HEARTBEATS {
            info!("event=vm_lost ip={ip} data_centre={}", member.data_centre);
        }
    }

    /// Removes peers that have not been seen for `MEMBER_EXPIRY`.
    pub fn remove_expired(&mut self, now: Moment) {
        self.peers
            .retain(|_, member| now.since(member.last_seen_at) < MEMBER_EXPIRY);
    }

    /// Returns whether any peer in any data centre is alive.
    pub fn has_live_peer(&self, now: Moment) -> bool {
        self.peers.values().any(|member| member.is_alive(now))
    }

    /// Returns up to `count` VMs of this data centre that can be the allocator of a shard, the one
    /// to ask first first. All VMs with the same members return the same ones.
    pub fn allocators(&self, shard: u64, count: usize, now: Moment) -> Vec<Ipv4Addr> {
        let peers = self.peers.iter().filter(|(_, member)| {
            member.is_allocator
                && !member.is_leaving
                && member.data_centre == self.data_centre
                && member.is_alive(now)
        });
        let mut ranked: Vec<(f64, Ipv4Addr)> = peers
            .map(|(ip, member)| (allocator_score(shard, *ip, member.weight), *ip))
            .collect();
        if !self.is_leaving {
            ranked.push((allocator_score(shard, self.ip, self.weight), self.ip));
        }
        ranked.sort_by(|left, right| left.0.total_cmp(&right.0));
        ranked.truncate(count);
        ranked.into_iter().map(|(_, ip)| ip).collect()
    }

    /// Returns the number of live VMs in this data centre, including this one.
    pub fn local_vm_count(&self, now: Moment) -> usize {
        let alive = self
            .peers
            .values()
            .filter(|member| member.is_alive(now) && member.data_centre == self.data_centre);
        alive.count() + 1
    }

    /// Counts the VMs of this data centre; a peer is able if this VM heard from it within
    /// `max_silence` and it is not leaving.
    pub fn census(&self, max_silence: Duration, now: Moment) -> Census {
        let known = self.peers.values().filter(|member| {
            let window = if member.is_leaving {
                LEFT_CENSUS_WINDOW
            } else {
                CENSUS_WINDOW
            };
            member.data_centre == self.data_centre && now.since(member.last_seen_at) < window
        });
        let mut census = Census {
            known: 1,
            able: u32::from(!self.is_leaving),
        };
        for member in known {
            let is_able = !member.is_leaving && member.was_heard_within(max_silence, now);
            census.known += 1;
            census.able += u32::from(is_able);
        }
        census
    }

    /// Returns up to `max_count` peers of this data centre that count as alive although this VM
    /// has not heard from them within `max_silence`, those with the fewest unanswered heartbeats
    /// first.
    pub fn silent_vms(
        &self,
        max_silence: Duration,
        max_count: usize,
        now: Moment,
    ) -> Vec<Ipv4Addr> {
        let mut silent: Vec<(u32, Ipv4Addr)> = self
            .peers
            .iter()
            .filter(|(_, member)| {
                member.data_centre == self.data_centre
                    && member.is_alive(now)
                    && !member.was_heard_within(max_silence, now)
            })
            .map(|(ip, member)| (member.unanswered_heartbeats, *ip))
            .collect();
        silent.sort();
        silent.truncate(max_count);
        silent.into_iter().map(|(_, ip)| ip).collect()
    }

    /// Returns this VM's position in its data centre's order of hubs and readers; 0 is the
    /// first. A leaving VM ranks after all others.
    pub fn rank(&self, now: Moment) -> usize {
        if self.is_leaving {
            return self.local_vm_count(now);
        }
        let own_order = hub_order(self.ip, self.weight);
        let preceding = self.peers.iter().filter(|(ip, member)| {
            member.is_alive(now)
                && !member.is_leaving
                && member.data_centre == self.data_centre
                && hub_order(**ip, member.weight) < own_order
        });
        preceding.count()
    }

    /// Returns whether this VM is the first hub of its data centre.
    pub fn is_first_hub(&self, now: Moment) -> bool {
        !self.is_leaving && self.rank(now) == 0
    }

    /// Returns whether this VM's data centre is the primary one, whose readers read the store
    /// for all: the first by name of those that have a live VM that is not leaving.
    pub fn is_in_primary_data_centre(&self, now: Moment) -> bool {
        let mut data_centres = self.remote_data_centres().into_iter();
        data_centres.all(|data_centre| {
            *data_centre > *self.data_centre || self.hub_candidates(&data_centre, now).is_empty()
        })
    }

    /// Returns up to `count` peers of this data centre that serve as hubs, in hub order, and
    /// stand-ins for those that are suspected to be down.
    pub fn hubs(&self, count: usize, now: Moment) -> Vec<Ipv4Addr> {
        self.with_stand_ins(self.hub_candidates(&self.data_centre, now), count)
    }

    /// Returns the first hub of every remote data centre that has one, and stand-ins for those that
    /// are suspected to be down.
    pub fn remote_hubs(&self, now: Moment) -> Vec<Ipv4Addr> {
        let data_centres = self.remote_data_centres();
        let hubs = data_centres
            .iter()
            .flat_map(|data_centre| self.with_stand_ins(self.hub_candidates(data_centre, now), 1));
        hubs.collect()
    }

    /// Shortens a list of hub candidates to the first `count` and, for each suspected one, one
    /// more, up to [`MAX_STAND_INS`].
    fn with_stand_ins(&self, mut candidates: Vec<Ipv4Addr>, count: usize) -> Vec<Ipv4Addr> {
        let mut len = count;
        let mut index = 0;
        while index < len.min(candidates.len()) {
            let member = self.peers.get(&candidates[index]);
            let is_suspected =
                member.is_some_and(|it| it.unanswered_heartbeats >= SUSPECTED_AFTER_HEARTBEATS);
            if is_suspected && len < count + MAX_STAND_INS {
                len += 1;
            }
            index += 1;
        }
        candidates.truncate(len);
        candidates
    }

    /// Returns the peers that are down in this data centre and in remote data centres
    /// without a live hub candidate.
    pub fn down_vms(&self, now: Moment) -> Vec<Ipv4Addr> {
        let down = self.peers.iter().filter(|(_, member)| {
            !member.is_alive(now)
                && (member.data_centre == self.data_centre
                    || self.hub_candidates(&member.data_centre, now).is_empty())
        });
        down.map(|(ip, _)| *ip).collect()
    }

    /// Returns the members to advertise to a peer: all known peers of this data centre and
    /// up to `ADVERTISED_REMOTE_MEMBERS` of every remote one.
    pub fn member_list(&self, now: Moment) -> Vec<message::Member> {
        let mut advertised: Vec<Ipv4Addr> = self
            .peers
            .iter()
            .filter(|(_, member)| member.data_centre == self.data_centre)
            .map(|(ip, _)| *ip)
            .collect();
        for data_centre in self.remote_data_centres() {
            advertised.extend(
                self.hub_candidates(&data_centre, now)
                    .iter()
                    .take(ADVERTISED_REMOTE_MEMBERS),
            );
        }
        let messages = advertised.iter().filter_map(|ip| {
            let member = self.peers.get(ip)?;
            Some(message::Member {
                ip: (*ip).into(),
                incarnation: member.incarnation,
                data_centre: member.data_centre.to_string(),
                weight: member.weight,
                age_ms: now.since(member.last_seen_at).as_millis() as u32,
                is_leaving: member.is_leaving,
                is_allocator: member.is_allocator,
            })
        });
        messages.collect()
    }

    fn remote_data_centres(&self) -> Vec<Arc<str>> {
        let mut data_centres: Vec<Arc<str>> = self
            .peers
            .values()
            .map(|member| member.data_centre.clone())
            .filter(|data_centre| *data_centre != self.data_centre)
            .collect();
        data_centres.sort();
        data_centres.dedup();
        data_centres
    }

    /// Returns the peers of a data centre that are alive and not leaving, in hub order.
    fn hub_candidates(&self, data_centre: &str, now: Moment) -> Vec<Ipv4Addr> {
        let mut candidates: Vec<(Ipv4Addr, u32)> = self
            .peers
            .iter()
            .filter(|(_, member)| {
                member.is_alive(now) && !member.is_leaving && *member.data_centre == *data_centre
            })
            .map(|(ip, member)| (*ip, member.weight))
            .collect();
        candidates.sort_by_key(|(ip, weight)| hub_order(*ip, *weight));
        candidates.into_iter().map(|(ip, _)| ip).collect()
    }
}

/// Returns the score of a VM as the allocator of a shard; the lowest ranks first. A VM is the
/// allocator of shards in proportion to its capacity.
fn allocator_score(shard: u64, ip: Ipv4Addr, weight: u32) -> f64 {
    let hash = xxh3_64_with_seed(&ip.octets(), shard);
    // A uniform number above 0 and up to 1.
    let uniform = ((hash >> 11) + 1) as f64 / (1_u64 << 53) as f64;
    -uniform.ln() / f64::from(weight.max(1))
}

/// Returns the sort key of a VM in hub order: higher weights come first, and a hash of the
/// address breaks ties.
fn hub_order(ip: Ipv4Addr, weight: u32) -> (Reverse<u32>, u64) {
    (Reverse(weight), xxh3_64(&ip.octets()))
}
