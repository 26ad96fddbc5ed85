//! Relocation of feeds to other endpoints.

use std::time::Instant;

use coap_lite::Packet;
use metrics::counter;
use spdlog::{info, warn};
use tokio::time::sleep;

use super::feed::{self, Admission, REGISTER_TIMEOUT};
use super::notify::{self, Outcome};
use crate::flow::Key;
use crate::flow::record::Feed;
use crate::prelude::*;
use crate::wire::coap::{self, Token};

/// Pause after the first failed attempt to reregister a feed; it doubles with each further
/// one.
const REGISTER_RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Maximum pause between attempts to reregister a feed.
const MAX_REGISTER_RETRY_PAUSE: Duration = Duration::from_secs(2);

/// Handles a notification that arrived from an endpoint with `endpoint_token`: forwards it to
/// the caller or, if the endpoint has ended the feed with it, moves the feed.
///
/// Returns whether this VM serves a feed with the token; if not, the endpoint has to get a
/// reset.
pub fn handle_notification(
    node: &Arc<Node>,
    key: Key,
    endpoint_token: u64,
    packet: Packet,
) -> bool {
    match notify::forward(node, key, endpoint_token, packet) {
        Outcome::Forwarded => true,
        Outcome::Ended(token) => {
            move_ended_feed(node, key, endpoint_token, token);
            true
        }
        Outcome::Unknown => false,
    }
}

/// Moves a feed that its endpoint has ended to another endpoint.
fn move_ended_feed(node: &Arc<Node>, key: Key, endpoint_token: u64, token: Token) {
    let previous_endpoint = node.flows.with(key, |record| {
        let feed = record.feed_by_endpoint_token_mut(endpoint_token)?;
        feed.endpoint_token = None;
        Some(feed.endpoint)
    });
    let node = node.clone();
    tokio::spawn(async move {
        reregister(&node, key, token, previous_endpoint.flatten()).await;
    });
}

/// Registers a feed at an endpoint other than `excluded`, or at any if that is `None`, and
/// forwards the answer to the caller as a notification. The previous registration ends only
/// after the new one is accepted. Retries for as long as this VM serves the feed.
pub async fn reregister(node: &Arc<Node>, key: Key, token: Token, excluded: Option<id::Endpoint>) {
    let mut pause = REGISTER_RETRY_PAUSE;
    loop {
        let feed = node.flows.with(key, |record| {
            let is_owned = record.is_owned;
            record.feed_mut(token).filter(|_| is_owned).cloned()
        });
        let Some(feed) = feed.flatten() else {
            return;
        };
        if try_reregister(node, key, &feed, excluded).await {
            return;
        }
        warn!("event=feed_registration_failed caller={}", key.caller);
        sleep(pause).await;
        pause = (pause * 2).min(MAX_REGISTER_RETRY_PAUSE);
    }
}

/// Makes one attempt to reregister a feed. Returns false if another attempt has to follow, and
/// true if the feed has moved, is no longer served here or has a request that does not decode.
async fn try_reregister(
    node: &Arc<Node>,
    key: Key,
    feed: &Feed,
    excluded: Option<id::Endpoint>,
) -> bool {
    let state = node.releases.state();
    let Some(service) = state.service(key.service) else {
        return false;
    };
    let Ok(request) = coap::decode(&feed.request) else {
        return true;
    };
    let deadline = Instant::now() + REGISTER_TIMEOUT;
    let admission = Admission::Established { excluded };
    let registered =
        feed::register_at_any_endpoint(node, service, key, &request, admission, deadline).await;
    let registration = match registered {
        Ok(registration) if coap::observe(&registration.answer).is_some() => registration,
        _ => return false,
    };
    let (endpoint, endpoint_token) = (registration.endpoint, registration.endpoint_token);
    let replaced = node.flows.with(key, |record| {
        if !record.is_owned {
            return None;
        }
        let feed = record.feed_mut(feed.token)?;
        let previous = feed
            .endpoint_token
            .replace(endpoint_token)
            .map(|endpoint_token| (feed.endpoint, endpoint_token));
        feed.endpoint = endpoint;
        Some(previous)
    });
    let Some(Some(previous)) = replaced else {
        // The caller has ended the feed or another VM owns it now, so the new registration
        // has no use.
        feed::end_registration(node, key.service, endpoint, endpoint_token);
        return true;
    };
    if let Some((endpoint, endpoint_token)) = previous {
        feed::end_registration(node, key.service, endpoint, endpoint_token);
    }
    counter!("ragwortbeam_feeds_moved_total").increment(1);
    info!("event=feed_moved caller={} endpoint={endpoint}", key.caller);
    node.replicas.push(key);
    handle_notification(node, key, endpoint_token, registration.answer);
    true
}
