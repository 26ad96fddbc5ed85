//! Types that most modules of the crate import.

pub use std::net::SocketAddrV4;
pub use std::sync::{Arc, Mutex};
pub use std::time::Duration;

pub use ragwortbeam_base::clock::Moment;

pub use crate::catalog::{self, Catalog, Endpoint};
pub use crate::errors::{Error, Result};
