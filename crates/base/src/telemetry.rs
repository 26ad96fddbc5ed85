//! The process-wide metrics recorder.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

static METRICS: OnceLock<PrometheusHandle> = OnceLock::new();

/// Upper bounds of latency histograms, seconds.
const LATENCY_BUCKETS: [f64; 12] = [
    0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0,
];

/// Installs the recorder; further calls do nothing.
///
/// # Panics
///
/// Panics without buckets, which are constant.
pub fn install() {
    METRICS.get_or_init(|| {
        let recorder = PrometheusBuilder::new()
            .set_buckets(&LATENCY_BUCKETS)
            .expect("there are buckets")
            .build_recorder();
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
