//! HTTP server for metrics, status, readiness and liveness.

use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::get;
use axum::{Json, Router};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use spdlog::warn;
use std::sync::OnceLock;
use tokio::net::TcpListener;

use super::Report;
use crate::prelude::*;

static METRICS: OnceLock<PrometheusHandle> = OnceLock::new();

/// Installs the process-wide metrics recorder; further calls do nothing.
pub fn install_metrics() {
    METRICS.get_or_init(|| {
        let recorder = PrometheusBuilder::new().build_recorder();
        let handle = recorder.handle();
        // Another recorder may be installed by a test; its metrics stay its own.
        let _ = metrics::set_global_recorder(recorder);
        handle
    });
}

/// Serves on a bound listener for the life of the node.
pub async fn serve(node: Arc<Node>, listener: TcpListener) {
    let router = Router::new()
        .route("/metrics", get(metrics_text))
        .route("/status", get(status))
        .route("/ready", get(ready))
        .route("/live", get(|| async { "live" }))
        .with_state(node);
    if let Err(error) = axum::serve(listener, router).await {
        warn!("event=admin_failed error=\"{error}\"");
    }
}

async fn metrics_text() -> String {
    METRICS
        .get()
        .map_or_else(String::new, PrometheusHandle::render)
}

async fn status(State(node): State<Arc<Node>>) -> Json<Report> {
    Json(Report::of(&node))
}

async fn ready(State(node): State<Arc<Node>>) -> (StatusCode, &'static str) {
    if node.is_ready() {
        (StatusCode::OK, "ready")
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "not ready")
    }
}
