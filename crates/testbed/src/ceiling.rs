//! What the best placement could serve: requests of callers in a model without VMs, in
//! which each new flow goes to the endpoint that is free first by exact knowledge, and
//! lasting flows are spread evenly.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::f64::consts::TAU;
use std::str::FromStr;

use derive_more::{Display, Error};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};

/// Times after the first at which a caller sends again until something answers: copies of
/// an opening packet, and then those of the next try.
const COPIES_MS: [f64; 6] = [0.0, 200.0, 600.0, 1400.0, 1600.0, 2000.0];

/// Share of work that takes longer, and how many times as long.
const TAIL_SHARE: f64 = 0.03;
const TAIL_FACTOR: f64 = 7.0;

/// Standard deviation of the logarithm of the work.
const WORK_SPREAD: f64 = 0.5;

/// Work is cut at this many times its mean.
const MAX_WORK_FACTOR: f64 = 10.6;

/// Round trip of a caller's packet and the endpoint's answer.
const ROUND_TRIP_MS: f64 = 6.3;

/// Length of a window, milliseconds.
const WINDOW_MS: f64 = 2000.0;

/// One kind of request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Class {
    /// Requests a second, on average.
    pub per_s: f64,
    /// Mean work, milliseconds.
    pub work_ms: f64,
    /// Time in which an answer earns its whole credit, milliseconds.
    pub aim_ms: f64,
    /// Time after which the caller gives up, milliseconds.
    pub deadline_ms: f64,
    /// Credit for an answer in time.
    pub worth: f64,
    /// Credit for a later one.
    pub late_worth: f64,
    /// Round trips for an answer: 2 with a new flow for each request.
    pub round_trips: f64,
    /// Lasting flows that carry the requests, which stay with their endpoints; 0 when each
    /// request is placed by itself.
    pub flows: usize,
}

/// The text of a class is not eight numbers between colons.
#[derive(Debug)]
#[derive(Display, Error)]
#[display("expected per_s:work_ms:aim_ms:deadline_ms:worth:late_worth:round_trips:flows")]
pub struct Malformed;

impl FromStr for Class {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Self, Malformed> {
        let numbers: Result<Vec<f64>, _> = text.split(':').map(str::parse).collect();
        let Ok(
            [
                per_s,
                work_ms,
                aim_ms,
                deadline_ms,
                worth,
                late_worth,
                round_trips,
                flows,
            ],
        ) = numbers.as_deref()
        else {
            return Err(Malformed);
        };
        Ok(Self {
            per_s: *per_s,
            work_ms: *work_ms,
            aim_ms: *aim_ms,
            deadline_ms: *deadline_ms,
            worth: *worth,
            late_worth: *late_worth,
            round_trips: *round_trips,
            flows: *flows as usize,
        })
    }
}

/// A day of the model.
#[derive(Clone, Debug)]
pub struct Day {
    /// Seed of all that is drawn.
    pub seed: u64,
    /// Kinds of request.
    pub classes: Vec<Class>,
    /// Endpoints.
    pub endpoints: usize,
    /// Requests that an endpoint processes at once.
    pub slots: usize,
    /// Length, seconds.
    pub length_s: f64,
    /// Part of the mean rate by which it swings up and down.
    pub swing: f64,
    /// Period of the swing, seconds.
    pub period_s: f64,
    /// Time from which no VM runs, seconds.
    pub outage_at_s: f64,
    /// Time for which none runs, seconds; 0 for no outage.
    pub outage_s: f64,
}

/// What a day came to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Outcome {
    /// Requests.
    pub asked: usize,
    /// Answered in time.
    pub in_aim: usize,
    /// Not answered before the deadline.
    pub failed: usize,
    /// Credit earned of that owed.
    pub credit: f64,
    /// The same in the two worst windows.
    pub worst_windows: f64,
    /// Median time to the answer, milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of it.
    pub p99_ms: f64,
}

/// A request, from its caller's point of view.
#[derive(Clone, Copy, Debug)]
struct Request {
    asked_at: f64,
    /// When its first packet that reaches a VM arrives; infinite when none does.
    arrives_at: f64,
    work: f64,
    class: usize,
    /// Lasting flow that carries it.
    flow: Option<usize>,
}

/// Plays a day.
pub fn play(day: &Day) -> Outcome {
    let mut requests = ask(day);
    requests.sort_by(|left, right| left.arrives_at.total_cmp(&right.arrives_at));
    // Ends of the requests at each endpoint, one heap of slots each.
    let idle = (0..day.slots)
        .map(|_| Reverse(0))
        .collect::<BinaryHeap<_>>();
    let mut endpoints = vec![idle; day.endpoints];
    let latencies: Vec<(Request, f64)> = requests
        .into_iter()
        .map(|request| (request, serve(request, &mut endpoints, day)))
        .collect();
    tally(&latencies, day)
}

