//! Forwarding of notifications from endpoints to callers.

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

/// Time since the caller's last acknowledgement after which the next notification is sent as
/// confirmable.
const CONFIRM_INTERVAL_MS: u64 = 20_000;

/// ACK_TIMEOUT of RFC 7252, section 4.8, towards callers.
pub const ACK_TIMEOUT: Duration = Duration::from_secs(2);

/// MAX_RETRANSMIT of RFC 7252, section 4.8, towards callers.
pub const MAX_RETRANSMIT: u32 = 4;

/// Wait for the caller's acknowledgement of a confirmable notification.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Wait {
    /// Time to wait.
    pub duration: Duration,
    /// True when the notification is sent again after the wait; false when the caller counts as
    /// silent after it.
    pub is_followed_by_retransmission: bool,
}

/// Returns the waits after a notification was sent, the first of which takes `first`.
pub fn waits_for_acknowledgement(first: Duration) -> impl Iterator<Item = Wait> {
    (0..=MAX_RETRANSMIT).map(move |retransmissions| Wait {
        duration: first * 2_u32.pow(retransmissions),
        is_followed_by_retransmission: retransmissions < MAX_RETRANSMIT,
    })
}

/// Result of forwarding a notification.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The notification was sent to the caller.
    Forwarded,
    /// The endpoint sent an error response, which ends its registration of the feed that the
    /// caller registered with this token. Nothing was sent to the caller.
    Ended(Token),
    /// This VM serves no feed with the notification's token; the endpoint gets a reset.
    Unknown,
}

/// Forwards a notification that arrived from an endpoint with `endpoint_token`.
pub fn forward(node: &Arc<Node>, key: Key, endpoint_token: u64, mut packet: Packet) -> Outcome {
    let is_success = coap::is_success(&packet);
    let wants_confirmation = packet.header.get_type() == MessageType::Confirmable;
    let outcome = node.flows.with(key, |record| {
        if !record.is_owned {
            return None;
        }
        let token = record.feed_by_endpoint_token_mut(endpoint_token)?.token;
        if !is_success {
            return Some((token, None, false));
        }
        let starts_retransmission =
            rewrite_for_caller(record, token, &mut packet, wants_confirmation)?;
        Some((token, Some(coap::encode(&packet)), starts_retransmission))
    });
    let Some(Some((token, datagram, starts_retransmission))) = outcome else {
        return Outcome::Unknown;
    };
    let Some(datagram) = datagram else {
        return Outcome::Ended(token);
    };
    counter!("ragwortbeam_notifications_total").increment(1);
    node.entry.send(key, &datagram);
    if starts_retransmission {
        tokio::spawn(retransmit_until_acknowledged(node.clone(), key, token));
    }
    Outcome::Forwarded
}

/// Rewrites a notification's header, token and Observe value for the caller. Returns whether
/// retransmission has to be started, or `None` if the feed is unknown.
fn rewrite_for_caller(
    record: &mut Record,
    token: Token,
    packet: &mut Packet,
    wants_confirmation: bool,
) -> Option<bool> {
    let message_id = record.allocate_message_id();
    let now_ms = clock::monotonic_ms();
    let feed = record.feed_mut(token)?;
    let is_confirmation_due = now_ms.saturating_sub(feed.confirmed_at_ms) >= CONFIRM_INTERVAL_MS;
    let was_unconfirmed = feed.unconfirmed.is_some();
    let is_confirmable = wants_confirmation || is_confirmation_due || was_unconfirmed;
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

/// Retransmits the newest confirmable notification until the caller acknowledges it. Closes
/// the feed if the caller acknowledges none (RFC 7641, section 4.5).
async fn retransmit_until_acknowledged(node: Arc<Node>, key: Key, token: Token) {
    let first = ACK_TIMEOUT.mul_f64(rand::rng().random_range(1.0..1.5));
    for wait in waits_for_acknowledgement(first) {
        sleep(wait.duration).await;
        let unconfirmed = node.flows.with(key, |record| {
            let is_owned = record.is_owned;
            let feed = record.feed_mut(token).filter(|_| is_owned)?;
            feed.unconfirmed.clone()
        });
        let Some(Some(datagram)) = unconfirmed else {
            return;
        };
        if !wait.is_followed_by_retransmission {
            break;
        }
        counter!("ragwortbeam_notifications_retransmitted_total").increment(1);
        node.entry.send(key, &datagram);
    }
    info!("event=notification_unacknowledged caller={}", key.caller);
    counter!("ragwortbeam_feeds_of_silent_callers_total").increment(1);
    feed::close_feed(&node, key, token);
}

/// Records a caller's acknowledgement of a feed's newest notification. Acknowledgements of
/// earlier ones are ignored.
pub fn handle_acknowledgement(node: &Arc<Node>, key: Key, message_id: u16) {
    node.flows.with(key, |record| {
        if let Some(feed) = feed_by_message_id(record, message_id) {
            feed.unconfirmed = None;
            feed.confirmed_at_ms = clock::monotonic_ms();
        }
    });
}

/// Closes the feed whose newest notification the caller has rejected with a reset (RFC 7641,
/// section 3.6).
pub fn handle_reset(node: &Arc<Node>, key: Key, message_id: u16) {
    let token = node.flows.with(key, |record| {
        feed_by_message_id(record, message_id).map(|feed| feed.token)
    });
    if let Some(Some(token)) = token {
        feed::close_feed(node, key, token);
    }
}

/// Returns the feed whose newest notification has this message id.
fn feed_by_message_id(record: &mut Record, message_id: u16) -> Option<&mut Feed> {
    let feeds = &mut record.coap_state.as_mut()?.feeds;
    feeds
        .iter_mut()
        .find(|feed| feed.last_message_id == message_id)
}
