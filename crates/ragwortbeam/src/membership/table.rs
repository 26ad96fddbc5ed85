//! The members known to this VM and the news about them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use metrics::counter;
use spdlog::{info, warn};
use tokio::sync::watch;

use super::recent::{Recent, ReservationPeers};
use super::rumours::Rumours;
use super::view::{Member, View};
use crate::clock;
use crate::document;
use crate::id;
use crate::message::{Health, Rumour};

/// Time for a suspect to refute before it counts as dead, milliseconds.
pub const SUSPECT_TIMEOUT_MS: u64 = 1200;

/// Time after the loss of one VM by which the others lost with it are missed too,
/// milliseconds: a round of probes, the suspicion and the spread of the news.
const LOSS_SETTLES_MS: u64 = 3000;

/// Members, joined from the platform's list and from rumours.
#[derive(Debug)]
pub struct Table {
    me: id::Vm,
    data_centre: String,
    incarnation: u64,
    inner: Mutex<Inner>,
    view: watch::Sender<Arc<View>>,
}

#[derive(Debug, Default)]
struct Inner {
    list_version: u64,
    list: document::VmList,
    members: HashMap<id::Vm, Arc<Member>>,
    /// When each suspect became one, monotonic milliseconds.
    suspected_at: HashMap<id::Vm, u64>,
    /// When each VM was last declared dead, monotonic milliseconds.
    lost_at: HashMap<id::Vm, u64>,
    rumours: Rumours,
    recent: Recent,
    my_revision: u32,
    /// True once this VM has heard of the others and may own flows.
    has_joined: bool,
    /// True once this VM stops.
    stopping: bool,
    /// True once it has handed over all it knew.
    has_left: bool,
    /// True while the platform lists this VM as leaving.
    listed_leaving: bool,
}

impl Table {
    /// Returns a table that knows only this VM.
    pub fn new(vm: &str, data_centre: &str, incarnation: u64) -> Self {
        let me = id::Vm::of(vm);
        let view = View::new(me, data_centre, HashMap::new(), false);
        Self {
            me,
            data_centre: data_centre.to_owned(),
            incarnation,
            inner: Mutex::default(),
            view: watch::Sender::new(Arc::new(view)),
        }
    }

    /// Returns the current view.
    pub fn view(&self) -> Arc<View> {
        self.view.borrow().clone()
    }

    /// Returns a receiver that sees every change of the view.
    pub fn watch(&self) -> watch::Receiver<Arc<View>> {
        self.view.subscribe()
    }

    /// Returns this process's incarnation.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns this process.
    pub fn process(&self) -> id::Process {
        id::Process {
            vm: self.me,
            incarnation: self.incarnation,
        }
    }

    /// Returns the VMs, other than this one, that may know of a flow's exchanges: the
    /// replica, and whoever was ranked highest in a recent view and still runs.
    ///
    /// `None` when an earlier owner and its replica are both lost.
    pub fn reservation_peers(&self, flow_hash: u64) -> Option<ReservationPeers> {
        let view = self.view();
        let inner = self.inner.lock().unwrap();
        let now_ms = clock::monotonic_ms();
        let mut peers = inner.recent.reservation_peers(&view, flow_hash, now_ms)?;
        if let Some(replica) = view.replica(flow_hash) {
            peers.add(replica);
        }
        Some(peers)
    }

    /// Returns whether one of these VMs was lost so recently that others may not have
    /// been missed yet, as when the network is cut.
    pub fn any_recently_lost(&self, vms: &[id::Vm]) -> bool {
        let inner = self.inner.lock().unwrap();
        let now_ms = clock::monotonic_ms();
        vms.iter()
            .filter_map(|vm| inner.lost_at.get(vm))
            .any(|at_ms| now_ms.saturating_sub(*at_ms) < LOSS_SETTLES_MS)
    }

    /// Returns whether this VM has been the owner of a flow for so long that no other
    /// can have served a request that the caller still retransmits.
    pub fn is_stable_owner(&self, flow_hash: u64) -> bool {
        let is_owner = self.view().owner(flow_hash) == self.me;
        let inner = self.inner.lock().unwrap();
        let now_ms = clock::monotonic_ms();
        is_owner && self.view().is_whole() && inner.recent.is_sole_owner(self.me, flow_hash, now_ms)
    }

    /// Returns whether this VM sees a majority of its data centre's listed VMs alive.
    ///
    /// Of two halves of equal size the one with the lowest VM id counts. A VM that the
    /// platform lists as leaving, or that says it leaves, counts for neither side.
    pub fn has_majority(&self) -> bool {
        self.view().has_majority()
    }

    /// Returns whether every listed VM of this data centre has given a sign of life.
    pub fn has_seen_all_members(&self) -> bool {
        let view = self.view();
        let mut neighbours = view
            .members
            .values()
            .filter(|member| member.data_centre == self.data_centre && !member.listed_leaving);
        neighbours.all(|member| member.incarnation != 0)
    }

