//! Errors of the platform client.

use std::time::Duration;

use derive_more::{Display, Error};

use crate::Version;

/// Result of a call to the platform.
pub type Result<T> = std::result::Result<T, Error>;

/// Whether a failed write may have changed the object.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Effect {
    /// It did not: the request did not reach the platform or was rejected.
    #[display("the call had no effect")]
    None,
    /// It may have: the response was lost.
    #[display("the call may have taken effect")]
    Possible,
}

/// Error of a call to the platform.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Error {
    /// The object does not have the expected version.
    #[display("version conflict: the object has version {current_version}")]
    Conflict {
        /// Version of the object; 0 if it does not exist.
        current_version: Version,
    },
    /// The platform did not respond, or the call was blocked by the backoff after a failure.
    #[display("the platform is unavailable ({detail}); {effect}")]
    Unavailable {
        /// Whether a write may have taken effect.
        effect: Effect,
        /// Cause of the failure.
        detail: String,
        /// Time after which to try again.
        retry_after: Duration,
    },
    /// The value is over the platform's limit.
    #[display("the value is larger than {limit_bytes} bytes")]
    TooLarge {
        /// Size of the largest value that the platform stores.
        limit_bytes: usize,
    },
    /// The response or the object does not conform to the interface.
    #[display("the platform's response does not conform to its interface ({detail}); {effect}")]
    Malformed {
        /// Whether a write may have taken effect.
        effect: Effect,
        /// What does not conform.
        detail: String,
        /// Time after which to try again; `None` for an object that cannot be decoded.
        retry_after: Option<Duration>,
    },
    /// The platform cannot watch from that revision; list the objects again.
    #[display("the platform no longer has the changes after this revision")]
    RevisionGone,
    /// The expected version is of another era of the store than its answers are now; read the
    /// object again.
    #[display("the object's version is of another era of the platform; {effect}")]
    EraEnded {
        /// Whether a write may have taken effect.
        effect: Effect,
    },
    /// The platform's address in the settings is invalid.
    #[display("invalid platform address {base_url:?}")]
    BadAddress {
        /// Address as in the settings.
        base_url: String,
    },
    /// This node has used up its budget of calls to the platform.
    #[display("the node's budget of calls to the platform is used up")]
    BudgetSpent {
        /// Time until the budget allows another call.
        retry_after: Duration,
    },
}

impl Error {
    /// Returns whether the failed write may have changed the object.
    pub fn effect(&self) -> Effect {
        match self {
            Error::Unavailable { effect, .. }
            | Error::Malformed { effect, .. }
            | Error::EraEnded { effect } => *effect,
            Error::Conflict { .. }
            | Error::TooLarge { .. }
            | Error::RevisionGone
            | Error::BadAddress { .. }
            | Error::BudgetSpent { .. } => Effect::None,
        }
    }

    /// Returns whether the platform has answered the call, with whatever answer.
    pub fn is_answer(&self) -> bool {
        !matches!(
            self,
            Error::Unavailable { .. } | Error::BudgetSpent { .. } | Error::BadAddress { .. }
        )
    }

    /// Returns how long to wait before trying again; `None` if that would not help.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Error::Unavailable { retry_after, .. } | Error::BudgetSpent { retry_after } => {
                Some(*retry_after)
            }
            Error::Malformed { retry_after, .. } => *retry_after,
            Error::Conflict { .. }
            | Error::TooLarge { .. }
            | Error::RevisionGone
            | Error::EraEnded { .. }
            | Error::BadAddress { .. } => None,
        }
    }
}
