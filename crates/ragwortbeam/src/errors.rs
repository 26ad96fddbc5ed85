//! The crate's error type.

use derive_more::{Display, Error};
use ragwortbeam_base::document;

use crate::release;

/// Result with the crate's error, unless another is named.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// What can go wrong outside of serving a request.
///
/// Failures of requests are [`crate::refusal::Refusal`], which carry a verdict.
#[derive(Debug)]
#[derive(Display, Error)]
pub enum Error {
    /// The settings file is wrong; the operator has to change it.
    #[display("{_0}")]
    Settings(#[error(not(source))] document::Fault),
    /// A release note or snapshot is wrong; the publisher has to change it.
    #[display("{_0}")]
    Release(#[error(not(source))] release::Fault),
    /// A file, socket or listener failed; the context says which.
    #[display("{context}: {source}")]
    Io {
        /// What was being done, with the path or address.
        context: String,
        /// The system's error.
        source: std::io::Error,
    },
    /// The platform did not answer usefully; retry later.
    #[display("platform: {_0}")]
    Platform(#[error(not(source))] String),
    /// Another VM did not answer usefully; retry or choose another.
    #[display("peer: {_0}")]
    Peer(#[error(not(source))] String),
    /// An admin interface did not answer usefully.
    #[display("admin: {_0}")]
    Admin(#[error(not(source))] String),
}

impl Error {
    /// Wraps a system error with what was being done.
    pub fn io(context: impl Into<String>, source: std::io::Error) -> Self {
        Self::Io {
            context: context.into(),
            source,
        }
    }

    /// Wraps any platform failure.
    pub fn platform(cause: impl ToString) -> Self {
        Self::Platform(cause.to_string())
    }

    /// Wraps any failure of a call to another VM.
    pub fn peer(cause: impl ToString) -> Self {
        Self::Peer(cause.to_string())
    }

    /// Wraps any failure of an admin request.
    pub fn admin(cause: impl ToString) -> Self {
        Self::Admin(cause.to_string())
    }
}
