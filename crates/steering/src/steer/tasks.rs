//! Tasks that receive packets, act on the decisions on them and keep load counts current.

use metrics::counter;
use spdlog::{info, warn};
use tokio::net::UdpSocket;
use tokio::sync::mpsc::unbounded_channel;
use tokio::task::yield_now;
use tokio::time::{MissedTickBehavior, interval, sleep};

use super::{DiscardReason, Outcome, Steering, event_log};
use crate::mesh::PeerLink;
use crate::packet::{Codec, Packet};
use crate::prelude::*;

/// Size of the receive buffer of a datagram, bytes: more than a header and 1,200 bytes of data.
const MAX_DATAGRAM_LEN: usize = 2048;

/// Number of packets that are handled before the task yields to others.
const MAX_BATCH_PACKETS: usize = 64;

/// Interval at which opening packets are checked for a missing answer.
const OPENING_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Interval at which claims are checked for a missing answer.
const CLAIM_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Interval at which open flows are recounted.
const RECOUNT_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum number of packets that a starting VM queues until its first catalog: the opening
/// packets that a busy VM receives in a second. Further ones are discarded.
const MAX_EARLY_PACKETS: usize = 1024;

/// Interval at which a starting VM checks whether it has a catalog.
const CATALOG_CHECK_INTERVAL: Duration = Duration::from_millis(2);

/// Receives and steers packets until the process ends.
pub async fn receive_packets(
    steering: Arc<Steering>,
    codec: Arc<dyn Codec>,
    socket: Arc<UdpSocket>,
    link: Arc<PeerLink>,
) {
    // The first send after binding fails until the runtime has registered the socket as writable.
    if let Err(error) = socket.writable().await {
        warn!("event=packet_socket_failed error=\"{error}\"");
    }
    let mut datagram = [0; MAX_DATAGRAM_LEN];
    let mut out = Vec::with_capacity(MAX_DATAGRAM_LEN);
    for early_packet in queue_early_packets(&steering, &socket).await {
        handle_datagram(&steering, &*codec, &socket, &early_packet, &mut out);
    }
    link.dispatch(steering.take_outbox(), Moment::now());
    loop {
        if let Err(error) = socket.readable().await {
            warn!("event=packet_socket_failed error=\"{error}\"");
            sleep(RECOUNT_INTERVAL).await;
            continue;
        }
        for _ in 0..MAX_BATCH_PACKETS {
            // An error means that the socket is empty, or that an endpoint's port was closed; in
            // the latter case the caller retransmits the packet.
            let Ok((len, _)) = socket.try_recv_from(&mut datagram) else {
                break;
            };
            handle_datagram(&steering, &*codec, &socket, &datagram[..len], &mut out);
        }
        link.dispatch(steering.take_outbox(), Moment::now());
        yield_now().await;
    }
}

/// Queues packets until a catalog is loaded. Callers that were waiting before this VM started are
/// thus served as soon as there is a catalog, rather than at their next retransmission.
async fn queue_early_packets(steering: &Steering, socket: &UdpSocket) -> Vec<Vec<u8>> {
    let mut early_packets = Vec::new();
    let mut datagram = [0; MAX_DATAGRAM_LEN];
    while !steering.is_loaded() {
        while let Ok((len, _)) = socket.try_recv_from(&mut datagram) {
            if early_packets.len() < MAX_EARLY_PACKETS {
                early_packets.push(datagram[..len].to_vec());
            } else {
                count_discard(DiscardReason::TooEarly);
            }
        }
        sleep(CATALOG_CHECK_INTERVAL).await;
    }
    info!("event=steering early_packets={}", early_packets.len());
    early_packets
}

/// Counts unanswered opening packets until the process ends.
pub async fn check_openings(steering: Arc<Steering>, link: Arc<PeerLink>) {
    loop {
        sleep(OPENING_CHECK_INTERVAL).await;
        let now = Moment::now();
        steering.count_unanswered(now);
        link.dispatch(steering.take_outbox(), now);
    }
}

/// Sends the opening packets whose claims are answered, or end without an answer, until the process
/// ends.
pub async fn place_claimed(
    steering: Arc<Steering>,
    codec: Arc<dyn Codec>,
    socket: Arc<UdpSocket>,
    link: Arc<PeerLink>,
) {
    let (sender, mut answers) = unbounded_channel();
    link.set_answer_channel(sender);
    let mut ticks = interval(CLAIM_CHECK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut out = Vec::with_capacity(MAX_DATAGRAM_LEN);
    loop {
        let resolved = tokio::select! {
            answer = answers.recv() => match answer {
                Some(answer) => Vec::from_iter(steering.apply_answer(answer, Moment::now())),
                None => return,
            },
            _ = ticks.tick() => steering.expire_claims(Moment::now()),
        };
        for it in resolved {
            let outcome = it.outcome;
            act(
                &steering,
                &*codec,
                &socket,
                &it.packet,
                &it.datagram,
                outcome,
                &mut out,
            );
        }
        link.dispatch(steering.take_outbox(), Moment::now());
    }
}

/// Refreshes the flow counts until the process ends.
pub async fn refresh_counts(steering: Arc<Steering>) {
    let mut ticks = interval(RECOUNT_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        steering.refresh_counts(Moment::now());
    }
}

fn handle_datagram(
    steering: &Steering,
    codec: &dyn Codec,
    socket: &UdpSocket,
    datagram: &[u8],
    out: &mut Vec<u8>,
) {
    let Some(packet) = codec.decode(datagram) else {
        count_discard(DiscardReason::Malformed);
        return;
    };
    let outcome = steering.decide(&packet, Moment::now());
    act(steering, codec, socket, &packet, datagram, outcome, out);
}

/// Carries out the decision on a packet.
fn act(
    steering: &Steering,
    codec: &dyn Codec,
    socket: &UdpSocket,
    packet: &Packet,
    datagram: &[u8],
    outcome: Outcome,
    out: &mut Vec<u8>,
) {
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
            codec.reset(packet, out);
            counter!("ragwortbeam_flows_reset_total", "reason" => reason.label()).increment(1);
            event_log::log_rejected_packet("flow_reset", packet, reason.label(), steering);
            let port = socket.local_addr().map_or(0, |address| address.port());
            SocketAddrV4::new(*packet.caller.ip(), port)
        }
        Outcome::Pending(number) => {
            steering.keep(number, packet, datagram, Moment::now());
            return;
        }
        Outcome::Discard(reason) => {
            count_discard(reason);
            event_log::log_rejected_packet("packet_discarded", packet, reason.label(), steering);
            return;
        }
    };
    if let Err(error) = socket.try_send_to(out, address.into()) {
        counter!("ragwortbeam_packet_send_failures_total").increment(1);
        event_log::log_send_failure(address, &error);
    }
}

fn count_discard(reason: DiscardReason) {
    counter!("ragwortbeam_packets_discarded_total", "reason" => reason.label()).increment(1);
}