    /// Lets this VM own flows and tells the others.
    pub fn join(&self) {
        let mut inner = self.inner.lock().unwrap();
        inner.has_joined = true;
        let rumour = self.my_rumour(&inner);
        inner.rumours.push(rumour);
        self.publish(&mut inner);
    }

    /// Returns the version of the VM list held.
    pub fn vm_list_version(&self) -> u64 {
        self.inner.lock().unwrap().list_version
    }

    /// Returns the VM list when it is newer than `version`.
    pub fn vm_list_since(&self, version: u64) -> Option<document::VmList> {
        let inner = self.inner.lock().unwrap();
        (inner.list_version > version).then(|| inner.list.clone())
    }

    /// Takes a list that is newer than the one held.
    ///
    /// An entry that does not parse is left out. What is known directly of a VM that
    /// stays listed under the same address is kept.
    pub fn apply_vm_list(&self, list: &document::VmList) {
        let mut inner = self.inner.lock().unwrap();
        if list.version <= inner.list_version {
            return;
        }
        inner.list_version = list.version;
        inner.list = list.clone();
        let mut members = HashMap::with_capacity(list.vms.len());
        for entry in &list.vms {
            let vm = id::Vm::of(&entry.name);
            if vm == self.me {
                inner.listed_leaving = entry.state == "leaving";
                continue;
            }
            let Ok(address) = entry.peer_address.parse::<SocketAddr>() else {
                warn!("event=vm_entry_malformed vm={}", entry.name);
                continue;
            };
            let known = inner.members.remove(&vm);
            let member = listed_member(entry, address, known.as_deref());
            members.insert(vm, Arc::new(member));
        }
        let gone: Vec<id::Vm> = inner.members.keys().copied().collect();
        for vm in gone {
            inner.rumours.forget(vm);
            inner.suspected_at.remove(&vm);
        }
        inner.members = members;
        self.publish(&mut inner);
    }

    /// Notes a frame that a VM sent itself, which proves that this incarnation lives.
    pub fn observe_incarnation(&self, vm: id::Vm, incarnation: u64) {
        let mut inner = self.inner.lock().unwrap();
        let Some(member) = inner.members.get_mut(&vm) else {
            return;
        };
        if incarnation <= member.incarnation {
            return;
        }
        let member = Arc::make_mut(member);
        member.incarnation = incarnation;
        member.revision = 0;
        member.health = Health::Joining;
        let rumour = rumour_of(vm, member);
        info!(
            "event=vm_joined vm={} incarnation={incarnation}",
            member.name
        );
        inner.suspected_at.remove(&vm);
        inner.rumours.push(rumour);
        self.publish(&mut inner);
    }

    /// Takes rumours from another VM.
    pub fn apply_rumours(&self, rumours: &[Rumour], now_ms: u64) {
        for rumour in rumours {
            if rumour.vm == self.me.0 {
                self.refute(rumour);
            } else {
                self.apply_rumour(rumour, now_ms);
            }
        }
    }

    /// Suspects a VM that did not answer a probe.
    pub fn suspect(&self, vm: id::Vm, now_ms: u64) {
        let rumour = {
            let inner = self.inner.lock().unwrap();
            match inner.members.get(&vm) {
                Some(member) if member.incarnation == 0 => return,
                Some(member) if member.health == Health::Alive => Rumour {
                    health: Health::Suspect.into(),
                    ..rumour_of(vm, member)
                },
                Some(member) if matches!(member.health, Health::Joining | Health::Leaving) => {
                    Rumour {
                        health: Health::Dead.into(),
                        ..rumour_of(vm, member)
                    }
                }
                _ => return,
            }
        };
        counter!("ragwortbeam_suspicions_total").increment(1);
        self.apply_rumour(&rumour, now_ms);
    }

    /// Declares suspects dead whose time to refute is over.
    pub fn expire_suspects(&self, now_ms: u64) {
        let expired: Vec<Rumour> = {
            let inner = self.inner.lock().unwrap();
            let overdue = inner
                .suspected_at
                .iter()
                .filter(|(_, since)| now_ms.saturating_sub(**since) >= SUSPECT_TIMEOUT_MS);
            overdue
                .filter_map(|(vm, _)| inner.members.get(vm).map(|member| rumour_of(*vm, member)))
                .collect()
        };
        for rumour in expired {
            let dead = Rumour {
                health: Health::Dead.into(),
                ..rumour
            };
            self.apply_rumour(&dead, now_ms);
        }
    }

    /// Restarts the time to refute of all suspects, after this process was paused.
    pub fn restart_suspicions(&self, now_ms: u64) {
        let mut inner = self.inner.lock().unwrap();
        for since in inner.suspected_at.values_mut() {
            *since = now_ms;
        }
    }

    /// Takes this VM out of ownership and tells the others.
    pub fn begin_leaving(&self) {
        let mut inner = self.inner.lock().unwrap();
        inner.stopping = true;
        inner.my_revision += 1;
        let rumour = self.my_rumour(&inner);
        inner.rumours.push(rumour);
        self.publish(&mut inner);
    }

