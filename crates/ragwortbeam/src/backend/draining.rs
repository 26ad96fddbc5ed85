//! Moves feeds away from endpoints that are draining or withdrawn.

use tokio::time::sleep;

use crate::dispatch::relocation;
use crate::prelude::*;
use crate::release::State;

/// Watches the releases and drains endpoints for the life of the node.
pub async fn run(node: Arc<Node>) {
    let mut releases = node.releases.watch();
    while releases.changed().await.is_ok() {
        let state = releases.borrow_and_update().clone();
        for endpoint in node.links.endpoints() {
            if !is_open(&state, endpoint) {
                tokio::spawn(drain_endpoint(node.clone(), endpoint));
            }
        }
    }
}

fn is_open(state: &State, endpoint: id::Endpoint) -> bool {
    let mut entries = state
        .services()
        .filter_map(|service| service.endpoint(endpoint));
    entries.any(|endpoint| !endpoint.draining)
}

/// Reregisters the endpoint's feeds at other endpoints. If the endpoint is withdrawn, closes
/// its link after the request deadline, when its requests in progress have ended.
async fn drain_endpoint(node: Arc<Node>, endpoint: id::Endpoint) {
    let has_feed_there = |record: &crate::flow::Record| {
        let mut feeds = record
            .coap_state
            .iter()
            .flat_map(|coap_state| &coap_state.feeds);
        record.is_owned && feeds.any(|feed| feed.endpoint == endpoint)
    };
    for key in node.flows.keys(has_feed_there) {
        let tokens = node.flows.with(key, |record| {
            let feeds = record
                .coap_state
                .iter()
                .flat_map(|coap_state| &coap_state.feeds);
            let affected = feeds.filter(|feed| feed.endpoint == endpoint);
            affected.map(|feed| feed.token).collect::<Vec<_>>()
        });
        for token in tokens.unwrap_or_default() {
            let node = node.clone();
            tokio::spawn(async move {
                relocation::reregister(&node, key, token, Some(endpoint)).await;
            });
        }
    }
    sleep(node.settings.limits.request_deadline).await;
    let state = node.releases.state();
    let is_listed = state
        .services()
        .any(|service| service.endpoint(endpoint).is_some());
    if !is_listed {
        node.links.close(endpoint);
    }
}
