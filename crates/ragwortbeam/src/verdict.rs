//! Verdicts on whether a request has run.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Execution state of a request at the backend servers, as far as it is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// No backend server has run the request or will run it.
    #[display("not_run")]
    NotRun,
    /// A backend server may have run the request or may still run it.
    #[display("may_have_run")]
    MayHaveRun,
    /// A backend server has run the request and answered.
    #[display("ran")]
    Ran,
}

impl Verdict {
    /// Returns the value that encodes the verdict in the CoAP verdict option.
    pub fn code(self) -> u8 {
        match self {
            Self::NotRun => 0,
            Self::MayHaveRun => 1,
            Self::Ran => 2,
        }
    }

    /// Decodes a value of the CoAP verdict option; `None` if it is unassigned.
    pub fn from_code(code: u8) -> Option<Self> {
        match code {
            0 => Some(Self::NotRun),
            1 => Some(Self::MayHaveRun),
            2 => Some(Self::Ran),
            _ => None,
        }
    }
}
