//! Demand that swings from 1x to 6x within 2 s and back.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use ragwortbeam::verdict::Verdict;
use rand::RngExt;
use tokio::time::sleep;

use crate::caller::Caller;
use crate::fabric::Faults;
use crate::history::Event;
use crate::server::ServiceTimes;
use crate::world::{World, WorldConfig};

const LEDGER: usize = 0;

/// Requests a second at 1x. Five servers of two slots serve about 560 a second, so the
/// crest asks for a sixth more than there is.
const BASE_RATE: f64 = 110.0;

/// Demand at the crest, as a multiple of the base.
const CREST: f64 = 6.0;

/// When the demand begins to rise.
const RISE_AT: f64 = 4.0;

/// Time of the rise, and of the fall.
const SWING: f64 = 2.0;

/// Time at the crest.
const HOLD: f64 = 6.0;

/// Time after the fall.
const AFTER: f64 = 8.0;

/// Callers that send in turn, so that no single flow is ordered by its own answers.
const CALLERS: usize = 200;

/// Latencies told apart, microseconds.
const MAX_LATENCY_US: u64 = 120_000_000;

/// One request's outcome.
#[derive(Clone, Copy, Debug)]
struct Sample {
    sent_s: f64,
    latency: Option<Duration>,
}

/// Measures one policy and prints its figures.
pub async fn run(endpoint_choice: &str) -> std::io::Result<bool> {
    let world = World::start(WorldConfig {
        slots: 2,
        times: ServiceTimes {
            ordinary: Duration::from_millis(10),
            straggler_share: 0.02,
            straggler: Duration::from_millis(400),
        },
        faults: Faults {
            loss: 0.0,
            duplication: 0.0,
            ..Faults::default()
        },
        limits: serde_json::json!({"endpoint_choice": endpoint_choice}),
        ..WorldConfig::default()
    })
    .await?;
    let mut callers = Vec::with_capacity(CALLERS);
    for _ in 0..CALLERS {
        callers.push(world.caller(LEDGER).await?);
    }
    let samples = offer(&callers).await;
    // The last requests end within their deadline.
    sleep(Duration::from_secs(16)).await;
    world.close();
    report(endpoint_choice, &world, &samples.lock().unwrap());
    Ok(true)
}

/// Returns the demand at a time, as a multiple of the base.
fn demand(at_s: f64) -> f64 {
    let rise = ((at_s - RISE_AT) / SWING).clamp(0.0, 1.0);
    let fall = ((at_s - RISE_AT - SWING - HOLD) / SWING).clamp(0.0, 1.0);
    1.0 + (CREST - 1.0) * (rise - fall)
}

/// Sends requests as the demand says, whether earlier ones are answered or not.
async fn offer(callers: &[Arc<Caller>]) -> Arc<Mutex<Vec<Sample>>> {
    let samples = Arc::new(Mutex::new(Vec::new()));
    let begun = Instant::now();
    let end_s = RISE_AT + SWING + HOLD + SWING + AFTER;
    let mut next = 0;
    let mut at_s = 0.0;
    while at_s < end_s {
        let ahead = Duration::from_secs_f64(at_s).saturating_sub(begun.elapsed());
        sleep(ahead).await;
        let caller = callers[next % callers.len()].clone();
        next += 1;
        let (samples, sent_s) = (samples.clone(), at_s);
        tokio::spawn(async move {
            let latency = caller.post().await;
            samples.lock().unwrap().push(Sample { sent_s, latency });
        });
        let gap: f64 = -rand::rng().random_range(f64::EPSILON..1.0f64).ln();
        at_s += gap / (BASE_RATE * demand(at_s));
    }
    samples
}

fn report(policy: &str, world: &World, samples: &[Sample]) {
    let crest_end = RISE_AT + SWING + HOLD;
    let phases = [
        ("before", 0.0, RISE_AT),
        ("crest", RISE_AT + SWING, crest_end),
        ("after", crest_end + SWING, f64::INFINITY),
    ];
    for (name, from, to) in phases {
        let phase = samples
            .iter()
            .filter(|sample| (from..to).contains(&sample.sent_s));
        let phase: Vec<&Sample> = phase.collect();
        let mut histogram =
            Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_US, 3).expect("the bounds are valid");
        for latency in phase.iter().filter_map(|sample| sample.latency) {
            histogram.saturating_record(latency.as_micros() as u64);
        }
        let quantile = |share| histogram.value_at_quantile(share) as f64 / 1000.0;
        println!(
            "policy={policy} phase={name} sent={} served={} p50_ms={:.1} p99_ms={:.1} p999_ms={:.1}",
            phase.len(),
            histogram.len(),
            quantile(0.5),
            quantile(0.99),
            quantile(0.999)
        );
    }
    let entries = world.history.entries();
    let refused = entries.iter().filter(
        |entry| matches!(entry.event, Event::Answered { verdict, .. } if verdict != Verdict::Ran),
    );
    let sheds: u64 = world.servers[LEDGER]
        .iter()
        .map(|server| server.shed_requests())
        .sum();
    let executed = entries
        .iter()
        .filter(|entry| matches!(entry.event, Event::Executed { .. }));
    println!(
        "policy={policy} refused={} sheds={sheds} executed={}",
        refused.count(),
        executed.count()
    );
}
