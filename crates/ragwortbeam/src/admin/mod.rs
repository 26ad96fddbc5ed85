//! HTTP interface for operators: metrics, status, readiness and liveness.

mod report;
mod server;

pub use report::{Health, Report};
pub use server::serve;
