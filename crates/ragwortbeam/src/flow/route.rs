//! Routes packets to the VM that serves their flow.

use crate::dispatch;
use crate::flow::Key;
use crate::id;
use crate::message::Forward;
use crate::message::frame::Body;
use crate::prelude::*;
use crate::refusal::Reason;
use crate::release::Kind;
use crate::wire::address;

/// Maximum number of times that a packet is forwarded between VMs.
///
/// Two are enough when one VM between entry and owner has an outdated view.
pub const MAX_HOPS: u32 = 2;

/// Routes a packet that this VM received from a caller.
pub fn from_caller(node: &Arc<Node>, key: Key, datagram: &[u8]) {
    node.record_packet_arrival();
    route(node, key, 0, datagram);
}

/// Routes a packet that another VM forwarded.
pub fn from_peer(node: &Arc<Node>, forward: Forward) {
    node.record_packet_arrival();
    let Some(caller) = address::decode(&forward.caller) else {
        node.refusals.add(Reason::FrameMalformed);
        return;
    };
    let key = Key {
        service: id::Service(forward.service),
        caller,
    };
    route(node, key, forward.hops, &forward.payload);
}

/// Serves the packet if this VM has an owned record of the flow or is the flow's owner by the
/// view; otherwise forwards it to the owner.
fn route(node: &Arc<Node>, key: Key, hops: u32, datagram: &[u8]) {
    let is_owned_here = node.flows.with(key, |record| record.is_owned) == Some(true);
    let view = node.members.view();
    let owner = view.owner(key.hash());
    if is_owned_here || owner == view.local_vm {
        serve(node, key, datagram);
    } else if hops < MAX_HOPS {
        let forward = Forward {
            hops: hops + 1,
            caller: address::encode(key.caller),
            service: key.service.0,
            payload: datagram.to_vec(),
        };
        node.peers.send(owner, Body::Forward(forward));
    } else {
        node.refusals.add(Reason::HopLimit);
    }
}

fn serve(node: &Arc<Node>, key: Key, datagram: &[u8]) {
    let state = node.releases.state();
    let Some(service) = state.service(key.service) else {
        node.refusals.add(Reason::ServiceUnknown);
        return;
    };
    match service.kind {
        Kind::Requests => dispatch::requests::receive(node, service, key, datagram),
        Kind::Datagrams => dispatch::datagrams::receive(node, service, key, datagram),
    }
}
