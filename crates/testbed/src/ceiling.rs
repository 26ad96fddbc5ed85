//! Simulation of ideal request placement, as an upper bound for load balancers. It has no
//! VMs: each new flow goes to the endpoint with the earliest free slot, known exactly, and
//! persistent flows are distributed evenly.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::f64::consts::TAU;
use std::str::FromStr;

use derive_more::{Display, Error};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};

/// Times after its first packet at which a caller sends until it gets a response: the opening
/// packet with its retransmissions, and then those of the next attempt.
const SEND_OFFSETS_MS: [f64; 6] = [0.0, 200.0, 600.0, 1400.0, 1600.0, 2000.0];

/// Share of slow requests, whose service time is [`SLOW_FACTOR`] times as long.
const SLOW_SHARE: f64 = 0.03;
/// Service time of slow requests, as a multiple of that of the others.
const SLOW_FACTOR: f64 = 7.0;

/// Standard deviation of the logarithm of the service time.
const SERVICE_TIME_SIGMA: f64 = 0.5;

/// Upper limit of a service time, as a multiple of the class's mean.
const MAX_SERVICE_TIME_FACTOR: f64 = 10.6;

/// Round-trip time between a caller and an endpoint.
const ROUND_TRIP_MS: f64 = 6.3;

/// Length of the windows in which credit is summed up.
const WINDOW_MS: f64 = 2000.0;

/// Class of requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Class {
    /// Mean rate of requests, per second.
    pub rate_per_s: f64,
    /// Mean service time, milliseconds.
    pub service_time_ms: f64,
    /// Longest time to a response that earns the full credit, milliseconds.
    pub target_ms: f64,
    /// Time after which a caller gives up, milliseconds.
    pub deadline_ms: f64,
    /// Credit for a response within `target_ms`.
    pub full_credit: f64,
    /// Credit for a later response within `deadline_ms`.
    pub late_credit: f64,
    /// Round trips until the response; 2 where each request opens a new flow.
    pub round_trips: f64,
    /// Number of persistent flows that carry the requests, each bound to one endpoint; 0
    /// when each request is placed on its own.
    pub flows: usize,
}

/// Error for a class that is not written as eight numbers separated by colons.
#[derive(Debug)]
#[derive(Display, Error)]
#[display(
    "expected rate_per_s:service_time_ms:target_ms:deadline_ms:full_credit:late_credit:round_trips:flows"
)]
pub struct ParseClassError;

impl FromStr for Class {
    type Err = ParseClassError;

    fn from_str(text: &str) -> Result<Self, ParseClassError> {
        let numbers: Result<Vec<f64>, _> = text.split(':').map(str::parse).collect();
        let Ok(
            [
                rate_per_s,
                service_time_ms,
                target_ms,
                deadline_ms,
                full_credit,
                late_credit,
                round_trips,
                flows,
            ],
        ) = numbers.as_deref()
        else {
            return Err(ParseClassError);
        };
        Ok(Self {
            rate_per_s: *rate_per_s,
            service_time_ms: *service_time_ms,
            target_ms: *target_ms,
            deadline_ms: *deadline_ms,
            full_credit: *full_credit,
            late_credit: *late_credit,
            round_trips: *round_trips,
            flows: *flows as usize,
        })
    }
}

/// Parameters of one simulation.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Seed of the random number generator.
    pub seed: u64,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Number of endpoints, at least 1.
    pub endpoints: usize,
    /// Requests that an endpoint processes concurrently.
    pub slots: usize,
    /// Duration over which callers send requests, seconds.
    pub length_s: f64,
    /// Amplitude of the sinusoidal request rate, as a share of the mean rate.
    pub swing: f64,
    /// Period of the request rate, seconds.
    pub period_s: f64,
    /// Start of an outage of all VMs, seconds after the start of the simulation.
    pub outage_at_s: f64,
    /// Duration of the outage, seconds; 0 for none.
    pub outage_s: f64,
}

/// Results of one simulation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Outcome {
    /// Number of requests sent.
    pub requests: usize,
    /// Requests answered within their class's target time.
    pub on_time: usize,
    /// Requests not answered before their deadline.
    pub failed: usize,
    /// Credit earned, as a share of the full credit of all requests.
    pub credit: f64,
    /// Mean of this share in the two windows of 2 s where it is lowest.
    pub worst_windows_credit: f64,
    /// Median time from request to response, milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the time from request to response, milliseconds.
    pub p99_ms: f64,
}

/// A request as its caller sees it.
#[derive(Clone, Copy, Debug)]
struct Request {
    sent_at_ms: f64,
    /// Arrival of the first packet that reaches a VM; infinite when none does.
    arrives_at_ms: f64,
    service_time_ms: f64,
    /// Index of the class in the scenario.
    class: usize,
    /// Persistent flow that carries the request; `None` when it is placed on its own.
    flow: Option<usize>,
}

/// Simulates a scenario.
pub fn simulate(scenario: &Scenario) -> Outcome {
    let mut requests = generate_requests(scenario);
    requests.sort_by(|left, right| left.arrives_at_ms.total_cmp(&right.arrives_at_ms));
    // For each endpoint, a heap of the times at which its slots become free.
    let idle = (0..scenario.slots)
        .map(|_| Reverse(0))
        .collect::<BinaryHeap<_>>();
    let mut endpoints = vec![idle; scenario.endpoints];
    let latencies: Vec<(Request, f64)> = requests
        .into_iter()
        .map(|request| (request, schedule(request, &mut endpoints, scenario)))
        .collect();
    summarise(&latencies, scenario)
}

