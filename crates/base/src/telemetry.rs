//! Metrics recorder of the process.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

static METRICS: OnceLock<PrometheusHandle> = OnceLock::new();

/// Upper bounds of the buckets of latency histograms, seconds.
const LATENCY_BUCKETS: [f64; 12] = [
    0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0,
];

/// Installs the recorder; repeated calls have no effect.
///
/// # Panics
///
/// Panics if the list of buckets is empty, which no input can cause.
pub fn install() {
    METRICS.get_or_init(|| {
        let recorder = PrometheusBuilder::new()
            .set_buckets(&LATENCY_BUCKETS)
            .expect("the list of buckets is not empty")
            .build_recorder();
        let handle = recorder.handle();
        // A test may have installed another recorder, which then receives the metrics instead.
        let _ = metrics::set_global_recorder(recorder);
        handle
    });
}

/// Returns all metrics in the Prometheus text format, or an empty text before [`install`].
pub fn render() -> String {
    METRICS
        .get()
        .map_or_else(String::new, PrometheusHandle::render)
}

/// Adds the samples recorded since the last call to the buckets of their histograms, so that they
/// do not accumulate between two reads of the metrics; call it about once a second.
pub fn run_upkeep() {
    if let Some(handle) = METRICS.get() {
        handle.run_upkeep();
    }
}
