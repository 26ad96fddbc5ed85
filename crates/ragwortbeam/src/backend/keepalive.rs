//! Detects links whose endpoint no longer responds and moves their feeds.

use std::sync::atomic::Ordering;

use metrics::counter;
use spdlog::warn;
use tokio::time::interval;

use super::Link;
use crate::clock;
use crate::dispatch::relocation;
use crate::flow::Key;
use crate::prelude::*;

/// Interval at which a link with feeds is checked.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Time without a datagram from the endpoint after which the endpoint is pinged.
const PING_AFTER_SILENCE_MS: u64 = 1000;

/// Time without a datagram from the endpoint after which the link is closed and its feeds move.
const LINK_TIMEOUT_MS: u64 = 4000;

/// Monitors one link until it is closed.
pub async fn run(node: Arc<Node>, service: id::Service, link: Arc<Link>) {
    let mut ticks = interval(CHECK_INTERVAL);
    let mut last_tick_ms = clock::monotonic_ms();
    loop {
        ticks.tick().await;
        let now_ms = clock::monotonic_ms();
        let was_paused = now_ms - last_tick_ms > 2 * CHECK_INTERVAL.as_millis() as u64;
        last_tick_ms = now_ms;
        let feeds = link.registered_feeds();
        if feeds.is_empty() {
            continue;
        }
        reregister_feeds(&node, link.overdue_feeds(now_ms), "overdue");
        let silence_ms = now_ms.saturating_sub(link.last_received_at_ms.load(Ordering::Relaxed));
        let is_port_unreachable = link.is_port_unreachable.load(Ordering::Relaxed);
        // After a pause of this process, the endpoint's datagrams may be unread still, so the
        // silence says nothing about the endpoint.
        if (silence_ms >= LINK_TIMEOUT_MS || is_port_unreachable) && !was_paused {
            warn!(
                "event=link_lost service={service} endpoint={}",
                link.endpoint
            );
            // The link is closed first, so that the feeds register from a fresh port. Closing
            // aborts this task at its next await, and none follows.
            node.links.close(link.endpoint);
            reregister_feeds(&node, feeds, "silent");
            return;
        }
        if silence_ms >= PING_AFTER_SILENCE_MS {
            link.ping();
        }
    }
}

/// Reregisters feeds, given by their token at the endpoint and their flow, at any endpoint.
fn reregister_feeds(node: &Arc<Node>, feeds: Vec<(u64, Key)>, cause: &'static str) {
    for (endpoint_token, key) in feeds {
        let token = node.flows.with(key, |record| {
            record
                .feed_by_endpoint_token_mut(endpoint_token)
                .map(|feed| feed.token)
        });
        let Some(Some(token)) = token else {
            continue;
        };
        counter!("ragwortbeam_feeds_reestablished_total", "cause" => cause).increment(1);
        let node = node.clone();
        tokio::spawn(async move {
            relocation::reregister(&node, key, token, None).await;
        });
    }
}
