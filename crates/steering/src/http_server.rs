//! HTTP handlers: readiness checks of the network fabric, which distributes packets to the VMs that
//! are ready, metrics and status for operators, and the catalog for other VMs.

use std::sync::atomic::{AtomicBool, Ordering};

use axum::Router;
use axum::extract::{RawQuery, State};
use axum::http::StatusCode;
use axum::routing::get;
use prost::Message;
use ragwortbeam_base::telemetry;
use spdlog::warn;
use tokio::net::TcpListener;

use crate::catalog::Revision;
use crate::mesh::PeerLink;
use crate::prelude::*;

/// Part of the readiness that depends on neither the catalog nor the other VMs: whether this VM is stopping; it is
/// not by default.
#[derive(Debug, Default)]
pub struct Readiness {
    is_stopping: AtomicBool,
}

impl Readiness {
    /// Marks the VM as stopping, so that its readiness check fails from now on.
    pub fn stop(&self) {
        self.is_stopping.store(true, Ordering::Release);
    }
}

/// State that the HTTP handlers share.
#[derive(Clone)]
pub struct HandlerState {
    /// Tells whether this VM is stopping.
    pub readiness: Arc<Readiness>,
    /// Catalog of this VM.
    pub catalog: Arc<Mutex<Catalog>>,
    /// Link to the other VMs.
    pub link: Arc<PeerLink>,
}

/// Serves `/ready` until the process ends. The status is 200 when a catalog is loaded, the VM is
/// not stopping and its data centre has not handed its callers over, else 503 with the reason.
pub async fn serve_ready(state: HandlerState, listener: TcpListener) {
    let router = Router::new().route("/ready", get(ready)).with_state(state);
    serve(router, listener, "ready").await;
}

/// Serves `/catalog` to other VMs until the process ends. The query has the number `after` and the
/// `era` of the revision after which changes are requested, and the `version` of the configuration
/// that the other VM has; without them the whole catalog is requested.
pub async fn serve_peers(state: HandlerState, listener: TcpListener) {
    let router = Router::new()
        .route("/catalog", get(catalog))
        .with_state(state);
    serve(router, listener, "peers").await;
}

/// Serves `/metrics` and `/status` until the process ends.
pub async fn serve_metrics(state: HandlerState, listener: TcpListener) {
    let router = Router::new()
        .route("/metrics", get(|| async { telemetry::render() }))
        .route("/status", get(status))
        .with_state(state);
    serve(router, listener, "metrics").await;
}

async fn serve(router: Router, listener: TcpListener, name: &str) {
    if let Err(error) = axum::serve(listener, router).await {
        warn!("event=listener_failed name={name} error=\"{error}\"");
    }
}

async fn ready(State(state): State<HandlerState>) -> (StatusCode, &'static str) {
    let obstacle = if state.readiness.is_stopping.load(Ordering::Acquire) {
        "stopping"
    } else if !state.catalog.lock().unwrap().is_loaded() {
        "no catalog"
    } else if state.link.is_handed_over(Moment::now()) {
        "callers handed over"
    } else {
        return (StatusCode::OK, "ready");
    };
    (StatusCode::SERVICE_UNAVAILABLE, obstacle)
}

async fn catalog(State(state): State<HandlerState>, RawQuery(query): RawQuery) -> Vec<u8> {
    let query = query.unwrap_or_default();
    let parameter = |name| parameter(&query, name).unwrap_or(0);
    let after = Revision::new(parameter("era"), parameter("after"));
    let answer = state.link.answer_pull(after, parameter("version"));
    answer.encode_to_vec()
}

/// Returns a number in a query; `None` when it is missing or not a number.
fn parameter(query: &str, name: &str) -> Option<u64> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name)?.1.parse().ok()
}

async fn status(State(state): State<HandlerState>) -> String {
    let now = Moment::now();
    let data_centre = state.link.data_centre_state(now).unwrap_or_default();
    let catalog = state.catalog.lock().unwrap();
    let members = state.link.members.lock().unwrap();
    let evacuated: Vec<&str> = catalog.evacuations().ordered().map(|it| &**it).collect();
    let evacuated = if evacuated.is_empty() {
        "-".to_owned()
    } else {
        evacuated.join(",")
    };
    format!(
        "config={} revision={} catalog_age_ms={} endpoints={} vms_here={} rank={} known_vms={} able_vms={} is_handed_over={} evacuated={} era={}\n",
        catalog.configuration().version,
        catalog.revision().number,
        catalog.age(now).as_millis(),
        catalog.endpoints().count(),
        members.local_vm_count(now),
        members.rank(now),
        data_centre.census.known,
        data_centre.census.able,
        data_centre.is_handed_over,
        evacuated,
        catalog.revision().era,
    )
}
