//! The crate's error type.

use derive_more::{Display, Error};
use ragwortbeam_base::http;

use crate::settings;

/// Result whose error type defaults to the crate's `Error`.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Error of any operation other than steering a packet.
#[derive(Debug)]
#[derive(Display, Error)]
pub enum Error {
    /// The settings file is invalid; the operator has to correct it.
    #[display("{_0}")]
    Settings(#[error(not(source))] settings::ValidationError),
    /// An operation on a file, socket, listener or signal failed.
    #[display("{context}: {source}")]
    Io {
        /// Path, address or resource that the operation failed on.
        context: String,
        /// Error returned by the operating system.
        source: std::io::Error,
    },
    /// An HTTP request got no response; it may be retried or sent to another server.
    #[display("{context}: {source}")]
    Request {
        /// Server and resource that were requested.
        context: String,
        /// Reason why there was no response.
        source: http::Failure,
    },
    /// A server responded with a status other than success; the request had no effect.
    #[display("{context}: status {status}")]
    Status {
        /// Server and resource that were requested.
        context: String,
        /// HTTP status code of the response.
        status: u16,
    },
    /// A response could not be decoded; a retry may succeed.
    #[display("{context}: {cause}")]
    InvalidResponse {
        /// Server and resource that were requested.
        context: String,
        /// Description of the decoding error.
        #[error(not(source))]
        cause: String,
    },
}

impl Error {
    /// Returns [`Error::Io`] for a failed operation on the resource that `context` names.
    pub fn io(context: impl Into<String>, source: std::io::Error) -> Self {
        Self::Io {
            context: context.into(),
            source,
        }
    }

    /// Returns [`Error::InvalidResponse`] for a response that could not be decoded.
    pub fn invalid_response(context: impl Into<String>, cause: impl ToString) -> Self {
        Self::InvalidResponse {
            context: context.into(),
            cause: cause.to_string(),
        }
    }
}
