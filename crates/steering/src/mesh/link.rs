//! Datagrams between VMs: heartbeats, load digests and catalog changes.

use std::net::{Ipv4Addr, SocketAddr};

use metrics::counter;
use prost::Message;
use spdlog::{info, warn};
use tokio::net::UdpSocket;
use tokio::sync::mpsc::UnboundedSender;

use super::heartbeat::{HUBS_PER_VM, HeartbeatOptions, HeartbeatPacing};
use super::placement::ReceivedAnswer;
use super::pull::Pulls;
use super::rotation::Rotation;
use super::{LoadAggregate, MembershipTable};
use crate::catalog::Revision;
use crate::load::{EndpointLoads, Loads};
use crate::message::{self, Digest, Frame, frame};
use crate::placement::Allocator;
use crate::prelude::*;
use crate::settings::Settings;
use crate::subset::SubsetCache;

/// Largest datagram between VMs, bytes; about the limit of UDP over IPv4.
const MAX_FRAME_BYTES: usize = 65_000;

/// Largest encoded set of catalog changes that is pushed, bytes. It fits into one packet on the
/// wire; larger sets are pulled by the receiver.
const MAX_PUSHED_CHANGES_BYTES: usize = 1200;

/// Exchange of heartbeats, load digests and catalog changes between this VM and its peers.
pub struct PeerLink {
    pub(super) socket: UdpSocket,
    pub(super) port: u16,
    /// Membership table of this VM.
    pub members: Arc<Mutex<MembershipTable>>,
    /// Addresses of the seed VMs from the settings, replaced when the settings are reloaded.
    pub seeds: Mutex<Vec<Ipv4Addr>>,
    pub(super) catalog: Arc<Mutex<Catalog>>,
    pub(super) endpoint_loads: Arc<Mutex<EndpointLoads>>,
    pub(super) aggregate: Mutex<LoadAggregate>,
    /// Cached endpoint subsets of this VM and of the VMs that report to it.
    pub subsets: Arc<Mutex<SubsetCache>>,
    /// Last load report that this VM sent in full; partial reports are relative to it.
    pub(super) last_full_report: Mutex<Loads>,
    pub(super) pacing: Mutex<HeartbeatPacing>,
    pub(super) rotation: Mutex<Rotation>,
    pub(super) pulls: Mutex<Pulls>,
    /// Allocator of this VM.
    pub allocator: Arc<Mutex<Allocator>>,
    /// Receives the answers to this VM's claims; `None` until it is set.
    pub(super) answers: Mutex<Option<UnboundedSender<ReceivedAnswer>>>,
}

impl PeerLink {
    /// Creates the link on a UDP socket bound to the peer address.
    pub fn new(
        settings: &Settings,
        socket: UdpSocket,
        members: Arc<Mutex<MembershipTable>>,
        catalog: Arc<Mutex<Catalog>>,
        endpoint_loads: Arc<Mutex<EndpointLoads>>,
    ) -> Self {
        Self {
            socket,
            port: settings.peer_address.port(),
            members,
            seeds: Mutex::new(settings.seeds.clone()),
            catalog,
            endpoint_loads,
            aggregate: Mutex::default(),
            subsets: Arc::default(),
            last_full_report: Mutex::default(),
            pacing: Mutex::default(),
            rotation: Mutex::default(),
            pulls: Mutex::default(),
            allocator: Arc::new(Mutex::new(Allocator::new(
                &settings.data_centre,
                settings.warmup_limit,
            ))),
            answers: Mutex::default(),
        }
    }

    /// Pushes all catalog changes after `revision` to the VMs that report to this one and to
    /// its hubs; a hub also pushes them to the hubs of remote data centres. Changes that exceed
    /// `MAX_PUSHED_CHANGES_BYTES` are left out of the frame, and the receiver pulls them.
    pub fn push_changes(&self, revision: Revision) {
        let now = Moment::now();
        let (changes, revision) = {
            let catalog = self.catalog.lock().unwrap();
            let revision = base_revision(&catalog, revision);
            let version = catalog.configuration().version;
            (catalog.changed_after(revision, version, now), revision)
        };
        let is_pushable = changes.encoded_len() <= MAX_PUSHED_CHANGES_BYTES;
        let body = frame::Body::Digest(Digest {
            changes: is_pushable.then_some(changes),
            changed_after: revision.number,
            changed_after_era: revision.era,
            ..Digest::default()
        });
        let mut receivers = self.aggregate.lock().unwrap().reporting_vms(now);
        {
            let members = self.members.lock().unwrap();
            receivers.extend(members.hubs(HUBS_PER_VM, now));
            if members.rank(now) < HUBS_PER_VM {
                receivers.extend(members.remote_hubs(now));
            }
        }
        receivers.sort();
        receivers.dedup();
        let frame = self.build_frame(body, now);
        for receiver in receivers {
            self.send(receiver, &frame);
        }
    }

