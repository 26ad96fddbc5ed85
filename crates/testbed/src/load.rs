//! Load that simulated callers put on the services of a world.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use hdrhistogram::Histogram;
use rand::RngExt;
use tokio::time::sleep;

use crate::caller::Caller;
use crate::world::World;

/// Index of the `ledger` service in [`crate::world::SERVICES`].
const LEDGER_SERVICE: usize = 0;
/// Index of the `certificates` service in [`crate::world::SERVICES`].
const CERTIFICATES_SERVICE: usize = 1;

/// Upper bound of the latency histograms, microseconds; longer latencies are recorded as this one.
const MAX_LATENCY_US: u64 = 120_000_000;

/// Number of callers and flows, and the rate at which each caller sends requests.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Number of feeds kept open, each by a caller of its own.
    pub feeds: usize,
    /// Number of datagram flows.
    pub datagram_flows: usize,
    /// Number of callers of the ledger, each of which posts one record at a time.
    pub posting_callers: usize,
    /// Number of callers of the certificates service, each of which fetches one at a time.
    pub fetching_callers: usize,
    /// Mean pause between two requests of a posting or fetching caller.
    pub pause: Duration,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            feeds: 40,
            datagram_flows: 20,
            posting_callers: 16,
            fetching_callers: 8,
            pause: Duration::from_millis(60),
        }
    }
}

/// Latencies of requests that ran and were answered, microseconds.
#[derive(Debug)]
pub struct Latencies {
    /// Latencies of posted records.
    pub posts: Mutex<Histogram<u64>>,
    /// Latencies of fetched certificates, over all blocks and attempts.
    pub fetches: Mutex<Histogram<u64>>,
}

impl Latencies {
    fn new() -> Self {
        let empty = || Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("valid bounds");
        Self {
            posts: Mutex::new(empty()),
            fetches: Mutex::new(empty()),
        }
    }
}

/// Starts the callers and flows, which run until the world is closed; returns the latencies that
/// they record.
pub async fn start(world: &World, load: Load) -> std::io::Result<Arc<Latencies>> {
    let latencies = Arc::new(Latencies::new());
    for _ in 0..load.feeds {
        let caller = world.caller(LEDGER_SERVICE).await?;
        world.spawn(async move { caller.observe().await });
    }
    for _ in 0..load.datagram_flows {
        world.start_datagram_flow();
    }
    for _ in 0..load.posting_callers {
        let caller = world.caller(LEDGER_SERVICE).await?;
        let latencies = latencies.clone();
        world.spawn(async move {
            loop {
                let elapsed = caller.post().await;
                record_latency(&latencies.posts, elapsed);
                pause_before_next_request(load.pause).await;
            }
        });
    }
    for _ in 0..load.fetching_callers {
        let caller: Arc<Caller> = world.caller(CERTIFICATES_SERVICE).await?;
        let latencies = latencies.clone();
        world.spawn(async move {
            loop {
                let elapsed = caller.fetch().await;
                record_latency(&latencies.fetches, elapsed);
                pause_before_next_request(load.pause).await;
            }
        });
    }
    Ok(latencies)
}

fn record_latency(histogram: &Mutex<Histogram<u64>>, elapsed: Option<Duration>) {
    if let Some(elapsed) = elapsed {
        let mut histogram = histogram.lock().unwrap();
        histogram.saturating_record(elapsed.as_micros() as u64);
    }
}

/// Waits for 0.5 to 1.5 times the mean pause.
async fn pause_before_next_request(mean: Duration) {
    let factor = rand::rng().random_range(0.5..1.5);
    sleep(mean.mul_f64(factor)).await;
}
