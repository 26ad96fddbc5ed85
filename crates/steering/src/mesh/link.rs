//! Datagrams between VMs: heartbeats, digests and news of the catalog.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};

use metrics::counter;
use prost::Message;
use ragwortbeam_base::http;
use spdlog::{info, warn};
use tokio::net::UdpSocket;
use tokio::time::sleep;

use super::{Sums, Table};
use crate::load::Board;
use crate::message::{self, Beat, Digest, Frame, frame};
use crate::prelude::*;
use crate::settings::Settings;

/// Largest datagram between VMs, bytes: what UDP carries.
const MAX_FRAME_LEN: usize = 65_000;

/// Changes above this size are pulled by the receiver, bytes: one packet on the wire.
const MAX_PUSH_LEN: usize = 1200;

/// Hubs that a VM reports to, so that the loss of one costs nothing.
const HUBS: usize = 2;

/// Pause between two heartbeats to the first hub in a data centre of up to
/// [`FULL_RATE_VMS`]: about the time of one request, so that counts are fresh when it ends.
const BEAT_INTERVAL: Duration = Duration::from_millis(50);

/// VMs of a data centre above which heartbeats are spaced out, so that a hub's work stays
/// constant.
const FULL_RATE_VMS: u32 = 40;

/// Heartbeats to the second hub, each this many of those to the first: it only has to be
/// able to take over.
const STANDBY_EVERY: u64 = 4;

/// Loads of other data centres' endpoints are asked for in each this many heartbeats: only
/// flows that leave a full data centre need them.
const WHOLE_EVERY: u64 = 8;

/// Heartbeats between hubs of different data centres, each this many of the others.
const FOREIGN_EVERY: u64 = 5;

/// Member lists are asked for in each this many heartbeats, which is every two seconds.
const MEMBERS_EVERY: u64 = 40;

/// VMs that are down are probed in each this many heartbeats, twice a second.
const PROBE_EVERY: u64 = 10;

/// VMs that are down and probed at a time.
const MAX_PROBES: usize = 4;

/// Time allowed for reading a catalog from another VM.
const PULL_TIMEOUT: Duration = Duration::from_millis(800);

/// Pause after a failed reading from another VM.
const PULL_PAUSE: Duration = Duration::from_millis(100);

/// What a heartbeat asks for.
#[derive(Clone, Copy, Debug, Default)]
struct Asks {
    /// Members.
    members: bool,
    /// Loads of all data centres.
    whole: bool,
}

impl Asks {
    const MEMBERS: Self = Self {
        members: true,
        whole: false,
    };
}

/// One VM's side of the mesh.
pub struct Link {
    socket: UdpSocket,
    port: u16,
    /// Members.
    pub members: Arc<Mutex<Table>>,
    /// Seeds, replaced when the settings change.
    pub seeds: Mutex<Vec<Ipv4Addr>>,
    catalog: Arc<Mutex<Catalog>>,
    board: Arc<Mutex<Board>>,
    sums: Mutex<Sums>,
    is_pulling: AtomicBool,
}