    /// Announces to the hubs of this and of remote data centres that this VM's catalog is current.
    /// Their catalogs would otherwise age, as they do not read the store themselves.
    pub fn announce_current_catalog(&self) {
        let now = Moment::now();
        let hubs = {
            let members = self.members.lock().unwrap();
            let mut hubs = members.hubs(HUBS_PER_VM, now);
            hubs.extend(members.remote_hubs(now));
            hubs
        };
        let frame = self.build_frame(frame::Body::Digest(Digest::default()), now);
        for hub in hubs {
            self.send(hub, &frame);
        }
    }

    /// Marks this VM as leaving and announces that to its hubs.
    pub fn leave(&self) {
        let now = Moment::now();
        let hubs = {
            let mut members = self.members.lock().unwrap();
            members.leave();
            members.hubs(HUBS_PER_VM, now)
        };
        self.send_heartbeat(&hubs, HeartbeatOptions::default(), now);
        self.stop_allocating(now);
    }

    /// Returns the answer to a peer that pulls the catalog, whose own one includes all changes up to
    /// `revision` and a configuration of `version`.
    pub fn answer_pull(&self, revision: Revision, version: u64) -> Frame {
        let now = Moment::now();
        let (changes, changed_after) = {
            let catalog = self.catalog.lock().unwrap();
            let revision = base_revision(&catalog, revision);
            (catalog.changed_after(revision, version, now), revision)
        };
        let members = self.members.lock().unwrap().member_list(now);
        let digest = Digest {
            members,
            changes: Some(changes),
            changed_after: changed_after.number,
            changed_after_era: changed_after.era,
            ..Digest::default()
        };
        self.build_frame(frame::Body::Digest(digest), now)
    }

    /// Returns a frame with this VM as its sender and the revision and age of this VM's catalog.
    pub(super) fn build_frame(&self, body: frame::Body, now: Moment) -> Frame {
        // Holds one lock at a time: other code takes the catalog's lock before the members' lock.
        let sender = self.members.lock().unwrap().own_member();
        let view = self.catalog.lock().unwrap().view(now);
        Frame {
            sender: Some(sender),
            view: Some(view),
            body: Some(body),
            data_centre: self.own_state(),
        }
    }

    /// Sends a frame to a peer. A failure is counted and logged; the frame is not resent.
    pub(super) fn send(&self, ip: Ipv4Addr, frame: &Frame) {
        let address = SocketAddr::from((ip, self.port));
        let datagram = frame.encode_to_vec();
        counter!("ragwortbeam_peer_bytes_total", "direction" => "sent")
            .increment(datagram.len() as u64);
        if let Err(error) = self.socket.try_send_to(&datagram, address) {
            counter!("ragwortbeam_peer_send_failures_total").increment(1);
            warn!("event=peer_send_failed to={address} error=\"{error}\"");
        }
    }

    /// Handles a frame from a peer. A frame without a sender is ignored.
    pub(super) fn handle_frame(self: &Arc<Self>, frame: Frame, now: Moment) {
        let Some(sender) = frame.sender else {
            return;
        };
        let ip = Ipv4Addr::from(sender.ip);
        let is_local = {
            let mut members = self.members.lock().unwrap();
            members.record_direct_contact(&sender, now);
            *sender.data_centre == **members.data_centre()
        };
        if let Some(state) = &frame.data_centre {
            self.record_state(&sender.data_centre, state, now);
        }
        let mut changes = None;
        match frame.body {
            Some(frame::Body::Beat(beat)) => self.answer_heartbeat(ip, is_local, beat, now),
            Some(frame::Body::Digest(mut digest)) => {
                let received = digest.changes.take();
                let changed_after = Revision::new(digest.changed_after_era, digest.changed_after);
                changes = received.map(|changes| (changes, changed_after));
                self.apply_digest(ip, is_local, &sender.data_centre, &digest, now);
            }
            Some(frame::Body::Placement(placement)) => self.handle_placement(ip, &placement, now),
            None => {}
        }
        if let Some(view) = frame.view {
            self.apply_view(ip, &view, changes, now);
        }
    }

