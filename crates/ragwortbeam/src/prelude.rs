//! Types and modules that most modules of this crate import.

pub use std::net::SocketAddr;
pub use std::sync::Arc;
pub use std::time::Duration;

pub use crate::errors::{Error, Result};
pub use crate::id;
pub use crate::node::Node;
pub use crate::refusal;
pub use crate::verdict::Verdict;
