//! Budget that keeps retries a small share of recent requests.

use std::sync::Mutex;

/// Retries that a quiet service may make at once.
const INITIAL_BALANCE: f64 = 5.0;

/// Most retries that can be saved up.
const MAX_BALANCE: f64 = 50.0;

/// Earns a fraction of a retry with each request and spends one with each retry.
#[derive(Debug)]
pub struct RetryBudget {
    deposit_per_request: f64,
    /// Between 0 and [`MAX_BALANCE`].
    balance: Mutex<f64>,
}

impl RetryBudget {
    /// Returns a budget that allows `percent` retries per hundred requests.
    pub fn new(percent: u32) -> Self {
        Self {
            deposit_per_request: f64::from(percent) / 100.0,
            balance: Mutex::new(if percent == 0 { 0.0 } else { INITIAL_BALANCE }),
        }
    }

    /// Notes a request.
    pub fn deposit(&self) {
        let mut balance = self.balance.lock().unwrap();
        *balance = (*balance + self.deposit_per_request).min(MAX_BALANCE);
    }

    /// Takes one retry; returns whether there was one.
    pub fn try_withdraw(&self) -> bool {
        let mut balance = self.balance.lock().unwrap();
        if *balance < 1.0 {
            return false;
        }
        *balance -= 1.0;
        true
    }
}
