//! Operators' HTTP interface.

mod report;
mod server;

pub use report::{Health, Report};
pub use server::serve;
