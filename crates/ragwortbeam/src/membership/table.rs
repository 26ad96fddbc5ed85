//! Table of the members known to this VM, updated by the VM list and by rumours.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use metrics::counter;
use spdlog::{info, warn};
use tokio::sync::watch;

use super::rumours::Rumours;
use super::view::{Member, View};
use super::view_history::{ReservationPeers, ViewHistory};
use crate::clock;
use crate::document;
use crate::id;
use crate::message::{Health, Rumour};

/// Time after which a suspect that has not refuted the suspicion is declared dead,
/// milliseconds.
pub const SUSPECT_TIMEOUT_MS: u64 = 1200;

/// Time after the loss of one VM within which others lost with it are detected too,
/// milliseconds: a round of probes, the suspicion timeout and the spread of the rumours.
const LOSS_DETECTION_MS: u64 = 3000;

/// Members, combined from the platform's list and from rumours.
#[derive(Debug)]
pub struct Table {
    local_vm: id::Vm,
    data_centre: String,
    incarnation: u64,
    inner: Mutex<Inner>,
    view: watch::Sender<Arc<View>>,
}

#[derive(Debug, Default)]
struct Inner {
    vm_list_version: u64,
    vm_list: document::VmList,
    members: HashMap<id::Vm, Arc<Member>>,
    /// Monotonic time at which each suspect was first suspected, milliseconds.
    suspected_at_ms: HashMap<id::Vm, u64>,
    /// Monotonic time at which each VM was last declared dead, milliseconds.
    lost_at_ms: HashMap<id::Vm, u64>,
    rumours: Rumours,
    history: ViewHistory,
    own_revision: u32,
    /// True once this VM has contacted the others and may own flows.
    has_joined: bool,
    /// True once this VM has begun to leave.
    is_leaving: bool,
    /// True once this VM has handed over all its records.
    has_left: bool,
    /// True while the platform lists this VM as leaving.
    listed_leaving: bool,
}

