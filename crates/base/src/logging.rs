//! Log output: one line of key=value pairs for each event, on the standard output.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use metrics::counter;
use spdlog::formatter::{PatternFormatter, pattern};
use spdlog::sink::{AsyncPoolSink, OverflowPolicy, Sink, StdStreamSink};
use spdlog::{ErrorHandler, LevelFilter, Logger, ThreadPool};

use crate::clock;

/// Lines that wait for the output; further ones are dropped and counted.
const QUEUE_LINES: usize = 1024;

/// Sends log lines to the standard output from a thread of its own.
///
/// A reader of the output that stalls never blocks the process: lines beyond
/// [`QUEUE_LINES`] are dropped and counted as `ragwortbeam_log_lines_dropped_total`.
///
/// # Panics
///
/// Panics when the logger cannot be built, which no input can cause.
pub fn install() {
    let formatter = PatternFormatter::new(pattern!(
        "time={year}-{month}-{day}T{hour}:{minute}:{second}.{millisecond} level={level} {payload}{eol}"
    ));
    let output = StdStreamSink::builder()
        .stdout()
        .formatter(formatter)
        .build()
        .expect("the sink has no fallible part");
    let pool = ThreadPool::builder()
        .capacity(QUEUE_LINES.try_into().expect("the capacity is not 0"))
        .build()
        .expect("the pool has a fixed valid size");
    let queue = AsyncPoolSink::builder()
        .sink(Arc::new(output))
        .thread_pool(Arc::new(pool))
        .overflow_policy(OverflowPolicy::DropIncoming)
        .error_handler(ErrorHandler::new(|_| {
            counter!("ragwortbeam_log_lines_dropped_total").increment(1);
        }))
        .build()
        .expect("the sink has one output");
    let queue: Arc<dyn Sink> = Arc::new(queue);
    let logger = Logger::builder()
        .sink(queue)
        .level_filter(LevelFilter::All)
        .flush_level_filter(LevelFilter::All)
        .build()
        .expect("the logger has one sink");
    spdlog::set_default_logger(Arc::new(logger));
}

/// Waits until the lines logged so far are written.
pub fn flush() {
    spdlog::default_logger().flush();
}

/// Bounds the lines that one kind of event may write in a second.
#[derive(Debug)]
pub struct Budget {
    lines_per_second: u64,
    second: AtomicU64,
    used: AtomicU64,
    left_out: AtomicU64,
}

impl Budget {
    /// Returns a budget of `lines_per_second`.
    pub const fn new(lines_per_second: u64) -> Self {
        Self {
            lines_per_second,
            second: AtomicU64::new(0),
            used: AtomicU64::new(0),
            left_out: AtomicU64::new(0),
        }
    }

    /// Takes a line from the budget; returns how many lines were left out since the last
    /// one that was written, or `None` when this one has to be left out too.
    pub fn take(&self) -> Option<u64> {
        let second = clock::monotonic_ms() / Duration::from_secs(1).as_millis() as u64;
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.used.store(0, Ordering::Relaxed);
        }
        if self.used.fetch_add(1, Ordering::Relaxed) < self.lines_per_second {
            return Some(self.left_out.swap(0, Ordering::Relaxed));
        }
        self.left_out.fetch_add(1, Ordering::Relaxed);
        None
    }
}