    /// Merges a peer's changes if they bring this catalog up to the peer's revision, and
    /// derives from the peer's view how current this catalog is. New changes are pushed on;
    /// if the peer's catalog is still newer, it is pulled.
    fn apply_view(
        self: &Arc<Self>,
        ip: Ipv4Addr,
        view: &message::View,
        changes: Option<(message::Catalog, Revision)>,
        now: Moment,
    ) {
        let view_revision = Revision::new(view.era, view.revision);
        let view_evacuations = Revision::new(view.evacuations_era, view.evacuations_revision);
        let known_at = now.before(Duration::from_millis(view.age_ms.into()));
        let mut has_configuration = false;
        let mut has_news = false;
        let previous_revision = {
            let mut catalog = self.catalog.lock().unwrap();
            let previous_revision = catalog.revision();
            if let Some((changes, _)) = &changes {
                has_news = catalog.merge_evacuations(changes, view_evacuations, now);
                has_configuration = catalog.merge_configuration(changes);
                has_news |= has_configuration;
            }
            if let Some((changes, changed_after)) = changes
                && changed_after <= previous_revision
                && view_revision > previous_revision
            {
                let is_whole = !changed_after.is_some();
                let merge = catalog.merge(&changes, view_revision, is_whole, now);
                info!(
                    "event=catalog_merged from={ip} after={} revision={} age_ms={} endpoints={} configuration={has_configuration} era={}",
                    changed_after.number, view.revision, view.age_ms, merge.endpoints, view.era
                );
                catalog.advance(view_revision, known_at);
            }
            if view_revision <= catalog.revision() {
                catalog.confirm(known_at);
            }
            previous_revision
        };
        let (current_revision, is_behind) = {
            let catalog = self.catalog.lock().unwrap();
            let is_behind = view_revision > catalog.revision()
                || view_evacuations > catalog.evacuations().complete_to()
                || view.configuration_version > catalog.configuration().version;
            (catalog.revision(), is_behind)
        };
        if current_revision > previous_revision || has_news {
            self.push_changes(previous_revision);
        } else if is_behind {
            self.start_pull(ip, now);
        }
    }
}

/// Returns the revision after which a peer whose catalog is complete up to `revision` gets changes:
/// none, for the whole catalog, if the store was restored since or an endpoint that changed after
/// `revision` has been dropped here.
fn base_revision(catalog: &Catalog, revision: Revision) -> Revision {
    let is_of_earlier_era = revision.era < catalog.revision().era;
    if is_of_earlier_era || revision < catalog.dropped_revision() {
        Revision::NONE
    } else {
        revision
    }
}

/// Receives and handles frames until the process ends.
pub async fn receive_frames(link: Arc<PeerLink>) {
    let mut datagram = vec![0; MAX_FRAME_BYTES];
    loop {
        let len = match link.socket.recv_from(&mut datagram).await {
            Ok((len, _)) => len,
            Err(error) => {
                // The kernel also reports a closed port of a peer here. That peer is detected as
                // down by its unanswered heartbeats.
                counter!("ragwortbeam_peer_receive_failures_total").increment(1);
                info!("event=peer_receive_failed error=\"{error}\"");
                continue;
            }
        };
        counter!("ragwortbeam_peer_bytes_total", "direction" => "received").increment(len as u64);
        match Frame::decode(&datagram[..len]) {
            Ok(frame) => {
                if let Some(frame::Body::Digest(Digest { loads: Some(_), .. })) = &frame.body {
                    link.pacing.lock().unwrap().record_digest_len(len);
                }
                link.handle_frame(frame, Moment::now());
            }
            Err(error) => {
                counter!("ragwortbeam_peer_malformed_total").increment(1);
                info!("event=peer_frame_malformed len={len} error=\"{error}\"");
            }
        }
    }
}
