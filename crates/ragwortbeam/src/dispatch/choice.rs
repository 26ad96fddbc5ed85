//! Load-balancing policies that choose among the endpoints with a free slot.

use std::sync::atomic::{AtomicUsize, Ordering};

use rand::RngExt;

use crate::id;

/// An endpoint with a free slot and its load, as input to a policy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Id of the endpoint.
    pub endpoint: id::Endpoint,
    /// Number of this VM's requests in progress at the endpoint.
    pub outstanding: u32,
    /// Limit on this VM's concurrent requests at the endpoint; at least 1.
    pub window: f64,
}

impl Candidate {
    /// Returns the share of the window that is in use once the new request is added.
    fn utilization(&self) -> f64 {
        f64::from(self.outstanding + 1) / self.window
    }
}

/// A load-balancing policy.
pub trait Policy: Send + Sync {
    /// Returns the index of the chosen candidate; `candidates` must not be empty.
    fn choose(&self, candidates: &[Candidate]) -> usize;
}

/// Chooses a candidate with uniform probability.
#[derive(Debug)]
pub struct Random;

impl Policy for Random {
    fn choose(&self, candidates: &[Candidate]) -> usize {
        rand::rng().random_range(0..candidates.len())
    }
}

/// Cycles through the candidates.
#[derive(Debug, Default)]
pub struct RoundRobin {
    next_index: AtomicUsize,
}

impl Policy for RoundRobin {
    fn choose(&self, candidates: &[Candidate]) -> usize {
        self.next_index.fetch_add(1, Ordering::Relaxed) % candidates.len()
    }
}

/// Chooses the less utilized of two candidates drawn at random (power of two choices).
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

/// Returns the policy that the setting `endpoint_choice` names; `None` for an unknown name.
pub fn policy(name: &str) -> Option<Box<dyn Policy>> {
    match name {
        "random" => Some(Box::new(Random)),
        "round_robin" => Some(Box::<RoundRobin>::default()),
        "least_of_two" => Some(Box::new(LeastOfTwo)),
        _ => None,
    }
}
