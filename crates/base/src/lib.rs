//! What every process of the project shares: time, documents, logs, metrics and the HTTP
//! client.

pub mod clock;
pub mod document;
pub mod http;
pub mod logging;
pub mod telemetry;
