//! Error type of the crate.

use derive_more::{Display, Error};
use ragwortbeam_base::document;

use crate::release;

/// Result whose error type defaults to the crate's [`enum@Error`].
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Error that does not belong to a request.
///
/// A failed request is reported as a [`crate::refusal::Refusal`], which carries a verdict.
#[derive(Debug)]
#[derive(Display, Error)]
pub enum Error {
    /// The settings file is invalid; the operator has to correct it.
    #[display("{_0}")]
    Settings(#[error(not(source))] document::ValidationError),
    /// A release note or snapshot is invalid; the publisher has to correct it.
    #[display("{_0}")]
    Release(#[error(not(source))] release::ValidationError),
    /// An operation on a file, socket or listener failed; `context` says which.
    #[display("{context}: {source}")]
    Io {
        /// Path, address or operation that failed.
        context: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A read of the platform failed; it may be retried later.
    #[display("platform: {_0}")]
    Platform(#[error(not(source))] String),
    /// A call to another VM failed; it may be retried there or at another VM.
    #[display("peer: {_0}")]
    Peer(#[error(not(source))] String),
    /// A request to the admin interface of a VM failed.
    #[display("admin: {_0}")]
    Admin(#[error(not(source))] String),
}

impl Error {
    /// Wraps an error of the operating system with the path, address or operation that failed.
    pub fn io(context: impl Into<String>, source: std::io::Error) -> Self {
        Self::Io {
            context: context.into(),
            source,
        }
    }

    /// Wraps the cause of a failed read of the platform.
    pub fn platform(cause: impl ToString) -> Self {
        Self::Platform(cause.to_string())
    }

    /// Wraps the cause of a failed call to another VM.
    pub fn peer(cause: impl ToString) -> Self {
        Self::Peer(cause.to_string())
    }

    /// Wraps the cause of a failed request to an admin interface.
    pub fn admin(cause: impl ToString) -> Self {
        Self::Admin(cause.to_string())
    }
}
