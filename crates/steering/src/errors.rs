//! The crate's error type.

use derive_more::{Display, Error};
use ragwortbeam_base::http;

use crate::settings;

/// Result with the crate's error, unless another is named.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// What can go wrong outside of steering a packet.
#[derive(Debug)]
#[derive(Display, Error)]
pub enum Error {
    /// The settings file is wrong; the operator has to change it.
    #[display("{_0}")]
    Settings(#[error(not(source))] settings::ValidationError),
    /// A file, socket or listener failed; the context says which.
    #[display("{context}: {source}")]
    Io {
        /// What was being done, with the path or address.
        context: String,
        /// The system's error.
        source: std::io::Error,
    },
    /// A call brought no answer; repeat it or ask another server.
    #[display("{context}: {source}")]
    Call {
        /// What was asked of whom.
        context: String,
        /// Why there was no answer.
        source: http::Failure,
    },
    /// A server answered with a status other than success; nothing was done.
    #[display("{context}: status {status}")]
    Status {
        /// What was asked of whom.
        context: String,
        /// Status of the answer.
        status: u16,
    },
    /// An answer could not be decoded; repeating the call may help.
    #[display("{context}: {cause}")]
    Answer {
        /// What was asked of whom.
        context: String,
        /// What is wrong with the answer.
        #[error(not(source))]
        cause: String,
    },
}

impl Error {
    /// Wraps a system error with what was being done.
    pub fn io(context: impl Into<String>, source: std::io::Error) -> Self {
        Self::Io {
            context: context.into(),
            source,
        }
    }

    /// Wraps an answer that could not be decoded.
    pub fn answer(context: impl Into<String>, cause: impl ToString) -> Self {
        Self::Answer {
            context: context.into(),
            cause: cause.to_string(),
        }
    }
}
