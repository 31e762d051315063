//! Outcomes of calls without an answer.

use std::time::Duration;

use derive_more::Display;

use crate::{Outcome, Reason};

/// A refusal: no upstream started the call, and none will.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display("not run: {}", <&'static str>::from(*reason))]
pub struct Refusal {
    /// Why it was refused.
    pub reason: Reason,
    /// Time after which the caller may retry; `None` if a retry cannot help.
    pub retry_after: Option<Duration>,
}

/// A call that ended without an answer.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum CallFailure {
    /// The call is proved not to have run.
    #[display("{_0}")]
    NotRun(Refusal),
    /// An upstream may have run the call.
    #[display("unknown: {}", <&'static str>::from(*_0))]
    Unknown(Reason),
}

impl CallFailure {
    /// Returns the outcome for frames and headers.
    pub fn outcome(&self) -> Outcome {
        match self {
            CallFailure::NotRun(_) => Outcome::NotRun,
            CallFailure::Unknown(_) => Outcome::Unknown,
        }
    }

    /// Returns the reason for frames and headers.
    pub fn reason(&self) -> Reason {
        match self {
            CallFailure::NotRun(refusal) => refusal.reason,
            CallFailure::Unknown(reason) => *reason,
        }
    }
}
