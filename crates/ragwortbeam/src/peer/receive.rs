//! Receives frames from other VMs.

use std::net::SocketAddr;

use spdlog::debug;
use tokio::time::timeout;

use crate::clock;
use crate::flow;
use crate::membership::ping;
use crate::message::frame::Body;
use crate::message::{Frame, PingRequest, Pong};
use crate::peer::releases;
use crate::platform;
use crate::prelude::*;
use crate::refusal::Reason;
use crate::wire::frame::MAX_FRAME_LEN;

/// Time allowed for the target of an indirect probe to answer the VM that relays the probe.
const RELAY_TIMEOUT: Duration = Duration::from_millis(200);

/// Receives frames until the process ends.
pub async fn run(node: Arc<Node>) {
    // One byte more than the maximum, so that a longer frame is recognised.
    let mut buffer = vec![0; MAX_FRAME_LEN + 1];
    loop {
        let Ok((len, source)) = node.peers.socket().recv_from(&mut buffer).await else {
            continue;
        };
        if let Err(reason) = receive_frame(&node, &buffer[..len], source) {
            node.refusals.add(reason);
            debug!("event=frame_refused source={source} reason={reason}");
        }
    }
}

fn receive_frame(node: &Arc<Node>, datagram: &[u8], source: SocketAddr) -> Result<(), Reason> {
    let view = node.members.view();
    let is_member = |sender| {
        let member = view.members.get(&sender);
        member.is_some_and(|member| member.address == source)
    };
    let opener = node.peers.opener();
    let frame = opener.open(datagram, clock::wall_ms(), is_member);
    if frame == Err(Reason::FrameStranger) {
        // The frame has a valid MAC, so the sender may be a VM that this VM's list still lacks or
        // has at an earlier address.
        platform::refresh_list(node);
    }
    let frame = frame?;
    let sender = id::Vm(frame.sender);
    node.members.observe_incarnation(sender, frame.incarnation);
    handle_frame(node, sender, frame);
    Ok(())
}

fn handle_frame(node: &Arc<Node>, sender: id::Vm, frame: Frame) {
    match frame.body {
        Some(Body::Forward(forward)) => flow::route::from_peer(node, forward),
        Some(Body::Ping(ping)) => {
            node.members
                .apply_rumours(&ping.rumours, clock::monotonic_ms());
            releases::pull_if_behind(node, sender, ping.release, ping.vm_list);
            send_pong(node, sender, ping.nonce);
        }
        Some(Body::PingRequest(request)) => {
            tokio::spawn(relay_probe(node.clone(), sender, request));
        }
        Some(Body::Pong(pong)) => {
            node.members
                .apply_rumours(&pong.rumours, clock::monotonic_ms());
            releases::pull_if_behind(node, sender, pong.release, pong.vm_list);
            node.peers.complete_pong(pong.nonce);
        }
        // `Opener::open` has refused frames without a body.
        None => {}
    }
}

fn send_pong(node: &Node, sender: id::Vm, nonce: u64) {
    let pong = Pong {
        nonce,
        release: node.releases.number(),
        vm_list: node.members.vm_list_version(),
        rumours: node.members.rumours_for(sender),
    };
    node.peers.send(sender, Body::Pong(pong));
}

async fn relay_probe(node: Arc<Node>, sender: id::Vm, request: PingRequest) {
    let (nonce, pong) = node.peers.expect_pong();
    ping(&node, id::Vm(request.target), nonce);
    if timeout(RELAY_TIMEOUT, pong).await.is_ok() {
        send_pong(&node, sender, request.nonce);
    } else {
        node.peers.forget_pong(nonce);
    }
}