    /// Notes that this VM has handed over all it knew, for the last frames it sends.
    pub fn finish_leaving(&self) {
        self.inner.lock().unwrap().has_left = true;
    }

    /// Returns whether this VM stops.
    pub fn is_stopping(&self) -> bool {
        self.inner.lock().unwrap().stopping
    }

    /// Takes rumours for one frame: about the receiver first, so that it can refute,
    /// about this VM, and then the least sent ones.
    pub fn rumours_for(&self, receiver: id::Vm) -> Vec<Rumour> {
        let mut inner = self.inner.lock().unwrap();
        let members = inner.members.len();
        let mut rumours = inner.rumours.take(members);
        if let Some(member) = inner.members.get(&receiver)
            && member.health != Health::Alive
        {
            rumours.insert(0, rumour_of(receiver, member));
        }
        rumours.push(self.my_rumour(&inner));
        rumours
    }

    fn apply_rumour(&self, rumour: &Rumour, now_ms: u64) {
        let mut inner = self.inner.lock().unwrap();
        let vm = id::Vm(rumour.vm);
        let Some(member) = inner.members.get_mut(&vm) else {
            return;
        };
        let news = (rumour.incarnation, rumour.revision, rumour.health());
        if news <= (member.incarnation, member.revision, member.health) {
            return;
        }
        let before = member.health;
        let member = Arc::make_mut(member);
        member.incarnation = rumour.incarnation;
        member.revision = rumour.revision;
        member.health = rumour.health();
        let name = member.name.clone();
        info!(
            "event=vm_health vm={name} before={} after={} incarnation={} revision={}",
            before.as_str_name(),
            rumour.health().as_str_name(),
            rumour.incarnation,
            rumour.revision
        );
        if rumour.health() == Health::Suspect {
            inner.suspected_at.entry(vm).or_insert(now_ms);
        } else {
            inner.suspected_at.remove(&vm);
        }
        if rumour.health() == Health::Left {
            inner.recent.note_left(id::Process {
                vm,
                incarnation: rumour.incarnation,
            });
        }
        if rumour.health() == Health::Dead {
            let now_ms = clock::monotonic_ms();
            inner
                .lost_at
                .retain(|_, at_ms| now_ms.saturating_sub(*at_ms) < LOSS_SETTLES_MS);
            inner.lost_at.insert(vm, now_ms);
            counter!("ragwortbeam_vms_declared_dead_total").increment(1);
        }
        inner.rumours.push(*rumour);
        self.publish(&mut inner);
    }

    /// Answers a rumour about this VM that is not true.
    fn refute(&self, rumour: &Rumour) {
        let mut inner = self.inner.lock().unwrap();
        let mine = self.my_rumour(&inner);
        let is_news = (rumour.incarnation, rumour.revision, rumour.health())
            > (mine.incarnation, mine.revision, mine.health());
        if !is_news || rumour.incarnation > self.incarnation {
            return;
        }
        inner.my_revision = rumour.revision + 1;
        let rumour = self.my_rumour(&inner);
        info!("event=suspicion_refuted revision={}", rumour.revision);
        counter!("ragwortbeam_suspicions_refuted_total").increment(1);
        inner.rumours.push(rumour);
    }

    fn my_rumour(&self, inner: &Inner) -> Rumour {
        let health = if inner.has_left {
            Health::Left
        } else if inner.stopping {
            Health::Leaving
        } else if inner.has_joined {
            Health::Alive
        } else {
            Health::Joining
        };
        Rumour {
            vm: self.me.0,
            incarnation: self.incarnation,
            revision: inner.my_revision,
            health: health.into(),
        }
    }

    fn publish(&self, inner: &mut Inner) {
        let may_own = inner.has_joined && !inner.stopping && !inner.listed_leaving;
        let members = inner.members.clone();
        let view = Arc::new(View::new(self.me, &self.data_centre, members, may_own));
        let before = self.view.send_replace(view.clone());
        // What a joining VM has heard so far is nobody's view; the last state counts.
        if inner.has_joined && before.owners != view.owners {
            inner.recent.push(before, clock::monotonic_ms());
        }
    }
}

fn listed_member(entry: &document::VmEntry, address: SocketAddr, known: Option<&Member>) -> Member {
    let fresh = Member {
        name: entry.name.clone(),
        address,
        data_centre: entry.data_centre.clone(),
        listed_leaving: entry.state == "leaving",
        incarnation: 0,
        revision: 0,
        health: Health::Joining,
    };
    match known {
        Some(known) if known.address == address => Member {
            incarnation: known.incarnation,
            revision: known.revision,
            health: known.health,
            ..fresh
        },
        _ => fresh,
    }
}

fn rumour_of(vm: id::Vm, member: &Member) -> Rumour {
    Rumour {
        vm: vm.0,
        incarnation: member.incarnation,
        revision: member.revision,
        health: member.health.into(),
    }
}