/// Draws the requests of a day.
fn ask(day: &Day) -> Vec<Request> {
    let mut random = StdRng::seed_from_u64(day.seed);
    let (outage_at, back_at) = (
        day.outage_at_s * 1000.0,
        (day.outage_at_s + day.outage_s) * 1000.0,
    );
    let mut requests = Vec::new();
    for (number, class) in day.classes.iter().enumerate() {
        let mean = class.work_ms / (1.0 - TAIL_SHARE + TAIL_SHARE * TAIL_FACTOR);
        let location = mean.ln() - WORK_SPREAD * WORK_SPREAD / 2.0;
        let work = LogNormal::new(location, WORK_SPREAD).expect("the spread is finite");
        // Candidates at the highest rate are kept as the swing says.
        let highest = class.per_s * (1.0 + day.swing) / 1000.0;
        let gap = Exp::new(highest).expect("the rate is above 0");
        let mut at = gap.sample(&mut random);
        while at < day.length_s * 1000.0 {
            let turn = at / 1000.0 / day.period_s;
            let rate = (1.0 + day.swing * (TAU * turn).sin()) / (1.0 + day.swing);
            if random.random_bool(rate.clamp(0.0, 1.0)) {
                let is_tail = random.random_bool(TAIL_SHARE);
                let factor = if is_tail { TAIL_FACTOR } else { 1.0 };
                let copy = COPIES_MS.iter().map(|copy| at + copy);
                let mut arrives = copy.filter(|at| *at < outage_at || *at >= back_at);
                requests.push(Request {
                    asked_at: at,
                    arrives_at: arrives.next().unwrap_or(f64::INFINITY),
                    work: (work.sample(&mut random) * factor).min(class.work_ms * MAX_WORK_FACTOR),
                    class: number,
                    flow: (class.flows > 0).then(|| random.random_range(0..class.flows)),
                });
            }
            at += gap.sample(&mut random);
        }
    }
    requests
}

/// Places a request; returns the time to its answer, milliseconds.
fn serve(request: Request, endpoints: &mut [BinaryHeap<Reverse<u64>>], day: &Day) -> f64 {
    let class = &day.classes[request.class];
    let waited = request.arrives_at - request.asked_at;
    if waited > class.deadline_ms {
        return f64::INFINITY;
    }
    // Microseconds, as heaps need whole numbers.
    let arrives_at = (request.arrives_at * 1000.0) as u64;
    let free_at = |slots: &BinaryHeap<Reverse<u64>>| slots.peek().map_or(0, |end| end.0);
    let slots = if let Some(flow) = request.flow {
        // Flows are spread evenly.
        &mut endpoints[flow % day.endpoints]
    } else {
        let best = endpoints.iter_mut().min_by_key(|slots| free_at(slots));
        best.expect("a day has endpoints")
    };
    let starts_at = free_at(slots).max(arrives_at);
    let work = (request.work * 1000.0) as u64;
    slots.pop();
    slots.push(Reverse(starts_at + work));
    let served = (starts_at + work - arrives_at) as f64 / 1000.0;
    waited + served + class.round_trips * ROUND_TRIP_MS
}

fn tally(latencies: &[(Request, f64)], day: &Day) -> Outcome {
    let windows = (day.length_s * 1000.0 / WINDOW_MS).ceil() as usize;
    let mut earned = vec![0.0; windows];
    let mut owed = vec![0.0; windows];
    let (mut in_aim, mut failed) = (0, 0);
    for (request, latency) in latencies {
        let class = &day.classes[request.class];
        let window = (request.asked_at / WINDOW_MS) as usize;
        owed[window] += class.worth;
        if *latency <= class.aim_ms {
            in_aim += 1;
            earned[window] += class.worth;
        } else if *latency <= class.deadline_ms {
            earned[window] += class.late_worth;
        } else {
            failed += 1;
        }
    }
    let mut shares: Vec<f64> = earned
        .iter()
        .zip(&owed)
        .map(|(it, owed)| it / owed)
        .collect();
    shares.sort_by(f64::total_cmp);
    let worst = &shares[..shares.len().min(2)];
    let mut times: Vec<f64> = latencies.iter().map(|(_, latency)| *latency).collect();
    times.sort_by(f64::total_cmp);
    let at = |share: f64| times[((times.len() - 1) as f64 * share) as usize];
    Outcome {
        asked: latencies.len(),
        in_aim,
        failed,
        credit: earned.iter().sum::<f64>() / owed.iter().sum::<f64>(),
        worst_windows: worst.iter().sum::<f64>() / worst.len() as f64,
        p50_ms: at(0.5),
        p99_ms: at(0.99),
    }
}
