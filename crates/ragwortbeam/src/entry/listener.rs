//! UDP listeners for callers, opened and closed according to the release in force.

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

/// Size of the kernel's buffer in each direction, bytes.
const SOCKET_BUFFER_LEN: usize = 1 << 20;

/// Maximum length of a datagram that is read, bytes. A longer one is truncated to this length,
/// which is still too long for any service, so that it is refused.
const MAX_DATAGRAM_LEN: usize = 2048;

/// Open listeners, by service.
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
    /// Sends a datagram to a caller from the address of the flow's service. A datagram that cannot
    /// be sent immediately is counted and dropped.
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

    /// Opens listeners for new services and closes those of services that are withdrawn or no
    /// longer served in this data centre. A listener that cannot be opened is tried again after
    /// the next release.
    fn reconcile(&self, node: &Arc<Node>) {
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
            match open_listener(node, service, address) {
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

/// Opens and closes listeners after each release until the process ends.
pub async fn run(node: Arc<Node>) {
    let mut releases = node.releases.watch();
    loop {
        node.entry.reconcile(&node);
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

fn open_listener(
    node: &Arc<Node>,
    service: &Service,
    address: SocketAddr,
) -> std::io::Result<Listener> {
    let socket = Arc::new(UdpSocket::from_std(bind_udp(address)?)?);
    let task = tokio::spawn(receive(node.clone(), service.id, socket.clone()));
    Ok(Listener { socket, task })
}

async fn receive(node: Arc<Node>, service: id::Service, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM_LEN];
    loop {
        // An error here stems from an earlier send to a caller that is no longer reachable.
        let Ok((len, caller)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        let key = Key { service, caller };
        flow::route::from_caller(&node, key, &buffer[..len]);
    }
}

/// Binds a non-blocking UDP socket with buffers of 1 MiB in each direction.
///
/// # Errors
///
/// The error of the operating system if the socket cannot be created, configured or bound.
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
