//! What a caller of the client sees of a fault.

use std::time::Duration;

use derive_more::{Display, Error};

use crate::Version;

/// Result of a call to the platform.
pub type Result<T> = std::result::Result<T, Error>;

/// Whether a failed write may have changed the object.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Effect {
    /// It did not: the request never reached the platform or was refused whole.
    #[display("it had no effect")]
    None,
    /// It may have: the answer was lost.
    #[display("it may have taken effect")]
    Possible,
}

/// Why a call failed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Error {
    /// The object has another version than the expected one.
    #[display("the object has version {current_version} by now")]
    Conflict {
        /// 0 where it does not exist.
        current_version: Version,
    },
    /// The platform did not answer, or was not asked because it failed lately.
    #[display("the platform is unavailable ({detail}); {effect}")]
    Unavailable {
        /// Whether a write may have taken effect.
        effect: Effect,
        /// What was seen.
        detail: String,
        /// When it makes sense to ask again.
        retry_after: Duration,
    },
    /// The value is over the platform's limit.
    #[display("the value is larger than {limit_bytes} bytes")]
    TooLarge {
        /// Largest value that is stored.
        limit_bytes: usize,
    },
    /// The answer or the object is not what the interface says.
    #[display("the platform answered something else than its interface says ({detail}); {effect}")]
    Malformed {
        /// Whether a write may have taken effect.
        effect: Effect,
        /// What was seen.
        detail: String,
        /// When it makes sense to ask again; `None` for an object that cannot be read.
        retry_after: Option<Duration>,
    },
    /// The platform cannot watch from that revision: list again.
    #[display("the platform cannot tell the changes after this revision")]
    RevisionGone,
    /// The settings name no usable address.
    #[display("{base_url:?} is not the platform's address")]
    BadAddress {
        /// As in the settings.
        base_url: String,
    },
    /// This node has used up its share of the platform's rates.
    #[display("the node's budget of calls to the platform is spent")]
    BudgetSpent {
        /// When there is budget for one call again.
        retry_after: Duration,
    },
}

impl Error {
    /// Whether the failed write may have changed the object all the same.
    pub fn effect(&self) -> Effect {
        match self {
            Error::Unavailable { effect, .. } | Error::Malformed { effect, .. } => *effect,
            Error::Conflict { .. }
            | Error::TooLarge { .. }
            | Error::RevisionGone
            | Error::BadAddress { .. }
            | Error::BudgetSpent { .. } => Effect::None,
        }
    }

    /// How long to wait before asking again; `None` where asking again does not help.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Error::Unavailable { retry_after, .. } | Error::BudgetSpent { retry_after } => {
                Some(*retry_after)
            }
            Error::Malformed { retry_after, .. } => *retry_after,
            Error::Conflict { .. }
            | Error::TooLarge { .. }
            | Error::RevisionGone
            | Error::BadAddress { .. } => None,
        }
    }
}
