//! Which VMs are alive, and in which order they serve as hubs and readers.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::net::Ipv4Addr;

use spdlog::info;
use xxhash_rust::xxh3::xxh3_64;

use crate::message;
use crate::prelude::*;

/// Heartbeats without an answer after which a VM counts as down here: 0.3 s, many round
/// trips.
const MAX_UNANSWERED: u32 = 6;

/// Age of the last sign of life, direct or told by others, above which a VM counts as
/// down: member lists are two seconds apart.
const ALIVE_WINDOW: Duration = Duration::from_secs(4);

/// Time after which a VM that is down is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(600);

/// Members of another data centre that are passed on: its first hubs.
const FOREIGN_MEMBERS: usize = 4;

/// Another VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Random number drawn at its process's start.
    pub incarnation: u64,
    /// Data centre it stands in.
    pub data_centre: Arc<str>,
    /// Relative size.
    pub weight: u32,
    /// True when it stops.
    pub is_leaving: bool,
    /// Last sign of life, direct or told by others.
    pub heard_at: Moment,
    /// Heartbeats sent since its last direct sign of life.
    unanswered: u32,
}

impl Member {
    fn is_alive(&self, now: Moment) -> bool {
        self.unanswered < MAX_UNANSWERED && now.since(self.heard_at) < ALIVE_WINDOW
    }
}

/// This VM and the others that it knows.
#[derive(Debug)]
pub struct MembershipTable {
    ip: Ipv4Addr,
    incarnation: u64,
    data_centre: Arc<str>,
    weight: u32,
    is_leaving: bool,
    others: HashMap<Ipv4Addr, Member>,
}

impl MembershipTable {
    /// Returns a table that knows this VM only.
    pub fn new(ip: Ipv4Addr, incarnation: u64, data_centre: &str, weight: u32) -> Self {
        Self {
            ip,
            incarnation,
            data_centre: data_centre.into(),
            weight,
            is_leaving: false,
            others: HashMap::new(),
        }
    }

    /// Returns this VM's address.
    pub fn ip(&self) -> Ipv4Addr {
        self.ip
    }

    /// Returns this VM's data centre.
    pub fn data_centre(&self) -> &Arc<str> {
        &self.data_centre
    }

    /// Marks this VM as stopping; it serves as hub and reader no longer.
    pub fn leave(&mut self) {
        self.is_leaving = true;
    }

    /// Returns this VM as a message.
    pub fn me(&self) -> message::Member {
        message::Member {
            ip: self.ip.into(),
            incarnation: self.incarnation,
            data_centre: self.data_centre.to_string(),
            weight: self.weight,
            age_ms: 0,
            is_leaving: self.is_leaving,
        }
    }

    /// Takes a sign of life that came from the VM itself.
    pub fn heard(&mut self, member: &message::Member, now: Moment) {
        self.take(member, now);
        if let Some(held) = self.others.get_mut(&Ipv4Addr::from(member.ip)) {
            if held.unanswered >= MAX_UNANSWERED {
                info!(
                    "event=vm_regained ip={} data_centre={}",
                    Ipv4Addr::from(member.ip),
                    held.data_centre
                );
            }
            held.unanswered = 0;
        }
    }

    /// Takes a member, from itself or as another VM knows it.
    pub fn take(&mut self, member: &message::Member, now: Moment) {
        let ip = Ipv4Addr::from(member.ip);
        if ip == self.ip {
            return;
        }
        let heard_at = now.before(Duration::from_millis(member.age_ms.into()));
        let taken = Member {
            incarnation: member.incarnation,
            data_centre: member.data_centre.as_str().into(),
            weight: member.weight,
            is_leaving: member.is_leaving,
            heard_at,
            unanswered: 0,
        };
        match self.others.get_mut(&ip) {
            Some(held) if held.heard_at >= heard_at => {}
            Some(held) => {
                let unanswered = held.unanswered;
                *held = Member {
                    unanswered,
                    ..taken
                };
            }
            None => {
                info!(
                    "event=vm_found ip={ip} data_centre={} weight={} age_ms={}",
                    taken.data_centre, taken.weight, member.age_ms
                );
                self.others.insert(ip, taken);
            }
        }
    }

    /// Notes a heartbeat sent to a VM.
    pub fn note_sent(&mut self, ip: Ipv4Addr) {
        let Some(member) = self.others.get_mut(&ip) else {
            return;
        };
        member.unanswered = member.unanswered.saturating_add(1);
        if member.unanswered == MAX_UNANSWERED {
            info!("event=vm_lost ip={ip} data_centre={}", member.data_centre);
        }
    }

