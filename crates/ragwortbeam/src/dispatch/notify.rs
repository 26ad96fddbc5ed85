//! Notifications on their way from an endpoint to the caller.

use coap_lite::{MessageType, Packet};
use metrics::counter;
use rand::RngExt;
use spdlog::info;
use tokio::time::sleep;

use super::feed;
use crate::clock;
use crate::flow::Key;
use crate::flow::record::{Feed, Record};
use crate::prelude::*;
use crate::wire::coap::{self, Token};

/// Time after which a caller that has confirmed nothing is asked to, milliseconds.
const CONFIRM_INTERVAL_MS: u64 = 20_000;

/// ACK_TIMEOUT of RFC 7252, section 4.8.
pub const ACK_TIMEOUT: Duration = Duration::from_secs(2);

/// MAX_RETRANSMIT of RFC 7252, section 4.8.
pub const MAX_RETRANSMIT: u32 = 4;

/// What became of a notification.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It is on its way to the caller.
    Forwarded,
    /// It is an error, with which the endpoint ended the feed with this token.
    Ended(Token),
    /// No feed has its token; the endpoint is told to stop.
    Unknown,
}

/// Forwards a notification that arrived with this token from an endpoint.
pub fn forward(node: &Arc<Node>, key: Key, leg: u64, mut packet: Packet) -> Outcome {
    let is_success = coap::is_success(&packet);
    let wants_confirmation = packet.header.get_type() == MessageType::Confirmable;
    let outcome = node.flows.with(key, |record| {
        if !record.is_owned {
            return None;
        }
        let token = record.feed_by_endpoint_token_mut(leg)?.token;
        if !is_success {
            return Some((token, None, false));
        }
        let starts = prepare(record, token, &mut packet, wants_confirmation)?;
        Some((token, Some(coap::encode(&packet)), starts))
    });
    let Some(Some((token, datagram, starts_confirmation))) = outcome else {
        return Outcome::Unknown;
    };
    let Some(datagram) = datagram else {
        return Outcome::Ended(token);
    };
    counter!("ragwortbeam_notifications_total").increment(1);
    node.entry.send(key, &datagram);
    if starts_confirmation {
        tokio::spawn(confirm(node.clone(), key, token));
    }
    Outcome::Forwarded
}

/// Addresses a notification to the caller; returns whether its confirmation starts.
fn prepare(
    record: &mut Record,
    token: Token,
    packet: &mut Packet,
    wants_confirmation: bool,
) -> Option<bool> {
    let message_id = record.allocate_message_id();
    let now_ms = clock::monotonic_ms();
    let feed = record.feed_mut(token)?;
    let is_due = now_ms.saturating_sub(feed.confirmed_at_ms) >= CONFIRM_INTERVAL_MS;
    let was_unconfirmed = feed.unconfirmed.is_some();
    let is_confirmable = wants_confirmation || is_due || was_unconfirmed;
    feed.sequence = feed::next_sequence(feed.sequence);
    feed.last_message_id = message_id;
    packet.header.message_id = message_id;
    packet.header.set_type(if is_confirmable {
        MessageType::Confirmable
    } else {
        MessageType::NonConfirmable
    });
    packet.set_token(feed.token.as_bytes().to_vec());
    packet.set_observe_value(feed.sequence);
    if is_confirmable {
        feed.unconfirmed = Some(coap::encode(packet).into());
    }
    Some(is_confirmable && !was_unconfirmed)
}

/// Retransmits the newest confirmable notification until it is acknowledged, and ends
/// the feed of a caller that acknowledges none (RFC 7641, section 4.5).
async fn confirm(node: Arc<Node>, key: Key, token: Token) {
    let mut wait = ACK_TIMEOUT.mul_f64(rand::rng().random_range(1.0..1.5));
    for _ in 0..=MAX_RETRANSMIT {
        sleep(wait).await;
        wait *= 2;
        let unconfirmed = node.flows.with(key, |record| {
            let is_owned = record.is_owned;
            let feed = record.feed_mut(token).filter(|_| is_owned)?;
            feed.unconfirmed.clone()
        });
        let Some(Some(datagram)) = unconfirmed else {
            return;
        };
        counter!("ragwortbeam_notifications_retransmitted_total").increment(1);
        node.entry.send(key, &datagram);
    }
    info!("event=caller_silent caller={}", key.caller);
    counter!("ragwortbeam_feeds_of_silent_callers_total").increment(1);
    feed::drop_feed(&node, key, token);
}

/// Takes a caller's acknowledgement of a notification.
pub fn acknowledged(node: &Arc<Node>, key: Key, message_id: u16) {
    node.flows.with(key, |record| {
        if let Some(feed) = feed_by_message_id(record, message_id) {
            feed.unconfirmed = None;
            feed.confirmed_at_ms = clock::monotonic_ms();
        }
    });
}

/// Takes a caller's rejection of a notification, which ends the feed (RFC 7641,
/// section 3.6).
pub fn reset(node: &Arc<Node>, key: Key, message_id: u16) {
    let token = node.flows.with(key, |record| {
        feed_by_message_id(record, message_id).map(|feed| feed.token)
    });
    if let Some(Some(token)) = token {
        feed::drop_feed(node, key, token);
    }
}

fn feed_by_message_id(record: &mut Record, message_id: u16) -> Option<&mut Feed> {
    let feeds = &mut record.coap_state.as_mut()?.feeds;
    feeds
        .iter_mut()
        .find(|feed| feed.last_message_id == message_id)
}
