//! Answers that are not an upstream's.

use std::time::Duration;

use hemlocktack_protocol::{Answer, Outcome, Reason};

/// Nothing ran and nothing will.
pub(crate) fn not_run(reason: Reason, retry_after: Option<Duration>) -> Answer {
    let retry_after_ms = retry_after.map_or(0, |wait| {
        u32::try_from(wait.as_millis()).unwrap_or(u32::MAX)
    });
    Answer {
        outcome: Outcome::NotRun.into(),
        reason: reason.into(),
        retry_after_ms,
        ..Answer::default()
    }
}

/// An upstream may have started it.
pub(crate) fn unknown(reason: Reason) -> Answer {
    Answer {
        outcome: Outcome::Unknown.into(),
        reason: reason.into(),
        ..Answer::default()
    }
}
