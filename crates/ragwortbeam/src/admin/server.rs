//! HTTP server for metrics, status, readiness and liveness.

use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::get;
use axum::{Json, Router};
use ragwortbeam_base::telemetry;
use spdlog::warn;
use tokio::net::TcpListener;

use super::Report;
use crate::prelude::*;

/// Serves HTTP on a bound listener until the process ends or the listener fails.
pub async fn serve(node: Arc<Node>, listener: TcpListener) {
    let router = Router::new()
        .route("/metrics", get(|| async { telemetry::render() }))
        .route("/status", get(status))
        .route("/ready", get(ready))
        .route("/live", get(|| async { "live" }))
        .with_state(node);
    if let Err(error) = axum::serve(listener, router).await {
        warn!("event=admin_failed error=\"{error}\"");
    }
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
