//! Budget that keeps retries a small share of recent requests.

use std::sync::Mutex;

/// Retries that a quiet service may make at once.
const BURST: f64 = 5.0;

/// Most retries that can be saved up.
const MAX_SAVED: f64 = 50.0;

/// Earns a fraction of a retry with each request and spends one with each retry.
#[derive(Debug)]
pub struct Budget {
    per_request: f64,
    /// Between 0 and [`MAX_SAVED`].
    saved: Mutex<f64>,
}

impl Budget {
    /// Returns a budget that allows `percent` retries per hundred requests.
    pub fn new(percent: u32) -> Self {
        Self {
            per_request: f64::from(percent) / 100.0,
            saved: Mutex::new(if percent == 0 { 0.0 } else { BURST }),
        }
    }

    /// Notes a request.
    pub fn earn(&self) {
        let mut saved = self.saved.lock().unwrap();
        *saved = (*saved + self.per_request).min(MAX_SAVED);
    }

    /// Takes one retry; returns whether there was one.
    pub fn spend(&self) -> bool {
        let mut saved = self.saved.lock().unwrap();
        if *saved < 1.0 {
            return false;
        }
        *saved -= 1.0;
        true
    }
}