    /// Forgets VMs that have been down for long.
    pub fn forget(&mut self, now: Moment) {
        self.others
            .retain(|_, member| now.since(member.heard_at) < FORGET_AFTER);
    }

    /// Returns whether another VM is alive.
    pub fn has_live_peer(&self, now: Moment) -> bool {
        self.others.values().any(|member| member.is_alive(now))
    }

    /// Returns the number of VMs alive in this data centre, this one included.
    pub fn local_vm_count(&self, now: Moment) -> usize {
        let alive = self
            .others
            .values()
            .filter(|member| member.is_alive(now) && member.data_centre == self.data_centre);
        alive.count() + 1
    }

    /// Returns this VM's place in the order of readers of its data centre.
    pub fn rank(&self, now: Moment) -> usize {
        if self.is_leaving {
            return self.local_vm_count(now);
        }
        let mine = order(self.ip, self.weight);
        let before = self.others.iter().filter(|(ip, member)| {
            member.is_alive(now)
                && !member.is_leaving
                && member.data_centre == self.data_centre
                && order(**ip, member.weight) < mine
        });
        before.count()
    }

    /// Returns whether this VM's data centre is the first of those that are alive, whose
    /// readers read for all.
    pub fn is_in_primary_data_centre(&self, now: Moment) -> bool {
        let mut zones = self.foreign_data_centres().into_iter();
        zones.all(|zone| *zone > *self.data_centre || self.ranked(&zone, now).is_empty())
    }

    /// Returns the first `count` other VMs of this data centre that may serve as hubs.
    pub fn hubs(&self, count: usize, now: Moment) -> Vec<Ipv4Addr> {
        let mut hubs = self.ranked(&self.data_centre, now);
        hubs.truncate(count);
        hubs
    }

    /// Returns the first hub of every other data centre.
    pub fn foreign_hubs(&self, now: Moment) -> Vec<Ipv4Addr> {
        let zones = self.foreign_data_centres();
        let hubs = zones
            .iter()
            .filter_map(|zone| self.ranked(zone, now).first().copied());
        hubs.collect()
    }

    /// Returns VMs that are down: those of this data centre, and those of data centres
    /// that have none alive.
    pub fn lost(&self, now: Moment) -> Vec<Ipv4Addr> {
        let lost = self.others.iter().filter(|(_, member)| {
            !member.is_alive(now)
                && (member.data_centre == self.data_centre
                    || self.ranked(&member.data_centre, now).is_empty())
        });
        lost.map(|(ip, _)| *ip).collect()
    }

    /// Returns the members to tell another VM: those of this data centre and the first of
    /// every other.
    pub fn messages(&self, now: Moment) -> Vec<message::Member> {
        let mut told: Vec<Ipv4Addr> = self
            .others
            .iter()
            .filter(|(_, member)| member.data_centre == self.data_centre)
            .map(|(ip, _)| *ip)
            .collect();
        for zone in self.foreign_data_centres() {
            told.extend(self.ranked(&zone, now).iter().take(FOREIGN_MEMBERS));
        }
        let messages = told.iter().filter_map(|ip| {
            let member = self.others.get(ip)?;
            Some(message::Member {
                ip: (*ip).into(),
                incarnation: member.incarnation,
                data_centre: member.data_centre.to_string(),
                weight: member.weight,
                age_ms: now.since(member.heard_at).as_millis() as u32,
                is_leaving: member.is_leaving,
            })
        });
        messages.collect()
    }

    fn foreign_data_centres(&self) -> Vec<Arc<str>> {
        let mut zones: Vec<Arc<str>> = self
            .others
            .values()
            .map(|member| member.data_centre.clone())
            .filter(|zone| *zone != self.data_centre)
            .collect();
        zones.sort();
        zones.dedup();
        zones
    }

    /// Returns the other VMs of a data centre that are alive and stay, in order.
    fn ranked(&self, data_centre: &str, now: Moment) -> Vec<Ipv4Addr> {
        let mut ranked: Vec<(Ipv4Addr, u32)> = self
            .others
            .iter()
            .filter(|(_, member)| {
                member.is_alive(now) && !member.is_leaving && *member.data_centre == *data_centre
            })
            .map(|(ip, member)| (*ip, member.weight))
            .collect();
        ranked.sort_by_key(|(ip, weight)| order(*ip, *weight));
        ranked.into_iter().map(|(ip, _)| ip).collect()
    }
}

/// Larger VMs come first; a hash decides between equals.
fn order(ip: Ipv4Addr, weight: u32) -> (Reverse<u32>, u64) {
    (Reverse(weight), xxh3_64(&ip.octets()))
}
