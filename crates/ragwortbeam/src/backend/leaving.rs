//! Moves feeds away from endpoints that leave.

use tokio::time::sleep;

use crate::dispatch::relocation;
use crate::prelude::*;
use crate::release::State;

/// Follows the releases for the life of the node.
pub async fn run(node: Arc<Node>) {
    let mut releases = node.releases.watch();
    while releases.changed().await.is_ok() {
        let state = releases.borrow_and_update().clone();
        for endpoint in node.links.endpoints() {
            if !is_open(&state, endpoint) {
                tokio::spawn(vacate(node.clone(), endpoint));
            }
        }
    }
}

fn is_open(state: &State, endpoint: id::Endpoint) -> bool {
    let mut found = state
        .services()
        .filter_map(|service| service.endpoint(endpoint));
    found.any(|endpoint| !endpoint.draining)
}

/// Registers the feeds of an endpoint elsewhere and closes a withdrawn one's link once
/// its requests in progress have ended.
async fn vacate(node: Arc<Node>, endpoint: id::Endpoint) {
    let selected = |record: &crate::flow::Record| {
        let mut feeds = record
            .coap_state
            .iter()
            .flat_map(|coap_state| &coap_state.feeds);
        record.is_owned && feeds.any(|feed| feed.endpoint == endpoint)
    };
    for key in node.flows.keys(selected) {
        let tokens = node.flows.with(key, |record| {
            let feeds = record
                .coap_state
                .iter()
                .flat_map(|coap_state| &coap_state.feeds);
            let leaving = feeds.filter(|feed| feed.endpoint == endpoint);
            leaving.map(|feed| feed.token).collect::<Vec<_>>()
        });
        for token in tokens.unwrap_or_default() {
            let node = node.clone();
            tokio::spawn(async move {
                relocation::register_again(&node, key, token, Some(endpoint)).await;
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
