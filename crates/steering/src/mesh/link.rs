//! Datagrams between VMs: heartbeats, digests and news of the catalog.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::AtomicBool;

use metrics::counter;
use prost::Message;
use spdlog::{info, warn};
use tokio::net::UdpSocket;

use super::beat::{Asks, HUBS, Pace};
use super::{Sums, Table};
use crate::load::{EndpointLoads, Loads};
use crate::message::{self, Digest, Frame, frame};
use crate::prelude::*;
use crate::settings::Settings;
use crate::subset::SubsetCache;

/// Largest datagram between VMs, bytes: what UDP carries.
const MAX_FRAME_LEN: usize = 65_000;

/// Changes above this size are pulled by the receiver, bytes: one packet on the wire.
const MAX_PUSH_LEN: usize = 1200;

/// One VM's side of the mesh.
pub struct Link {
    pub(super) socket: UdpSocket,
    pub(super) port: u16,
    /// Members.
    pub members: Arc<Mutex<Table>>,
    /// Seeds, replaced when the settings change.
    pub seeds: Mutex<Vec<Ipv4Addr>>,
    pub(super) catalog: Arc<Mutex<Catalog>>,
    pub(super) board: Arc<Mutex<EndpointLoads>>,
    pub(super) sums: Mutex<Sums>,
    /// Subsets of this VM and of those that report to it.
    pub subsets: Arc<Mutex<SubsetCache>>,
    /// Last whole report of this VM.
    pub(super) reported: Mutex<Loads>,
    pub(super) pace: Mutex<Pace>,
    pub(super) is_pulling: AtomicBool,
}

impl Link {
    /// Returns the link of a VM on a bound socket.
    pub fn new(
        settings: &Settings,
        socket: UdpSocket,
        members: Arc<Mutex<Table>>,
        catalog: Arc<Mutex<Catalog>>,
        board: Arc<Mutex<EndpointLoads>>,
    ) -> Self {
        Self {
            socket,
            port: settings.peer_address.port(),
            members,
            seeds: Mutex::new(settings.seeds.clone()),
            catalog,
            board,
            sums: Mutex::default(),
            subsets: Arc::default(),
            reported: Mutex::default(),
            pace: Mutex::default(),
            is_pulling: AtomicBool::new(false),
        }
    }

    /// Tells the VMs that depend on this one of everything that changed after `revision`:
    /// those that report to it, its hubs and the hubs of other data centres.
    pub fn spread(&self, revision: u64) {
        let now = Moment::now();
        let changes = self.catalog.lock().unwrap().changed_after(revision, now);
        let fits = changes.encoded_len() <= MAX_PUSH_LEN;
        let body = frame::Body::Digest(Digest {
            changes: fits.then_some(changes),
            changed_after: revision,
            ..Digest::default()
        });
        let mut receivers = self.sums.lock().unwrap().reporters(now);
        {
            let members = self.members.lock().unwrap();
            receivers.extend(members.hubs(HUBS, now));
            if members.rank(now) < HUBS {
                receivers.extend(members.foreign_hubs(now));
            }
        }
        receivers.sort();
        receivers.dedup();
        let frame = self.frame(body, now);
        for receiver in receivers {
            self.send(receiver, &frame);
        }
    }

    /// Tells other hubs that this VM's catalog is current, as their data centres do not read
    /// for themselves.
    pub fn confirm(&self) {
        let now = Moment::now();
        let hubs = {
            let members = self.members.lock().unwrap();
            let mut hubs = members.hubs(HUBS, now);
            hubs.extend(members.foreign_hubs(now));
            hubs
        };
        let frame = self.frame(frame::Body::Digest(Digest::default()), now);
        for hub in hubs {
            self.send(hub, &frame);
        }
    }

    /// Tells hubs that this VM stops.
    pub fn leave(&self) {
        let now = Moment::now();
        let hubs = {
            let mut members = self.members.lock().unwrap();
            members.leave();
            members.hubs(HUBS, now)
        };
        self.send_beat(&hubs, Asks::default(), now);
    }

