//! UDP socket for frames between VMs, and the probes that wait for a Pong on it.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use metrics::counter;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;

use super::Links;
use crate::membership;
use crate::message::frame::Body;
use crate::prelude::*;
use crate::wire::frame::{Key, Opener, Sealer};

/// Connections of this VM to all other VMs.
#[derive(Debug)]
pub struct Peers {
    members: Arc<membership::Table>,
    socket: UdpSocket,
    sealer: Sealer,
    opener: Opener,
    /// gRPC channels for calls.
    pub links: Links,
    /// Notifies the probes in progress of their Pong, by nonce.
    pongs: Mutex<HashMap<u64, oneshot::Sender<()>>>,
    next_nonce: AtomicU64,
}

impl Peers {
    /// Returns connections that use `socket`, which is bound to the peer address.
    pub fn new(
        members: Arc<membership::Table>,
        socket: UdpSocket,
        local_ip: IpAddr,
        key: &Key,
    ) -> Self {
        let local_vm = members.view().local_vm;
        let incarnation = members.incarnation();
        Self {
            links: Links::new(members.clone(), key.clone(), local_ip),
            members,
            socket,
            sealer: Sealer::new(key.clone(), local_vm, incarnation),
            opener: Opener::new(key.clone()),
            pongs: Mutex::default(),
            next_nonce: AtomicU64::new(1),
        }
    }

    /// Sends a frame to a VM. A frame that the socket cannot send immediately is counted and
    /// dropped. A frame to a VM that is not in the VM list is dropped without being counted.
    pub fn send(&self, vm: id::Vm, body: Body) {
        let view = self.members.view();
        let Some(member) = view.members.get(&vm) else {
            return;
        };
        let kind = kind(&body);
        let datagram = self.sealer.seal(body);
        counter!("ragwortbeam_peer_bytes_sent_total", "kind" => kind)
            .increment(datagram.len() as u64);
        if self.socket.try_send_to(&datagram, member.address).is_err() {
            counter!("ragwortbeam_peer_send_failures_total").increment(1);
        }
    }

    /// Returns a new nonce and a receiver that completes when the Pong with this nonce arrives.
    pub fn expect_pong(&self) -> (u64, oneshot::Receiver<()>) {
        let nonce = self.next_nonce.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        self.pongs.lock().unwrap().insert(nonce, sender);
        (nonce, receiver)
    }

    /// Stops waiting for the Pong with this nonce.
    pub fn forget_pong(&self, nonce: u64) {
        self.pongs.lock().unwrap().remove(&nonce);
    }

    pub(super) fn complete_pong(&self, nonce: u64) {
        let pong_sender = self.pongs.lock().unwrap().remove(&nonce);
        if let Some(sender) = pong_sender {
            // The probe may have timed out in the meantime.
            let _ = sender.send(());
        }
    }

    pub(super) fn socket(&self) -> &UdpSocket {
        &self.socket
    }

    pub(super) fn opener(&self) -> &Opener {
        &self.opener
    }
}

fn kind(body: &Body) -> &'static str {
    match body {
        Body::Forward(_) => "forward",
        Body::Ping(_) => "ping",
        Body::PingRequest(_) => "ping_request",
        Body::Pong(_) => "pong",
    }
}
