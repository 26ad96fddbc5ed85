//! What every process of the project shares: time, logs, metrics and the HTTP client.

pub mod clock;
pub mod http;
pub mod logging;
pub mod telemetry;