impl Table {
    /// Returns a table without other members than this VM.
    pub fn new(vm: &str, data_centre: &str, incarnation: u64) -> Self {
        let local_vm = id::Vm::of(vm);
        let view = View::new(local_vm, data_centre, HashMap::new(), false);
        Self {
            local_vm,
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

    /// Returns a receiver that is notified of changes of the view.
    pub fn watch(&self) -> watch::Receiver<Arc<View>> {
        self.view.subscribe()
    }

    /// Returns the start time of this process, milliseconds since the Unix epoch.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the id of this process.
    pub fn process(&self) -> id::Process {
        id::Process {
            vm: self.local_vm,
            incarnation: self.incarnation,
        }
    }

    /// Returns the VMs, other than this one, that may know of a flow's exchanges: the replica,
    /// and the owners and replicas of recent views that still run.
    ///
    /// `None` when an earlier owner and its replica are both lost.
    pub fn reservation_peers(&self, flow_hash: u64) -> Option<ReservationPeers> {
        let view = self.view();
        let inner = self.inner.lock().unwrap();
        let now_ms = clock::monotonic_ms();
        let mut peers = inner.history.reservation_peers(&view, flow_hash, now_ms)?;
        if let Some(replica) = view.replica(flow_hash) {
            peers.add(replica);
        }
        Some(peers)
    }

    /// Returns whether one of these VMs was lost so recently that the loss of others may not
    /// have been detected yet, as after a network partition.
    pub fn any_recently_lost(&self, vms: &[id::Vm]) -> bool {
        let inner = self.inner.lock().unwrap();
        let now_ms = clock::monotonic_ms();
        vms.iter()
            .filter_map(|vm| inner.lost_at_ms.get(vm))
            .any(|at_ms| now_ms.saturating_sub(*at_ms) < LOSS_DETECTION_MS)
    }

    /// Returns whether this VM has owned a flow for so long that no other VM can have served a
    /// request that the caller still retransmits.
    pub fn is_stable_owner(&self, flow_hash: u64) -> bool {
        let is_owner = self.view().owner(flow_hash) == self.local_vm;
        let inner = self.inner.lock().unwrap();
        let now_ms = clock::monotonic_ms();
        is_owner
            && self.view().is_complete()
            && inner
                .history
                .is_sole_owner(self.local_vm, flow_hash, now_ms)
    }

    /// Returns whether this VM sees a majority of its data centre's listed VMs alive.
    ///
    /// Of two halves of equal size, the one with the lowest VM id has the majority. A VM that
    /// the platform lists as leaving, or that announces that it leaves, is counted on neither
    /// side.
    pub fn has_majority(&self) -> bool {
        self.view().has_majority()
    }

    /// Returns whether the incarnation of every live listed VM of this data centre is known.
    pub fn has_seen_all_members(&self) -> bool {
        let view = self.view();
        let mut listed = view
            .members
            .values()
            .filter(|member| member.data_centre == self.data_centre && !member.listed_leaving);
        listed.all(|member| member.incarnation != 0)
    }

    /// Adds this VM to the owners and queues a rumour that it is alive.
    pub fn join(&self) {
        let mut inner = self.inner.lock().unwrap();
        inner.has_joined = true;
        let rumour = self.own_rumour(&inner);
        inner.rumours.push(rumour);
        self.publish(&mut inner);
    }

    /// Returns the version of the current VM list; 0 when there is none.
    pub fn vm_list_version(&self) -> u64 {
        self.inner.lock().unwrap().vm_list_version
    }

    /// Returns the current VM list if it is newer than `version`.
    pub fn vm_list_since(&self, version: u64) -> Option<document::VmList> {
        let inner = self.inner.lock().unwrap();
        (inner.vm_list_version > version).then(|| inner.vm_list.clone())
    }

    /// Applies a VM list if it is newer than the current one.
    ///
    /// An entry whose address does not parse is left out. The incarnation, revision and health
    /// of a VM that stays listed under the same address are kept.
    pub fn apply_vm_list(&self, list: &document::VmList) {
        let mut inner = self.inner.lock().unwrap();
        if list.version <= inner.vm_list_version {
            return;
        }
        inner.vm_list_version = list.version;
        inner.vm_list = list.clone();
        let mut members = HashMap::with_capacity(list.vms.len());
        for entry in &list.vms {
            let vm = id::Vm::of(&entry.name);
            if vm == self.local_vm {
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
        let removed: Vec<id::Vm> = inner.members.keys().copied().collect();
        for vm in removed {
            inner.rumours.remove(vm);
            inner.suspected_at_ms.remove(&vm);
        }
        inner.members = members;
        self.publish(&mut inner);
    }

    /// Records the incarnation of a frame's sender; the frame proves that this process runs.
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
            "event=vm_incarnation_observed vm={} incarnation={incarnation}",
            member.name
        );
        inner.suspected_at_ms.remove(&vm);
        inner.rumours.push(rumour);
        self.publish(&mut inner);
    }

    /// Applies rumours from another VM.
    pub fn apply_rumours(&self, rumours: &[Rumour], now_ms: u64) {
        for rumour in rumours {
            if rumour.vm == self.local_vm.0 {
                self.refute(rumour);
            } else {
                self.apply_rumour(rumour, now_ms);
            }
        }
    }

    /// Suspects a VM that did not answer a probe; a joining or leaving one is declared dead at
    /// once.
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

    /// Declares suspects dead whose suspicion timeout has expired.
    pub fn expire_suspects(&self, now_ms: u64) {
        let expired: Vec<Rumour> = {
            let inner = self.inner.lock().unwrap();
            let overdue = inner
                .suspected_at_ms
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

    /// Restarts the suspicion timeouts of all suspects, after this process was paused.
    pub fn restart_suspicion_timeouts(&self, now_ms: u64) {
        let mut inner = self.inner.lock().unwrap();
        for since in inner.suspected_at_ms.values_mut() {
            *since = now_ms;
        }
    }

    /// Removes this VM from the owners and queues a rumour that it is leaving.
    pub fn begin_leaving(&self) {
        let mut inner = self.inner.lock().unwrap();
        inner.is_leaving = true;
        inner.own_revision += 1;
        let rumour = self.own_rumour(&inner);
        inner.rumours.push(rumour);
        self.publish(&mut inner);
    }

    /// Records that this VM has handed over all its records; its rumours then say that it has
    /// left.
    pub fn finish_leaving(&self) {
        self.inner.lock().unwrap().has_left = true;
    }

    /// Returns whether this VM has begun to leave.
    pub fn is_stopping(&self) -> bool {
        self.inner.lock().unwrap().is_leaving
    }

    /// Returns the rumours for one frame: one about the receiver unless it is alive, so that it
    /// can refute it, then the least often sent ones and one about this VM.
    pub fn rumours_for(&self, receiver: id::Vm) -> Vec<Rumour> {
        let mut inner = self.inner.lock().unwrap();
        let member_count = inner.members.len();
        let mut rumours = inner.rumours.take(member_count);
        if let Some(member) = inner.members.get(&receiver)
            && member.health != Health::Alive
        {
            rumours.insert(0, rumour_of(receiver, member));
        }
        rumours.push(self.own_rumour(&inner));
        rumours
    }

    fn apply_rumour(&self, rumour: &Rumour, now_ms: u64) {
        let mut inner = self.inner.lock().unwrap();
        let vm = id::Vm(rumour.vm);
        let Some(member) = inner.members.get_mut(&vm) else {
            return;
        };
        let received = (rumour.incarnation, rumour.revision, rumour.health());
        if received <= (member.incarnation, member.revision, member.health) {
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
            inner.suspected_at_ms.entry(vm).or_insert(now_ms);
        } else {
            inner.suspected_at_ms.remove(&vm);
        }
        if rumour.health() == Health::Left {
            inner.history.record_departure(id::Process {
                vm,
                incarnation: rumour.incarnation,
            });
        }
        if rumour.health() == Health::Dead {
            let now_ms = clock::monotonic_ms();
            inner
                .lost_at_ms
                .retain(|_, at_ms| now_ms.saturating_sub(*at_ms) < LOSS_DETECTION_MS);
            inner.lost_at_ms.insert(vm, now_ms);
            counter!("ragwortbeam_vms_declared_dead_total").increment(1);
        }
        inner.rumours.push(*rumour);
        self.publish(&mut inner);
    }

    /// Refutes a rumour about this VM that is newer than its own state, by a higher revision.
    fn refute(&self, rumour: &Rumour) {
        let mut inner = self.inner.lock().unwrap();
        let own = self.own_rumour(&inner);
        let is_newer = (rumour.incarnation, rumour.revision, rumour.health())
            > (own.incarnation, own.revision, own.health());
        if !is_newer || rumour.incarnation > self.incarnation {
            return;
        }
        inner.own_revision = rumour.revision + 1;
        let rumour = self.own_rumour(&inner);
        info!("event=suspicion_refuted revision={}", rumour.revision);
        counter!("ragwortbeam_suspicions_refuted_total").increment(1);
        inner.rumours.push(rumour);
    }

    fn own_rumour(&self, inner: &Inner) -> Rumour {
        let health = if inner.has_left {
            Health::Left
        } else if inner.is_leaving {
            Health::Leaving
        } else if inner.has_joined {
            Health::Alive
        } else {
            Health::Joining
        };
        Rumour {
            vm: self.local_vm.0,
            incarnation: self.incarnation,
            revision: inner.own_revision,
            health: health.into(),
        }
    }

    fn publish(&self, inner: &mut Inner) {
        let may_own = inner.has_joined && !inner.is_leaving && !inner.listed_leaving;
        let members = inner.members.clone();
        let view = Arc::new(View::new(
            self.local_vm,
            &self.data_centre,
            members,
            may_own,
        ));
        let before = self.view.send_replace(view.clone());
        // No VM acts by the partial views of a joining VM; only the last one before it joined
        // is kept.
        if inner.has_joined && before.owners != view.owners {
            inner.history.push(before, clock::monotonic_ms());
        }
    }
}

fn listed_member(entry: &document::VmEntry, address: SocketAddr, known: Option<&Member>) -> Member {
    let listed = Member {
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
            ..listed
        },
        _ => listed,
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
