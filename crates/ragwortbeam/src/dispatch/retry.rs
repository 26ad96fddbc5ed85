//! Retry budget, which limits retries to a small share of recent requests.

use std::sync::Mutex;

/// Initial balance in retries, which lets a service with few requests retry.
const INITIAL_BALANCE: f64 = 5.0;

/// Upper limit of the balance, in retries.
const MAX_BALANCE: f64 = 50.0;

/// Token bucket to which each request adds a fraction of a token; each retry takes one token.
#[derive(Debug)]
pub struct RetryBudget {
    deposit_per_request: f64,
    /// Retries available, between 0 and [`MAX_BALANCE`].
    balance: Mutex<f64>,
}

impl RetryBudget {
    /// Returns a budget that allows `percent` retries per hundred requests; 0 allows none.
    pub fn new(percent: u32) -> Self {
        Self {
            deposit_per_request: f64::from(percent) / 100.0,
            balance: Mutex::new(if percent == 0 { 0.0 } else { INITIAL_BALANCE }),
        }
    }

    /// Adds one request's share of a retry.
    pub fn deposit(&self) {
        let mut balance = self.balance.lock().unwrap();
        *balance = (*balance + self.deposit_per_request).min(MAX_BALANCE);
    }

    /// Takes one retry from the balance; returns false if less than one is left.
    pub fn try_withdraw(&self) -> bool {
        let mut balance = self.balance.lock().unwrap();
        if *balance < 1.0 {
            return false;
        }
        *balance -= 1.0;
        true
    }
}
