//! The process-wide metrics recorder.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

static METRICS: OnceLock<PrometheusHandle> = OnceLock::new();

/// Installs the recorder; further calls do nothing.
pub fn install() {
    METRICS.get_or_init(|| {
        let recorder = PrometheusBuilder::new().build_recorder();
        let handle = recorder.handle();
        // Another recorder may be installed by a test; its metrics stay its own.
        let _ = metrics::set_global_recorder(recorder);
        handle
    });
}

/// Returns all metrics as text, empty before [`install`].
pub fn render() -> String {
    METRICS
        .get()
        .map_or_else(String::new, PrometheusHandle::render)
}

/// Drops samples that histograms keep beyond their window; called about once a second.
pub fn run_upkeep() {
    if let Some(handle) = METRICS.get() {
        handle.run_upkeep();
    }
}
