//! Code that all processes of the project share: clocks, JSON documents, logging, metrics and an
//! HTTP client.

pub mod clock;
pub mod document;
pub mod http;
pub mod logging;
pub mod telemetry;
