//! Moves of feeds to other endpoints.

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

/// Pause between attempts to register a feed again.
const REGISTER_PAUSE: Duration = Duration::from_millis(250);

/// Longest pause between such attempts.
const MAX_REGISTER_PAUSE: Duration = Duration::from_secs(2);

/// Takes a notification that arrived with this token from an endpoint: forwards it, or
/// moves the feed that the endpoint has ended with it.
///
/// Returns whether a feed has the token; the endpoint is told to stop otherwise.
pub fn notified(node: &Arc<Node>, key: Key, leg: u64, packet: Packet) -> bool {
    match notify::forward(node, key, leg, packet) {
        Outcome::Forwarded => true,
        Outcome::Ended(token) => {
            leave_endpoint(node, key, leg, token);
            true
        }
        Outcome::Unknown => false,
    }
}

/// Moves a feed whose endpoint has ended it.
fn leave_endpoint(node: &Arc<Node>, key: Key, leg: u64, token: Token) {
    let left = node.flows.with(key, |record| {
        let feed = record.feed_by_endpoint_token_mut(leg)?;
        feed.endpoint_token = None;
        Some(feed.endpoint)
    });
    let node = node.clone();
    tokio::spawn(async move {
        register_again(&node, key, token, left.flatten()).await;
    });
}

/// Registers a feed at an endpoint other than `avoided` and forwards its answer to the
/// caller as a notification; the earlier registration ends only then. Tries for as long
/// as this VM serves the feed.
pub async fn register_again(
    node: &Arc<Node>,
    key: Key,
    token: Token,
    avoided: Option<id::Endpoint>,
) {
    let mut pause = REGISTER_PAUSE;
    loop {
        let feed = node.flows.with(key, |record| {
            let is_owned = record.is_owned;
            record.feed_mut(token).filter(|_| is_owned).cloned()
        });
        let Some(feed) = feed.flatten() else {
            return;
        };
        if try_register_again(node, key, &feed, avoided).await {
            return;
        }
        warn!("event=feed_without_endpoint caller={}", key.caller);
        sleep(pause).await;
        pause = (pause * 2).min(MAX_REGISTER_PAUSE);
    }
}

async fn try_register_again(
    node: &Arc<Node>,
    key: Key,
    feed: &Feed,
    avoided: Option<id::Endpoint>,
) -> bool {
    let state = node.releases.state();
    let Some(service) = state.service(key.service) else {
        return false;
    };
    let Ok(request) = coap::decode(&feed.request) else {
        return true;
    };
    let deadline = Instant::now() + REGISTER_TIMEOUT;
    let admission = Admission::Established { avoided };
    let registered =
        feed::register_anywhere(node, service, key, &request, admission, deadline).await;
    let registration = match registered {
        Ok(registration) if coap::observe(&registration.answer).is_some() => registration,
        _ => return false,
    };
    let (endpoint, leg) = (registration.endpoint, registration.leg);
    let replaced = node.flows.with(key, |record| {
        if !record.is_owned {
            return None;
        }
        let feed = record.feed_mut(feed.token)?;
        let before = feed
            .endpoint_token
            .replace(leg)
            .map(|leg| (feed.endpoint, leg));
        feed.endpoint = endpoint;
        Some(before)
    });
    let Some(Some(before)) = replaced else {
        // The caller has ended the feed, or another VM serves it by now.
        feed::end_leg(node, key.service, endpoint, leg);
        return true;
    };
    if let Some((endpoint, leg)) = before {
        feed::end_leg(node, key.service, endpoint, leg);
    }
    counter!("ragwortbeam_feeds_moved_total").increment(1);
    info!("event=feed_moved caller={} endpoint={endpoint}", key.caller);
    node.replicas.push(key);
    notified(node, key, leg, registration.answer);
    true
}
