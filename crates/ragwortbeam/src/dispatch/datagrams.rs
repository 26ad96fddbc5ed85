//! Opaque datagrams: each flow is bound to one endpoint and its payload never read.

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

/// Largest datagram, bytes.
const MAX_DATAGRAM_LEN: usize = 1472;

/// Time without a packet from the endpoint after which a leg's socket is closed; the
/// flow's record stays.
const LEG_IDLE: Duration = Duration::from_secs(60);

/// Sockets towards endpoints, one for each active flow.
#[derive(Debug, Default)]
pub struct Legs {
    by_flow: Mutex<HashMap<Key, Arc<UdpSocket>>>,
}

/// Takes a caller's datagram of a flow that this VM serves.
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
    let known = bound.and_then(|endpoint| service.endpoint(endpoint));
    let chosen = known.or_else(|| choose(service, &node.settings.data_centre, key));
    let Some(endpoint) = chosen else {
        return node.refusals.add(Reason::NoEndpoint);
    };
    if bound != Some(endpoint.id) {
        bind(node, key, endpoint.id);
    }
    match leg(node, key, endpoint) {
        // A refused send is a lost packet, as on any network.
        Some(leg) => drop(leg.try_send(datagram)),
        None => node.refusals.add(Reason::BackendReset),
    }
}

/// Returns the open endpoint of highest random weight for the flow, so that a new
/// owner without a record chooses the same one.
pub fn choose<'a>(service: &'a Service, data_centre: &str, key: Key) -> Option<&'a Endpoint> {
    let hash = key.hash().to_le_bytes();
    service
        .open_endpoints(data_centre)
        .max_by_key(|endpoint| xxh3_64_with_seed(&hash, endpoint.id.0))
}

fn bind(node: &Node, key: Key, endpoint: id::Endpoint) {
    counter!("ragwortbeam_datagram_flows_bound_total").increment(1);
    node.flows
        .with(key, |record| record.endpoint = Some(endpoint));
    node.legs.by_flow.lock().unwrap().remove(&key);
}

fn leg(node: &Arc<Node>, key: Key, endpoint: &Endpoint) -> Option<Arc<UdpSocket>> {
    let mut legs = node.legs.by_flow.lock().unwrap();
    if let Some(leg) = legs.get(&key) {
        return Some(leg.clone());
    }
    let socket = bind_udp(SocketAddr::new(node.settings.peer_address.ip(), 0)).ok()?;
    let socket = Arc::new(connect(socket, endpoint.address)?);
    legs.insert(key, socket.clone());
    tokio::spawn(return_answers(node.clone(), key, socket.clone()));
    Some(socket)
}

fn connect(socket: std::net::UdpSocket, address: SocketAddr) -> Option<UdpSocket> {
    socket.connect(address).ok()?;
    UdpSocket::from_std(socket).ok()
}

/// Sends an endpoint's datagrams to the caller until the leg is idle.
async fn return_answers(node: Arc<Node>, key: Key, leg: Arc<UdpSocket>) {
    let mut buffer = [0; MAX_DATAGRAM_LEN];
    while let Ok(received) = timeout(LEG_IDLE, leg.recv(&mut buffer)).await {
        if let Ok(len) = received {
            node.entry.send(key, &buffer[..len]);
        }
    }
    let mut legs = node.legs.by_flow.lock().unwrap();
    if legs.get(&key).is_some_and(|known| Arc::ptr_eq(known, &leg)) {
        legs.remove(&key);
    }
}
