//! Log output: one line of key=value pairs per event, written to the standard output.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use metrics::counter;
use spdlog::formatter::{PatternFormatter, pattern};
use spdlog::sink::{AsyncPoolSink, OverflowPolicy, Sink, StdStreamSink};
use spdlog::{ErrorHandler, LevelFilter, Logger, ThreadPool};

use crate::clock;

/// Maximum number of queued log lines; further lines are dropped and counted.
const QUEUE_LINES: usize = 1024;

/// Installs a logger that writes to the standard output from a separate thread.
///
/// A stalled reader of the output never blocks the process: once 1024 lines are queued, further
/// ones are dropped and counted as `ragwortbeam_log_lines_dropped_total`.
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

/// Blocks until all lines logged so far are written.
pub fn flush() {
    spdlog::default_logger().flush();
}

/// Longest excerpt of a text from outside the process in a log line, characters.
const MAX_EXCERPT_CHARS: usize = 160;

/// Returns the beginning of a text that may have content from outside the process, for a quoted
/// value of a log line: it neither ends the line nor makes it long.
pub fn excerpt(text: &str) -> String {
    let mut excerpt: String = text
        .chars()
        .take(MAX_EXCERPT_CHARS)
        .flat_map(char::escape_debug)
        .collect();
    if text.chars().nth(MAX_EXCERPT_CHARS).is_some() {
        excerpt.push_str("...");
    }
    excerpt
}

/// Limits the number of lines that one kind of event may write in a second.
#[derive(Debug)]
pub struct RateLimiter {
    lines_per_second: u64,
    second: AtomicU64,
    used: AtomicU64,
    suppressed: AtomicU64,
}

impl RateLimiter {
    /// Returns a limiter that allows `lines_per_second` lines a second.
    pub const fn new(lines_per_second: u64) -> Self {
        Self {
            lines_per_second,
            second: AtomicU64::new(0),
            used: AtomicU64::new(0),
            suppressed: AtomicU64::new(0),
        }
    }

    /// Returns `None` if the limit is reached, so that the line has to be suppressed. Otherwise the
    /// line may be written, and the result is the number of lines suppressed since the last allowed
    /// one.
    pub fn try_acquire(&self) -> Option<u64> {
        let second = clock::monotonic_ms() / Duration::from_secs(1).as_millis() as u64;
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.used.store(0, Ordering::Relaxed);
        }
        if self.used.fetch_add(1, Ordering::Relaxed) < self.lines_per_second {
            return Some(self.suppressed.swap(0, Ordering::Relaxed));
        }
        self.suppressed.fetch_add(1, Ordering::Relaxed);
        None
    }
}
