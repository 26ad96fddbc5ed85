//! Policies that choose an endpoint among those with room.

use std::sync::atomic::{AtomicUsize, Ordering};

use rand::RngExt;

use crate::id;

/// What a policy knows of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Endpoint.
    pub endpoint: id::Endpoint,
    /// Requests of this VM in progress there.
    pub outstanding: u32,
    /// Requests of this VM allowed there; at least 1.
    pub window: f64,
}

impl Candidate {
    fn utilization(&self) -> f64 {
        f64::from(self.outstanding + 1) / self.window
    }
}

/// Chooses an endpoint for a request.
pub trait Policy: Send + Sync {
    /// Returns an index into `candidates`, which is not empty.
    fn choose(&self, candidates: &[Candidate]) -> usize;
}

/// Chooses any endpoint with equal probability.
#[derive(Debug)]
pub struct Random;

impl Policy for Random {
    fn choose(&self, candidates: &[Candidate]) -> usize {
        rand::rng().random_range(0..candidates.len())
    }
}

/// Chooses the endpoints in turn.
#[derive(Debug, Default)]
pub struct RoundRobin {
    next_index: AtomicUsize,
}

impl Policy for RoundRobin {
    fn choose(&self, candidates: &[Candidate]) -> usize {
        self.next_index.fetch_add(1, Ordering::Relaxed) % candidates.len()
    }
}

/// Chooses the less loaded of two endpoints drawn at random.
#[derive(Debug)]
pub struct LeastOfTwo;

impl Policy for LeastOfTwo {
    fn choose(&self, candidates: &[Candidate]) -> usize {
        let mut rng = rand::rng();
        let first = rng.random_range(0..candidates.len());
        let second = rng.random_range(0..candidates.len());
        if candidates[second].utilization() < candidates[first].utilization() {
            second
        } else {
            first
        }
    }
}

/// Returns the policy with this name in the settings.
pub fn policy(name: &str) -> Option<Box<dyn Policy>> {
    match name {
        "random" => Some(Box::new(Random)),
        "round_robin" => Some(Box::<RoundRobin>::default()),
        "least_of_two" => Some(Box::new(LeastOfTwo)),
        _ => None,
    }
}
