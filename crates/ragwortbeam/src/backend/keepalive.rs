//! Detects links that have gone silent and moves their feeds.

use std::sync::atomic::Ordering;

use metrics::counter;
use spdlog::warn;
use tokio::time::interval;

use super::Link;
use crate::clock;
use crate::dispatch::relocation;
use crate::flow::Key;
use crate::prelude::*;

/// How often a link with feeds is looked at.
const INTERVAL: Duration = Duration::from_secs(1);

/// Silence after which the endpoint is pinged, milliseconds.
const PING_AFTER_MS: u64 = 1000;

/// Silence after which the link counts as dead, milliseconds.
const DEAD_AFTER_MS: u64 = 4000;

/// Watches one link until it is closed.
pub async fn run(node: Arc<Node>, service: id::Service, link: Arc<Link>) {
    let mut ticks = interval(INTERVAL);
    let mut last_tick_ms = clock::monotonic_ms();
    loop {
        ticks.tick().await;
        let now_ms = clock::monotonic_ms();
        let was_paused = now_ms - last_tick_ms > 2 * INTERVAL.as_millis() as u64;
        last_tick_ms = now_ms;
        let legs = link.legs();
        if legs.is_empty() {
            continue;
        }
        move_legs(&node, link.overdue(now_ms), "overdue");
        let silence_ms = now_ms.saturating_sub(link.heard_at_ms.load(Ordering::Relaxed));
        let is_refused = link.is_refused.load(Ordering::Relaxed);
        if (silence_ms >= DEAD_AFTER_MS || is_refused) && !was_paused {
            warn!(
                "event=link_silent service={service} endpoint={}",
                link.endpoint
            );
            // Closed first, so that the feeds register from a fresh port. Closing aborts
            // this task at its next await, and there is none.
            node.links.close(link.endpoint);
            move_legs(&node, legs, "silent");
            return;
        }
        if silence_ms >= PING_AFTER_MS {
            link.ping();
        }
    }
}

/// Registers feeds again, at any endpoint.
fn move_legs(node: &Arc<Node>, legs: Vec<(u64, Key)>, cause: &'static str) {
    for (leg, key) in legs {
        let token = node.flows.with(key, |record| {
            record
                .feed_by_endpoint_token_mut(leg)
                .map(|feed| feed.token)
        });
        let Some(Some(token)) = token else {
            continue;
        };
        counter!("ragwortbeam_feeds_reestablished_total", "cause" => cause).increment(1);
        let node = node.clone();
        tokio::spawn(async move {
            relocation::register_again(&node, key, token, None).await;
        });
    }
}
