//! Answers that a node produces itself, and the classification of failures.

use std::time::Duration;

use hemlocktack_decide::RetryAfterPolicy;
use hemlocktack_protocol::{Answer, CallFailure, Outcome, Reason, Refusal};

/// Overload level of a refusal that has a cause other than load.
pub(crate) const NO_CLASSES_SHED: f64 = 0.0;

/// Returns the answer to a call that did not run and never will.
pub(crate) fn not_run_answer(reason: Reason, retry_after: Option<Duration>) -> Answer {
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

/// Returns the answer to a call that an upstream may have started.
pub(crate) fn unknown_answer(reason: Reason) -> Answer {
    Answer {
        outcome: Outcome::Unknown.into(),
        reason: reason.into(),
        ..Answer::default()
    }
}

/// Whether a call failed because its service, or one that its child calls went to, lacked
/// capacity.
pub(crate) fn lacked_capacity(answer: &Answer) -> bool {
    let is_load = matches!(
        answer.reason(),
        Reason::QueueFull
            | Reason::Shed
            | Reason::DeadlineTooShort
            | Reason::QueueTimeout
            | Reason::UpstreamRateLimited
            | Reason::Timeout
    );
    match answer.outcome() {
        Outcome::Answered => answer.lacked_room_below,
        _ => is_load,
    }
}

/// Lowest HTTP status that reports a failure of the upstream.
pub(crate) const MIN_SERVER_ERROR_STATUS: u16 = 500;

/// Whether an upstream has answered, and not with a failure.
pub(crate) fn is_valid_answer(answer: &Answer) -> bool {
    answer.outcome() == Outcome::Answered && answer.status < u32::from(MIN_SERVER_ERROR_STATUS)
}

/// Returns when the caller may retry: after the time that the refusing node gave, or soon if it
/// gave none and the reason is transient.
pub(crate) fn retry_after(answer: &Answer) -> Option<Duration> {
    if answer.retry_after_ms > 0 {
        return Some(Duration::from_millis(answer.retry_after_ms.into()));
    }
    let passes = answer.outcome() == Outcome::NotRun && is_transient(answer.reason());
    passes.then(|| retry_delay(NO_CLASSES_SHED))
}

/// Returns when a caller that is refused here should retry. The entry node does not know how far
/// demand exceeds capacity. The number of shed classes approximates it, since each class is a
/// considerable part of the demand.
pub(crate) fn retry_delay(classes_shed: f64) -> Duration {
    hemlocktack_decide::retry_after(classes_shed, rand::random(), &RetryAfterPolicy::default())
}

/// Whether the same request may succeed a little later.
fn is_transient(reason: Reason) -> bool {
    matches!(
        reason,
        Reason::NoUpstream
            | Reason::QueueFull
            | Reason::Shed
            | Reason::UpstreamShed
            | Reason::UpstreamRateLimited
            | Reason::MemoryFull
            | Reason::DeadlineTooShort
            | Reason::QueueTimeout
            | Reason::RetriesSpent
            | Reason::Starting
            | Reason::ConfigurationStale
            | Reason::QuotaUnknown
            | Reason::Draining
            | Reason::UpstreamDraining
            | Reason::LinkLost
            | Reason::Fenced
            | Reason::Cancelled
            | Reason::Timeout
            | Reason::UpstreamFailed
            | Reason::UpstreamUnreachable
            | Reason::UpstreamReplaced
    )
}

/// Converts an answer to the failure that retry decisions use; `None` for an answered call.
pub(super) fn call_failure(answer: &Answer) -> Option<CallFailure> {
    let reason = answer.reason();
    match answer.outcome() {
        Outcome::Answered => None,
        Outcome::NotRun => {
            let retry_after = (answer.retry_after_ms > 0)
                .then(|| Duration::from_millis(answer.retry_after_ms.into()));
            Some(CallFailure::NotRun(Refusal {
                reason,
                retry_after,
            }))
        }
        Outcome::Unknown | Outcome::Unspecified => Some(CallFailure::Unknown(reason)),
    }
}
