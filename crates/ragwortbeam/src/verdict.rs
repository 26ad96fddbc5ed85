//! Whether a request may have run.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// What is known about the execution of a request at a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// No backend server has run it or will run it.
    #[display("not_run")]
    NotRun,
    /// A backend server may have run it, or may still.
    #[display("may_have_run")]
    MayHaveRun,
    /// A backend server has run it and answered.
    #[display("ran")]
    Ran,
}

impl Verdict {
    /// Returns the value of the verdict option on the wire.
    pub fn code(self) -> u8 {
        match self {
            Self::NotRun => 0,
            Self::MayHaveRun => 1,
            Self::Ran => 2,
        }
    }

    /// Reads the value of the verdict option.
    pub fn from_code(code: u8) -> Option<Self> {
        match code {
            0 => Some(Self::NotRun),
            1 => Some(Self::MayHaveRun),
            2 => Some(Self::Ran),
            _ => None,
        }
    }
}
