//! Measures latencies while demand rises from 1x to 6x within 2 s and falls again, under one
//! endpoint choice policy.

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

/// Index of the `ledger` service in [`crate::world::SERVICES`].
const LEDGER_SERVICE: usize = 0;

/// Requests a second at 1x. Five servers with two slots each serve about 560 a second, so
/// demand at the peak exceeds their capacity by a sixth.
const BASE_REQUESTS_PER_S: f64 = 110.0;

/// Demand at the peak, as a multiple of the base.
const PEAK_FACTOR: f64 = 6.0;

/// Time at which the demand begins to rise, seconds after the start.
const RAMP_START_S: f64 = 4.0;

/// Duration of the rise and of the fall, seconds.
const RAMP_S: f64 = 2.0;

/// Duration of the peak, seconds.
const PEAK_S: f64 = 6.0;

/// Time under base demand after the fall, seconds.
const RECOVERY_S: f64 = 8.0;

/// Callers that send requests in rotation, so that the responses of a flow do not determine
/// the order of its requests.
const CALLERS: usize = 200;

/// Upper bound of the latency histogram, microseconds; longer latencies are recorded as this one.
const MAX_LATENCY_US: u64 = 120_000_000;

/// Send time and latency of one request.
#[derive(Clone, Copy, Debug)]
struct Sample {
    sent_at_s: f64,
    /// `None` when the request was refused or not answered.
    latency: Option<Duration>,
}

/// Runs the load under one endpoint choice policy and prints the latencies by phase. Always returns
/// true, as no latency counts as a failure.
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
        callers.push(world.caller(LEDGER_SERVICE).await?);
    }
    let samples = send_open_loop(&callers).await;
    // The default request deadline is 15 s, so every request is answered or past it after this.
    sleep(Duration::from_secs(16)).await;
    world.close();
    report(endpoint_choice, &world, &samples.lock().unwrap());
    Ok(true)
}

/// Returns the demand at a time since the start, as a multiple of the base.
fn demand_factor(at_s: f64) -> f64 {
    let rise = ((at_s - RAMP_START_S) / RAMP_S).clamp(0.0, 1.0);
    let fall = ((at_s - RAMP_START_S - RAMP_S - PEAK_S) / RAMP_S).clamp(0.0, 1.0);
    1.0 + (PEAK_FACTOR - 1.0) * (rise - fall)
}

/// Sends requests as a Poisson process at the rate of the demand, without waiting for the
/// responses to earlier ones.
async fn send_open_loop(callers: &[Arc<Caller>]) -> Arc<Mutex<Vec<Sample>>> {
    let samples = Arc::new(Mutex::new(Vec::new()));
    let started_at = Instant::now();
    let end_s = RAMP_START_S + RAMP_S + PEAK_S + RAMP_S + RECOVERY_S;
    let mut next = 0;
    let mut at_s = 0.0;
    while at_s < end_s {
        let wait = Duration::from_secs_f64(at_s).saturating_sub(started_at.elapsed());
        sleep(wait).await;
        let caller = callers[next % callers.len()].clone();
        next += 1;
        let (samples, sent_at_s) = (samples.clone(), at_s);
        tokio::spawn(async move {
            let latency = caller.post().await;
            samples.lock().unwrap().push(Sample { sent_at_s, latency });
        });
        let unit_exponential: f64 = -rand::rng().random_range(f64::EPSILON..1.0f64).ln();
        at_s += unit_exponential / (BASE_REQUESTS_PER_S * demand_factor(at_s));
    }
    samples
}

fn report(policy: &str, world: &World, samples: &[Sample]) {
    let peak_end_s = RAMP_START_S + RAMP_S + PEAK_S;
    let phases = [
        ("before", 0.0, RAMP_START_S),
        ("crest", RAMP_START_S + RAMP_S, peak_end_s),
        ("after", peak_end_s + RAMP_S, f64::INFINITY),
    ];
    for (name, start_s, end_s) in phases {
        let phase = samples
            .iter()
            .filter(|sample| (start_s..end_s).contains(&sample.sent_at_s));
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
    let shed_requests: u64 = world.servers[LEDGER_SERVICE]
        .iter()
        .map(|server| server.shed_requests())
        .sum();
    let executed = entries
        .iter()
        .filter(|entry| matches!(entry.event, Event::Executed { .. }));
    println!(
        "policy={policy} refused={} shed_requests={shed_requests} executed={}",
        refused.count(),
        executed.count()
    );
}
