//! Log output: one line of key=value pairs for each event.

use std::sync::Arc;

use spdlog::formatter::{PatternFormatter, pattern};
use spdlog::sink::{Sink, StdStreamSink};
use spdlog::{LevelFilter, Logger};

/// Sends log lines to the standard error stream.
///
/// # Panics
///
/// Panics when the logger cannot be built, which no input can cause.
pub fn install() {
    let formatter = PatternFormatter::new(pattern!(
        "time={year}-{month}-{day}T{hour}:{minute}:{second}.{millisecond} level={level} {payload}{eol}"
    ));
    let sink = StdStreamSink::builder()
        .stderr()
        .formatter(formatter)
        .build()
        .expect("the sink has no fallible part");
    let sink: Arc<dyn Sink> = Arc::new(sink);
    let logger = Logger::builder()
        .sink(sink)
        .level_filter(LevelFilter::All)
        .flush_level_filter(LevelFilter::All)
        .build()
        .expect("the logger has one sink");
    spdlog::set_default_logger(Arc::new(logger));
}
