//! Forwarding of opaque datagrams: each flow is bound to one endpoint, and payloads are not
//! parsed.

use std::collections::HashMap;
use std::sync::Mutex;

use metrics::counter;
use tokio::net::UdpSocket;
use tokio::time::timeout;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::entry::bind_udp;
use crate::flow::Key;
use crate::prelude::*;
use crate::refusal::Reason;
use crate::release::{Endpoint, Service};

/// Maximum size of a forwarded datagram, bytes: the UDP payload of a 1,500-byte IPv4 packet.
const MAX_DATAGRAM_LEN: usize = 1472;

/// Time without a datagram from the endpoint after which a flow's socket is closed; the flow's
/// record stays.
const SOCKET_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Sockets connected to endpoints, one for each active flow.
#[derive(Debug, Default)]
pub struct BackendSockets {
    by_flow: Mutex<HashMap<Key, Arc<UdpSocket>>>,
}

/// Forwards a caller's datagram to the endpoint of its flow, which this VM owns.
pub fn receive(node: &Arc<Node>, service: &Arc<Service>, key: Key, datagram: &[u8]) {
    if datagram.len() > MAX_DATAGRAM_LEN {
        return node.refusals.add(Reason::DatagramLong);
    }
    let bound = node.flows.with_or_insert(key, |record| {
        record.is_owned = true;
        record.endpoint
    });
    let Ok(bound) = bound else {
        return node.refusals.add(Reason::FlowsFull);
    };
    let bound_endpoint = bound.and_then(|endpoint| service.endpoint(endpoint));
    let chosen = bound_endpoint.or_else(|| choose(service, &node.settings.data_centre, key));
    let Some(endpoint) = chosen else {
        return node.refusals.add(Reason::NoEndpoint);
    };
    if bound != Some(endpoint.id) {
        bind_flow(node, key, endpoint.id);
    }
    match backend_socket(node, key, endpoint) {
        // A failed send counts as packet loss, which UDP allows.
        Some(socket) => drop(socket.try_send(datagram)),
        None => node.refusals.add(Reason::BackendReset),
    }
}

/// Chooses an open endpoint by rendezvous hashing, so that a new owner without the flow's
/// record chooses the same one; `None` if no endpoint is open.
pub fn choose<'a>(service: &'a Service, data_centre: &str, key: Key) -> Option<&'a Endpoint> {
    let hash = key.hash().to_le_bytes();
    service
        .open_endpoints(data_centre)
        .max_by_key(|endpoint| xxh3_64_with_seed(&hash, endpoint.id.0))
}

/// Binds a flow to an endpoint and removes the socket that is connected to its previous one.
fn bind_flow(node: &Node, key: Key, endpoint: id::Endpoint) {
    counter!("ragwortbeam_datagram_flows_bound_total").increment(1);
    node.flows
        .with(key, |record| record.endpoint = Some(endpoint));
    node.backend_sockets.by_flow.lock().unwrap().remove(&key);
}

fn backend_socket(node: &Arc<Node>, key: Key, endpoint: &Endpoint) -> Option<Arc<UdpSocket>> {
    let mut sockets = node.backend_sockets.by_flow.lock().unwrap();
    if let Some(socket) = sockets.get(&key) {
        return Some(socket.clone());
    }
    let socket = bind_udp(SocketAddr::new(node.settings.peer_address.ip(), 0)).ok()?;
    let socket = Arc::new(connect(socket, endpoint.address)?);
    sockets.insert(key, socket.clone());
    tokio::spawn(forward_to_caller(node.clone(), key, socket.clone()));
    Some(socket)
}

fn connect(socket: std::net::UdpSocket, address: SocketAddr) -> Option<UdpSocket> {
    socket.connect(address).ok()?;
    UdpSocket::from_std(socket).ok()
}

/// Forwards the endpoint's datagrams to the caller until none has arrived for
/// [`SOCKET_IDLE_TIMEOUT`].
async fn forward_to_caller(node: Arc<Node>, key: Key, socket: Arc<UdpSocket>) {
    let mut buffer = [0; MAX_DATAGRAM_LEN];
    while let Ok(received) = timeout(SOCKET_IDLE_TIMEOUT, socket.recv(&mut buffer)).await {
        if let Ok(len) = received {
            node.entry.send(key, &buffer[..len]);
        }
    }
    let mut sockets = node.backend_sockets.by_flow.lock().unwrap();
    if sockets
        .get(&key)
        .is_some_and(|current| Arc::ptr_eq(current, &socket))
    {
        sockets.remove(&key);
    }
}