impl Link {
    /// Returns the link of a VM on a bound socket.
    pub fn new(
        settings: &Settings,
        socket: UdpSocket,
        members: Arc<Mutex<Table>>,
        catalog: Arc<Mutex<Catalog>>,
        board: Arc<Mutex<Board>>,
    ) -> Self {
        Self {
            socket,
            port: settings.peer_address.port(),
            members,
            seeds: Mutex::new(settings.seeds.clone()),
            catalog,
            board,
            sums: Mutex::default(),
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
            let after = if revision < catalog.forgotten_revision() {
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

    fn frame(&self, body: frame::Body, now: Moment) -> Frame {
        // One lock at a time: elsewhere the catalog's is taken before the members'.
        let sender = self.members.lock().unwrap().me();
        let view = self.catalog.lock().unwrap().view(now);
        Frame {
            sender: Some(sender),
            view: Some(view),
            body: Some(body),
        }
    }

    fn send(&self, ip: Ipv4Addr, frame: &Frame) {
        let address = SocketAddr::from((ip, self.port));
        if let Err(error) = self.socket.try_send_to(&frame.encode_to_vec(), address) {
            counter!("ragwortbeam_peer_send_failures_total").increment(1);
            warn!("event=peer_send_failed to={address} error=\"{error}\"");
        }
    }

    /// Sends a heartbeat with this VM's load.
    fn send_beat(&self, receivers: &[Ipv4Addr], asks: Asks, now: Moment) {
        if receivers.is_empty() {
            return;
        }
        let loads = {
            let catalog = self.catalog.lock().unwrap();
            self.board.lock().unwrap().own_message(&catalog, now)
        };
        let frame = self.frame(
            frame::Body::Beat(Beat {
                wants_members: asks.members,
                wants_whole: asks.whole,
                loads,
            }),
            now,
        );
        for receiver in receivers {
            self.members.lock().unwrap().note_sent(*receiver);
            self.send(*receiver, &frame);
        }
    }

    /// Takes this VM's own load into its sums, and the sums into its board.
    fn take_own(&self, now: Moment) {
        let catalog = self.catalog.lock().unwrap();
        let mut board = self.board.lock().unwrap();
        let mut sums = self.sums.lock().unwrap();
        let me = self.members.lock().unwrap().ip();
        sums.take_local(me, board.own_message(&catalog, now), now);
        let (loads, contributors) = sums.without(me, now);
        board.take_report(me, contributors, &loads, false, now);
    }

    fn handle(self: &Arc<Self>, frame: Frame, now: Moment) {
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
                self.take_digest(ip, is_near, &sender.data_centre, digest, now);
            }
            None => {}
        }
        if let Some(view) = frame.view {
            self.take_view(ip, &view, changes, now);
        }
    }

    fn answer(&self, ip: Ipv4Addr, is_near: bool, beat: Beat, now: Moment) {
        let (mut loads, contributors) = {
            let mut sums = self.sums.lock().unwrap();
            if is_near {
                sums.take_local(ip, beat.loads, now);
                sums.without(ip, now)
            } else {
                sums.local(now)
            }
        };
        let is_partial = is_near && !beat.wants_whole;
        if is_partial {
            self.leave_out_foreign(&mut loads);
        }
        let members = if beat.wants_members {
            self.members.lock().unwrap().messages(now)
        } else {
            Vec::new()
        };
        let digest = Digest {
            loads,
            contributors,
            members,
            is_partial,
            ..Digest::default()
        };
        let frame = self.frame(frame::Body::Digest(digest), now);
        self.send(ip, &frame);
    }

    /// Leaves out loads of endpoints in other data centres.
    fn leave_out_foreign(&self, loads: &mut Vec<message::Load>) {
        let catalog = self.catalog.lock().unwrap();
        let data_centre = self.members.lock().unwrap().data_centre().clone();
        loads.retain(|load| {
            let key = catalog.by_tag(load.tag);
            key.and_then(|key| catalog.endpoint(key))
                .is_some_and(|endpoint| endpoint.entry.data_centre == data_centre)
        });
    }

    fn take_digest(
        &self,
        ip: Ipv4Addr,
        is_near: bool,
        data_centre: &str,
        digest: Digest,
        now: Moment,
    ) {
        let mut members = self.members.lock().unwrap();
        for member in &digest.members {
            members.take(member, now);
        }
        drop(members);
        if digest.contributors == 0 {
            return;
        }
        if is_near {
            let mut board = self.board.lock().unwrap();
            let (loads, is_partial) = (&digest.loads, digest.is_partial);
            board.take_report(ip, digest.contributors, loads, is_partial, now);
        } else {
            let mut sums = self.sums.lock().unwrap();
            sums.take_foreign(data_centre.into(), digest.contributors, digest.loads, now);
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
                catalog.merge(&changes, now);
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

    fn start_pull(self: &Arc<Self>, ip: Ipv4Addr) {
        if self.is_pulling.swap(true, Ordering::AcqRel) {
            return;
        }
        let link = self.clone();
        tokio::spawn(async move {
            if let Err(error) = pull(&link, ip).await {
                warn!("event=catalog_pull_failed from={ip} error=\"{error}\"");
                sleep(PULL_PAUSE).await;
            }
            link.is_pulling.store(false, Ordering::Release);
        });
    }
}

/// Reads from another VM what this one's catalog lacks.
///
/// # Errors
///
/// [`Error::Call`], [`Error::Status`] or [`Error::Answer`]; another VM may be asked.
pub async fn pull(link: &Arc<Link>, ip: Ipv4Addr) -> Result<()> {
    let revision = link.catalog.lock().unwrap().revision();
    let context = || format!("catalog of {ip}");
    let client = http::Client::new(format!("{ip}:{}", link.port));
    let answer = client
        .get(&format!("/catalog?after={revision}"), PULL_TIMEOUT)
        .await
        .map_err(|source| Error::Call {
            context: context(),
            source,
        })?;
    if !answer.status.is_success() {
        return Err(Error::Status {
            context: context(),
            status: answer.status.as_u16(),
        });
    }
    let frame = Frame::decode(answer.body).map_err(|error| Error::answer(context(), error))?;
    info!("event=catalog_pulled from={ip} after={revision}");
    link.handle(frame, Moment::now());
    Ok(())
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
        match Frame::decode(&datagram[..len]) {
            Ok(frame) => link.handle(frame, Moment::now()),
            Err(error) => {
                counter!("ragwortbeam_peer_malformed_total").increment(1);
                info!("event=peer_frame_malformed len={len} error=\"{error}\"");
            }
        }
    }
}

/// Sends heartbeats for the life of the process.
pub async fn beat(link: Arc<Link>) {
    // The first write after binding fails until the runtime knows the socket as writable.
    if let Err(error) = link.socket.writable().await {
        warn!("event=peer_socket_failed error=\"{error}\"");
    }
    let mut count: u64 = 0;
    loop {
        let now = Moment::now();
        link.take_own(now);
        let (has_company, size, rank) = {
            let members = link.members.lock().unwrap();
            (
                members.has_company(now),
                members.size(now),
                members.rank(now),
            )
        };
        let asks = Asks {
            members: count.is_multiple_of(MEMBERS_EVERY) || !has_company,
            whole: count.is_multiple_of(WHOLE_EVERY),
        };
        let is_standby_due = asks.members || count.is_multiple_of(STANDBY_EVERY);
        let hub_count = if is_standby_due { HUBS } else { 1 };
        let hubs = link.members.lock().unwrap().hubs(hub_count, now);
        link.send_beat(&hubs, asks, now);
        if rank < HUBS && count.is_multiple_of(FOREIGN_EVERY) {
            let hubs = link.members.lock().unwrap().foreign_hubs(now);
            link.send_beat(&hubs, asks, now);
        }
        if !has_company {
            let me = link.members.lock().unwrap().ip();
            let mut seeds = link.seeds.lock().unwrap().clone();
            seeds.retain(|seed| *seed != me);
            link.send_beat(&seeds, Asks::MEMBERS, now);
        } else if rank < HUBS && count.is_multiple_of(PROBE_EVERY) {
            probe(&link, count, now);
        }
        count += 1;
        let interval = BEAT_INTERVAL * (size as u32).max(FULL_RATE_VMS) / FULL_RATE_VMS;
        sleep(interval).await;
    }
}

/// Sends heartbeats to some VMs that are down, in turn.
fn probe(link: &Arc<Link>, count: u64, now: Moment) {
    let mut lost = {
        let mut members = link.members.lock().unwrap();
        members.forget(now);
        members.lost(now)
    };
    lost.sort();
    if !lost.is_empty() {
        let turn = (count / PROBE_EVERY) as usize * MAX_PROBES % lost.len();
        lost.rotate_left(turn);
        lost.truncate(MAX_PROBES);
    }
    link.send_beat(&lost, Asks::MEMBERS, now);
}