    /// Answers a reading by another VM whose catalog includes `revision`.
    pub fn answer_pull(&self, revision: u64) -> Frame {
        let now = Moment::now();
        let (changes, changed_after) = {
            let catalog = self.catalog.lock().unwrap();
            let after = if revision < catalog.dropped_revision() {
                0
            } else {
                revision
            };
            (catalog.changed_after(after, now), after)
        };
        let members = self.members.lock().unwrap().messages(now);
        let digest = Digest {
            members,
            changes: Some(changes),
            changed_after,
            ..Digest::default()
        };
        self.frame(frame::Body::Digest(digest), now)
    }

    pub(super) fn frame(&self, body: frame::Body, now: Moment) -> Frame {
        // One lock at a time: elsewhere the catalog's is taken before the members'.
        let sender = self.members.lock().unwrap().me();
        let view = self.catalog.lock().unwrap().view(now);
        Frame {
            sender: Some(sender),
            view: Some(view),
            body: Some(body),
        }
    }

    /// Sends a frame.
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

    pub(super) fn handle(self: &Arc<Self>, frame: Frame, now: Moment) {
        let Some(sender) = frame.sender else {
            return;
        };
        let ip = Ipv4Addr::from(sender.ip);
        let is_near = {
            let mut members = self.members.lock().unwrap();
            members.heard(&sender, now);
            *sender.data_centre == **members.data_centre()
        };
        let mut changes = None;
        match frame.body {
            Some(frame::Body::Beat(beat)) => self.answer(ip, is_near, beat, now),
            Some(frame::Body::Digest(mut digest)) => {
                let taken = digest.changes.take();
                changes = taken.map(|changes| (changes, digest.changed_after));
                self.take_digest(ip, is_near, &sender.data_centre, &digest, now);
            }
            None => {}
        }
        if let Some(view) = frame.view {
            self.take_view(ip, &view, changes, now);
        }
    }

    /// Takes another VM's changes, if they complete this catalog, and learns from its view
    /// how current this catalog is.
    fn take_view(
        self: &Arc<Self>,
        ip: Ipv4Addr,
        view: &message::View,
        changes: Option<(message::Catalog, u64)>,
        now: Moment,
    ) {
        let known_at = now.before(Duration::from_millis(view.age_ms.into()));
        let before = {
            let mut catalog = self.catalog.lock().unwrap();
            let before = catalog.revision();
            if let Some((changes, changed_after)) = changes
                && changed_after <= before
                && view.revision > before
            {
                let merge = catalog.merge(&changes, now);
                info!(
                    "event=catalog_merged from={ip} after={changed_after} revision={} age_ms={} endpoints={} configuration={}",
                    view.revision, view.age_ms, merge.endpoints, merge.configuration
                );
                if changed_after == 0 {
                    let present: Vec<u64> = changes.endpoints.iter().map(|it| it.id).collect();
                    catalog.remove_missing(&present, view.revision, now, Duration::ZERO);
                }
                catalog.advance(view.revision, known_at);
            }
            if view.revision <= catalog.revision() {
                catalog.confirm(known_at);
            }
            before
        };
        let after = self.catalog.lock().unwrap().revision();
        if after > before {
            self.spread(before);
        } else if view.revision > after {
            self.start_pull(ip);
        }
    }
}

/// Receives frames for the life of the process.
pub async fn receive(link: Arc<Link>) {
    let mut datagram = vec![0; MAX_FRAME_LEN];
    loop {
        let len = match link.socket.recv_from(&mut datagram).await {
            Ok((len, _)) => len,
            Err(error) => {
                // A port that was closed shows here; the VM behind it is found lost.
                counter!("ragwortbeam_peer_receive_failures_total").increment(1);
                info!("event=peer_receive_failed error=\"{error}\"");
                continue;
            }
        };
        counter!("ragwortbeam_peer_bytes_total", "direction" => "received").increment(len as u64);
        match Frame::decode(&datagram[..len]) {
            Ok(frame) => {
                if let Some(frame::Body::Digest(Digest { loads: Some(_), .. })) = &frame.body {
                    link.pace.lock().unwrap().note_digest(len);
                }
                link.handle(frame, Moment::now());
            }
            Err(error) => {
                counter!("ragwortbeam_peer_malformed_total").increment(1);
                info!("event=peer_frame_malformed len={len} error=\"{error}\"");
            }
        }
    }
}
