//! The tasks that receive packets and act on the decisions.

use metrics::counter;
use spdlog::{info, warn};
use tokio::net::UdpSocket;
use tokio::task::yield_now;
use tokio::time::sleep;

use super::{Discard, Outcome, Steering, lines};
use crate::packet::Codec;
use crate::prelude::*;

/// Largest datagram read: a header and 1,200 bytes of data, with room to spare.
const MAX_DATAGRAM_LEN: usize = 2048;

/// Packets handled before other tasks get a turn.
const BATCH: usize = 64;

/// Pause between two looks for opening packets without an answer.
const OPENING_INTERVAL: Duration = Duration::from_millis(20);

/// Pause between two counts of open flows.
const RECOUNT_INTERVAL: Duration = Duration::from_millis(200);

/// Packets that wait for the first catalog of a starting VM: a second of a busy VM's
/// opening packets. Further ones are discarded.
const MAX_EARLY: usize = 1024;

/// How often a starting VM looks whether it has a catalog.
const EARLY_INTERVAL: Duration = Duration::from_millis(2);

/// Runs for the life of the process.
pub async fn run(steering: Arc<Steering>, codec: Box<dyn Codec>, socket: Arc<UdpSocket>) {
    // The first write after binding fails until the runtime knows the socket as writable.
    if let Err(error) = socket.writable().await {
        warn!("event=packet_socket_failed error=\"{error}\"");
    }
    let mut datagram = [0; MAX_DATAGRAM_LEN];
    let mut out = Vec::with_capacity(MAX_DATAGRAM_LEN);
    for early in receive_early(&steering, &socket).await {
        handle(&steering, &*codec, &socket, &early, &mut out);
    }
    loop {
        if let Err(error) = socket.readable().await {
            warn!("event=packet_socket_failed error=\"{error}\"");
            sleep(RECOUNT_INTERVAL).await;
            continue;
        }
        for _ in 0..BATCH {
            // An error is the socket's way to say that it is empty, or that an endpoint's
            // port was closed; the packet's caller repeats it.
            let Ok((len, _)) = socket.try_recv_from(&mut datagram) else {
                break;
            };
            handle(&steering, &*codec, &socket, &datagram[..len], &mut out);
        }
        yield_now().await;
    }
}

/// Keeps packets until there is a catalog, so that those of callers that wait since before
/// this VM's start are answered with it and not only when they are sent again.
async fn receive_early(steering: &Steering, socket: &UdpSocket) -> Vec<Vec<u8>> {
    let mut early = Vec::new();
    let mut datagram = [0; MAX_DATAGRAM_LEN];
    while !steering.is_loaded() {
        while let Ok((len, _)) = socket.try_recv_from(&mut datagram) {
            if early.len() < MAX_EARLY {
                early.push(datagram[..len].to_vec());
            } else {
                count_discard(Discard::TooEarly);
            }
        }
        sleep(EARLY_INTERVAL).await;
    }
    info!("event=steering early_packets={}", early.len());
    early
}

/// Looks for opening packets without an answer for the life of the process.
pub async fn watch_openings(steering: Arc<Steering>) {
    loop {
        sleep(OPENING_INTERVAL).await;
        steering.note_unanswered(Moment::now());
    }
}

/// Keeps counts current for the life of the process.
pub async fn recount(steering: Arc<Steering>) {
    let mut ticks = tokio::time::interval(RECOUNT_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        steering.recount(Moment::now());
    }
}

fn handle(
    steering: &Steering,
    codec: &dyn Codec,
    socket: &UdpSocket,
    datagram: &[u8],
    out: &mut Vec<u8>,
) {
    let Some(packet) = codec.decode(datagram) else {
        count_discard(Discard::Malformed);
        return;
    };
    let outcome = steering.decide(&packet, Moment::now());
    let address = match outcome {
        Outcome::Forward {
            endpoint,
            address,
            token,
        } => {
            codec.forward(datagram, endpoint, token, out);
            counter!("ragwortbeam_packets_forwarded_total").increment(1);
            address
        }
        Outcome::Reset(reason) => {
            codec.reset(&packet, out);
            counter!("ragwortbeam_flows_reset_total", "reason" => reason.label()).increment(1);
            lines::refused("flow_reset", &packet, reason.label(), steering);
            let port = socket.local_addr().map_or(0, |address| address.port());
            SocketAddrV4::new(*packet.caller.ip(), port)
        }
        Outcome::Discard(reason) => {
            count_discard(reason);
            lines::refused("packet_discarded", &packet, reason.label(), steering);
            return;
        }
    };
    if let Err(error) = socket.try_send_to(out, address.into()) {
        counter!("ragwortbeam_packet_send_failures_total").increment(1);
        lines::send_failed(address, &error);
    }
}

fn count_discard(reason: Discard) {
    counter!("ragwortbeam_packets_discarded_total", "reason" => reason.label()).increment(1);
}
