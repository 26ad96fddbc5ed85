//! Listeners, opened and closed as releases say.

use std::collections::HashMap;
use std::sync::Mutex;

use metrics::counter;
use socket2::{Domain, Protocol, Socket, Type};
use spdlog::{info, warn};
use tokio::net::UdpSocket;
use tokio::task::JoinHandle;

use crate::flow;
use crate::flow::Key;
use crate::prelude::*;
use crate::release::Service;

/// Kernel buffer for each direction, bytes.
const SOCKET_BUFFER_LEN: usize = 1 << 20;

/// Largest datagram read; longer ones arrive cut off and are refused as too long.
const MAX_DATAGRAM_LEN: usize = 2048;

/// Open listeners by service.
#[derive(Debug, Default)]
pub struct Listeners {
    by_service: Mutex<HashMap<id::Service, Listener>>,
}

#[derive(Debug)]
struct Listener {
    socket: Arc<UdpSocket>,
    task: JoinHandle<()>,
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Listeners {
    /// Sends a datagram to a caller from its service's address; one that the system
    /// does not take is lost.
    pub fn send(&self, key: Key, datagram: &[u8]) {
        let socket = {
            let listeners = self.by_service.lock().unwrap();
            listeners
                .get(&key.service)
                .map(|listener| listener.socket.clone())
        };
        let is_sent = socket.is_some_and(|socket| socket.try_send_to(datagram, key.caller).is_ok());
        if !is_sent {
            counter!("ragwortbeam_caller_send_failures_total").increment(1);
        }
    }

    /// Opens missing listeners and closes those of withdrawn services.
    fn follow(&self, node: &Arc<Node>) {
        let state = node.releases.state();
        let data_centre = &node.settings.data_centre;
        let mut listeners = self.by_service.lock().unwrap();
        listeners.retain(|service, _| {
            state
                .service(*service)
                .is_some_and(|service| service.is_served_in(data_centre))
        });
        for service in state.services() {
            if !service.is_served_in(data_centre) || listeners.contains_key(&service.id) {
                continue;
            }
            let address = local_address(node, service);
            match open(node, service, address) {
                Ok(listener) => {
                    info!(
                        "event=listener_opened service={} address={address}",
                        service.name
                    );
                    listeners.insert(service.id, listener);
                }
                Err(error) => {
                    let name = &service.name;
                    warn!(
                        "event=listener_failed service={name} address={address} error=\"{error}\""
                    );
                }
            }
        }
    }
}

/// Follows the releases for the life of the node.
pub async fn run(node: Arc<Node>) {
    let mut releases = node.releases.watch();
    loop {
        node.entry.follow(&node);
        if releases.changed().await.is_err() {
            return;
        }
        releases.mark_unchanged();
    }
}

fn local_address(node: &Node, service: &Service) -> SocketAddr {
    match node.settings.entry_ip {
        Some(ip) => SocketAddr::new(ip, service.address.port()),
        None => service.address,
    }
}

fn open(node: &Arc<Node>, service: &Service, address: SocketAddr) -> std::io::Result<Listener> {
    let socket = Arc::new(UdpSocket::from_std(bind_udp(address)?)?);
    let task = tokio::spawn(receive(node.clone(), service.id, socket.clone()));
    Ok(Listener { socket, task })
}

async fn receive(node: Arc<Node>, service: id::Service, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM_LEN];
    loop {
        // An error here belongs to an earlier send, to a caller that is gone.
        let Ok((len, caller)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        let key = Key { service, caller };
        flow::route::from_caller(&node, key, &buffer[..len]);
    }
}

/// Binds a UDP socket for the runtime, with large buffers.
///
/// # Errors
///
/// The system's error.
pub fn bind_udp(address: SocketAddr) -> std::io::Result<std::net::UdpSocket> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::DGRAM,
        Some(Protocol::UDP),
    )?;
    socket.set_nonblocking(true)?;
    socket.set_recv_buffer_size(SOCKET_BUFFER_LEN)?;
    socket.set_send_buffer_size(SOCKET_BUFFER_LEN)?;
    socket.bind(&address.into())?;
    Ok(socket.into())
}