/// Draws the requests that callers send.
fn generate_requests(scenario: &Scenario) -> Vec<Request> {
    let mut random = StdRng::seed_from_u64(scenario.seed);
    let (outage_start_ms, outage_end_ms) = (
        scenario.outage_at_s * 1000.0,
        (scenario.outage_at_s + scenario.outage_s) * 1000.0,
    );
    let mut requests = Vec::new();
    for (index, class) in scenario.classes.iter().enumerate() {
        let mean = class.service_time_ms / (1.0 - SLOW_SHARE + SLOW_SHARE * SLOW_FACTOR);
        let mu = mean.ln() - SERVICE_TIME_SIGMA * SERVICE_TIME_SIGMA / 2.0;
        let service_time =
            LogNormal::new(mu, SERVICE_TIME_SIGMA).expect("the standard deviation is finite");
        // Thinning: candidates are drawn at the peak rate and kept in proportion to the
        // current rate.
        let peak_rate = class.rate_per_s * (1.0 + scenario.swing) / 1000.0;
        let interarrival = Exp::new(peak_rate).expect("the rate is above 0");
        let mut at = interarrival.sample(&mut random);
        while at < scenario.length_s * 1000.0 {
            let cycles = at / 1000.0 / scenario.period_s;
            let rate = (1.0 + scenario.swing * (TAU * cycles).sin()) / (1.0 + scenario.swing);
            if random.random_bool(rate.clamp(0.0, 1.0)) {
                let is_slow = random.random_bool(SLOW_SHARE);
                let factor = if is_slow { SLOW_FACTOR } else { 1.0 };
                let sends = SEND_OFFSETS_MS.iter().map(|offset| at + offset);
                let mut arrivals = sends.filter(|at| *at < outage_start_ms || *at >= outage_end_ms);
                requests.push(Request {
                    sent_at_ms: at,
                    arrives_at_ms: arrivals.next().unwrap_or(f64::INFINITY),
                    service_time_ms: (service_time.sample(&mut random) * factor)
                        .min(class.service_time_ms * MAX_SERVICE_TIME_FACTOR),
                    class: index,
                    flow: (class.flows > 0).then(|| random.random_range(0..class.flows)),
                });
            }
            at += interarrival.sample(&mut random);
        }
    }
    requests
}

/// Places a request on an endpoint and returns the time to its response, milliseconds;
/// infinite when no packet reaches a VM before the deadline.
fn schedule(
    request: Request,
    endpoints: &mut [BinaryHeap<Reverse<u64>>],
    scenario: &Scenario,
) -> f64 {
    let class = &scenario.classes[request.class];
    let delay_ms = request.arrives_at_ms - request.sent_at_ms;
    if delay_ms > class.deadline_ms {
        return f64::INFINITY;
    }
    // The heaps hold microseconds, as they need integers.
    let arrives_at_us = (request.arrives_at_ms * 1000.0) as u64;
    let free_at_us = |slots: &BinaryHeap<Reverse<u64>>| slots.peek().map_or(0, |slot| slot.0);
    let slots = if let Some(flow) = request.flow {
        // Persistent flows are distributed evenly over the endpoints.
        &mut endpoints[flow % scenario.endpoints]
    } else {
        let best = endpoints.iter_mut().min_by_key(|slots| free_at_us(slots));
        best.expect("a scenario has endpoints")
    };
    let starts_at_us = free_at_us(slots).max(arrives_at_us);
    let service_time_us = (request.service_time_ms * 1000.0) as u64;
    slots.pop();
    slots.push(Reverse(starts_at_us + service_time_us));
    let response_time_ms = (starts_at_us + service_time_us - arrives_at_us) as f64 / 1000.0;
    delay_ms + response_time_ms + class.round_trips * ROUND_TRIP_MS
}

fn summarise(latencies: &[(Request, f64)], scenario: &Scenario) -> Outcome {
    let windows = (scenario.length_s * 1000.0 / WINDOW_MS).ceil() as usize;
    let mut earned = vec![0.0; windows];
    let mut possible = vec![0.0; windows];
    let (mut on_time, mut failed) = (0, 0);
    for (request, latency) in latencies {
        let class = &scenario.classes[request.class];
        let window = (request.sent_at_ms / WINDOW_MS) as usize;
        possible[window] += class.full_credit;
        if *latency <= class.target_ms {
            on_time += 1;
            earned[window] += class.full_credit;
        } else if *latency <= class.deadline_ms {
            earned[window] += class.late_credit;
        } else {
            failed += 1;
        }
    }
    let mut shares: Vec<f64> = earned
        .iter()
        .zip(&possible)
        .map(|(earned, possible)| earned / possible)
        .collect();
    shares.sort_by(f64::total_cmp);
    let worst = &shares[..shares.len().min(2)];
    let mut times: Vec<f64> = latencies.iter().map(|(_, latency)| *latency).collect();
    times.sort_by(f64::total_cmp);
    let quantile = |share: f64| times[((times.len() - 1) as f64 * share) as usize];
    Outcome {
        requests: latencies.len(),
        on_time,
        failed,
        credit: earned.iter().sum::<f64>() / possible.iter().sum::<f64>(),
        worst_windows_credit: worst.iter().sum::<f64>() / worst.len() as f64,
        p50_ms: quantile(0.5),
        p99_ms: quantile(0.99),
    }
}
