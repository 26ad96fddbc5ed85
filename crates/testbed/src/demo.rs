//! Demo: a data centre under load in which one VM is replaced, another is killed and a backend
//! server is drained.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use hdrhistogram::Histogram;
use ragwortbeam::verdict::Verdict;

use crate::checker::{self, Outcomes};
use crate::history::{self, Entry, Event, RequestKind};
use crate::load::{self, Load};
use crate::server::READING_MAX_AGE_S;
use crate::world::{World, WorldConfig};

/// Time within which a release has to be in force on all VMs.
const RELEASE_BOUND: Duration = Duration::from_secs(4);

/// Longest gap between two notifications of a feed: the Max-Age that callers receive.
pub const FRESHNESS: Duration = Duration::from_secs(READING_MAX_AGE_S as u64);

/// Runs the demo. Returns whether no guarantee was violated, the release was in force in time
/// and the planned stop exited with success.
pub async fn run() -> std::io::Result<bool> {
    let mut world = World::start(WorldConfig::default()).await?;
    println!("4 VMs, 8 backend servers, 2 services; callers start");
    let latencies = load::start(&world, Load::default()).await?;
    world.run_for(Duration::from_secs(3)).await;

    println!("replacing vm-0: one joins, vm-0 stops gracefully");
    world.join().await?;
    let is_graceful = AtomicBool::new(world.stop(0).await);
    world.run_for(Duration::from_secs(2)).await;

    println!("killing vm-1");
    world.kill(1).await;
    world.run_for(Duration::from_secs(5)).await;

    println!("draining a backend server of the ledger");
    let number = world.drain(0, 0);
    let propagation_time = world.wait_release(number, RELEASE_BOUND).await;
    world.run_for(Duration::from_secs(6)).await;
    world.close();

    let entries = world.history.entries();
    let outcomes = checker::check(&entries, FRESHNESS);
    print_feeds(&entries);
    print_verdicts(&entries);
    print_latency("records", &latencies.posts.lock().unwrap());
    print_latency("certificates, 4 blocks", &latencies.fetches.lock().unwrap());
    println!(
        "imbalance, ledger servers (max/mean): {:.2}",
        imbalance(&entries, &world)
    );
    match propagation_time {
        Some(time) => println!("release in force on all VMs after: {time:.0?}"),
        None => println!("release NOT in force on all VMs after {RELEASE_BOUND:?}"),
    }
    println!("reads at the platform: {}", world.platform.reads());
    println!(
        "planned stop exited with success: {}",
        is_graceful.load(Ordering::Relaxed)
    );
    print_outcomes(&outcomes);
    let has_no_violations = outcomes
        .values()
        .all(|outcome| outcome.violations.is_empty());
    Ok(has_no_violations && propagation_time.is_some() && is_graceful.load(Ordering::Relaxed))
}

/// Prints each guarantee with the number of checks and of violations, and the first five
/// violations.
pub fn print_outcomes(outcomes: &Outcomes) {
    println!("{:<24} {:>8} {:>10}", "guarantee", "checks", "violations");
    for (guarantee, outcome) in outcomes {
        println!(
            "{guarantee:<24} {:>8} {:>10}",
            outcome.checks,
            outcome.violations.len()
        );
        for violation in outcome.violations.iter().take(5) {
            println!("    {violation}");
        }
    }
}

fn print_feeds(entries: &[Entry]) {
    let feeds = checker::notification_times(entries);
    let opened = entries
        .iter()
        .filter(|entry| {
            matches!(
                entry.event,
                Event::Invoked {
                    kind: RequestKind::Feed,
                    ..
                }
            )
        })
        .count();
    let end = entries.last().map(|entry| entry.at);
    let gaps = feeds.values().map(|times| checker::longest_gap(times, end));
    let gaps: Vec<Duration> = gaps.collect();
    let interrupted = gaps.iter().filter(|gap| **gap > FRESHNESS).count();
    let longest = gaps.iter().max().copied().unwrap_or_default();
    println!("feeds opened: {opened}, interrupted: {interrupted}, longest gap: {longest:.0?}");
}

fn print_verdicts(entries: &[Entry]) {
    let mut counts: BTreeMap<String, u64> = BTreeMap::new();
    for entry in entries {
        let verdict = match &entry.event {
            Event::Answered { verdict, .. } => verdict.to_string(),
            Event::Unanswered { .. } => "unanswered".to_owned(),
            _ => continue,
        };
        *counts.entry(verdict).or_default() += 1;
    }
    counts.entry(Verdict::Ran.to_string()).or_default();
    println!("requests by verdict: {counts:?}");
}

fn print_latency(name: &str, histogram: &Histogram<u64>) {
    println!(
        "{name}: {} answered, p50 {:.1} ms, p99 {:.1} ms, max {:.1} ms",
        histogram.len(),
        ms(histogram.value_at_quantile(0.5)),
        ms(histogram.value_at_quantile(0.99)),
        ms(histogram.max())
    );
}

fn ms(micros: u64) -> f64 {
    micros as f64 / 1000.0
}

/// Returns the highest number of executions among the ledger's servers, divided by the mean.
fn imbalance(entries: &[Entry], world: &World) -> f64 {
    let counts = history::executions_by_endpoint(entries);
    let servers = &world.servers[0];
    let executions = |index: usize| counts.get(&servers[index].address).copied().unwrap_or(0);
    // Server 0 is left out, as it is drained during the run.
    let counts: Vec<u64> = (1..servers.len()).map(executions).collect();
    let mean = counts.iter().sum::<u64>() as f64 / counts.len().max(1) as f64;
    counts.iter().max().copied().unwrap_or(0) as f64 / mean.max(1.0)
}
