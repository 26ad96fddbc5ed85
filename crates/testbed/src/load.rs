//! Callers' work of both users.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use hdrhistogram::Histogram;
use rand::RngExt;
use tokio::time::sleep;

use crate::caller::Caller;
use crate::world::World;

const LEDGER: usize = 0;
const CERTIFICATES: usize = 1;

/// Longest latency told apart, microseconds.
const MAX_LATENCY_US: u64 = 120_000_000;

/// How much work callers do.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Feeds kept open.
    pub feeds: usize,
    /// Datagram flows kept going.
    pub datagram_flows: usize,
    /// Callers that post records one after the other.
    pub posting_callers: usize,
    /// Callers that fetch certificates one after the other.
    pub fetching_callers: usize,
    /// Mean pause between two requests of a caller.
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

/// Latencies of answered requests, microseconds.
#[derive(Debug)]
pub struct Latencies {
    /// Records.
    pub posts: Mutex<Histogram<u64>>,
    /// Certificates.
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

/// Starts callers; they work until the world is closed.
pub async fn start(world: &World, load: Load) -> std::io::Result<Arc<Latencies>> {
    let latencies = Arc::new(Latencies::new());
    for _ in 0..load.feeds {
        let caller = world.caller(LEDGER).await?;
        world.spawn(async move { caller.observe().await });
    }
    for _ in 0..load.datagram_flows {
        world.start_datagram_flow();
    }
    for _ in 0..load.posting_callers {
        let caller = world.caller(LEDGER).await?;
        let latencies = latencies.clone();
        world.spawn(async move {
            loop {
                let elapsed = caller.post().await;
                record(&latencies.posts, elapsed);
                rest(load.pause).await;
            }
        });
    }
    for _ in 0..load.fetching_callers {
        let caller: Arc<Caller> = world.caller(CERTIFICATES).await?;
        let latencies = latencies.clone();
        world.spawn(async move {
            loop {
                let elapsed = caller.fetch().await;
                record(&latencies.fetches, elapsed);
                rest(load.pause).await;
            }
        });
    }
    Ok(latencies)
}

fn record(histogram: &Mutex<Histogram<u64>>, elapsed: Option<Duration>) {
    if let Some(elapsed) = elapsed {
        let mut histogram = histogram.lock().unwrap();
        histogram.saturating_record(elapsed.as_micros() as u64);
    }
}

async fn rest(mean: Duration) {
    let share = rand::rng().random_range(0.5..1.5);
    sleep(mean.mul_f64(share)).await;
}
