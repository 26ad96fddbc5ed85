//! HTTP towards the fabric, operators and other VMs: readiness, metrics, status, catalog.

use std::sync::atomic::{AtomicBool, Ordering};

use axum::Router;
use axum::extract::{RawQuery, State};
use axum::http::StatusCode;
use axum::routing::get;
use prost::Message;
use ragwortbeam_base::telemetry;
use spdlog::warn;
use tokio::net::TcpListener;

use crate::mesh::PeerLink;
use crate::prelude::*;

/// Whether this VM can steer packets.
#[derive(Debug, Default)]
pub struct Readiness {
    is_stopping: AtomicBool,
}

impl Readiness {
    /// Marks the VM as stopping.
    pub fn stop(&self) {
        self.is_stopping.store(true, Ordering::Release);
    }
}

/// What the handlers need.
#[derive(Clone)]
pub struct Parts {
    /// Readiness.
    pub readiness: Arc<Readiness>,
    /// Catalog.
    pub catalog: Arc<Mutex<Catalog>>,
    /// Mesh.
    pub link: Arc<PeerLink>,
}

/// Serves the readiness check for the life of the process.
pub async fn serve_ready(parts: Parts, listener: TcpListener) {
    let router = Router::new().route("/ready", get(ready)).with_state(parts);
    serve(router, listener, "ready").await;
}

/// Serves other VMs for the life of the process.
pub async fn serve_peers(parts: Parts, listener: TcpListener) {
    let router = Router::new()
        .route("/catalog", get(catalog))
        .with_state(parts);
    serve(router, listener, "peers").await;
}

/// Serves metrics and status for the life of the process.
pub async fn serve_metrics(parts: Parts, listener: TcpListener) {
    let router = Router::new()
        .route("/metrics", get(|| async { telemetry::render() }))
        .route("/status", get(status))
        .with_state(parts);
    serve(router, listener, "metrics").await;
}

async fn serve(router: Router, listener: TcpListener, name: &str) {
    if let Err(error) = axum::serve(listener, router).await {
        warn!("event=listener_failed name={name} error=\"{error}\"");
    }
}

async fn ready(State(parts): State<Parts>) -> (StatusCode, &'static str) {
    let is_stopping = parts.readiness.is_stopping.load(Ordering::Acquire);
    if !is_stopping && parts.catalog.lock().unwrap().is_loaded() {
        (StatusCode::OK, "ready")
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "not ready")
    }
}

async fn catalog(State(parts): State<Parts>, RawQuery(query): RawQuery) -> Vec<u8> {
    let after = query
        .as_deref()
        .and_then(|query| query.strip_prefix("after="))
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    parts.link.answer_pull(after).encode_to_vec()
}

async fn status(State(parts): State<Parts>) -> String {
    let now = Moment::now();
    let catalog = parts.catalog.lock().unwrap();
    let members = parts.link.members.lock().unwrap();
    format!(
        "config={} revision={} catalog_age_ms={} endpoints={} vms_here={} rank={}\n",
        catalog.configuration().version,
        catalog.revision(),
        catalog.age(now).as_millis(),
        catalog.endpoints().count(),
        members.local_vm_count(now),
        members.rank(now),
    )
}
