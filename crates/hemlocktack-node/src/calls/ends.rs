//! Answers that are not an upstream's.

use std::time::Duration;

use hemlocktack_decide::RetryAfterPolicy;
use hemlocktack_protocol::{Answer, CallFailure, Outcome, Reason, Refusal};

/// Pressure behind a refusal that has other causes than load.
pub(crate) const NOTHING_SHED: f64 = 0.0;

/// Nothing ran and nothing will.
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

/// An upstream may have started it.
pub(crate) fn unknown_answer(reason: Reason) -> Answer {
    Answer {
        outcome: Outcome::Unknown.into(),
        reason: reason.into(),
        ..Answer::default()
    }
}

/// Whether a call failed because a service had no room for it, or one below it.
pub(crate) fn lacked_room(answer: &Answer) -> bool {
    let is_load = matches!(
        answer.reason(),
        Reason::QueueFull
            | Reason::Shed
            | Reason::DeadlineTooShort
            | Reason::QueueTimeout
            | Reason::Timeout
    );
    match answer.outcome() {
        Outcome::Answered => answer.lacked_room_below,
        _ => is_load,
    }
}

/// When the caller may come back: as those said who refused it, or soon where
/// they said nothing and the reason passes by itself.
pub(crate) fn retry_after(answer: &Answer) -> Option<Duration> {
    if answer.retry_after_ms > 0 {
        return Some(Duration::from_millis(answer.retry_after_ms.into()));
    }
    let passes = answer.outcome() == Outcome::NotRun && passes_by_itself(answer.reason());
    passes.then(|| wait_before_return(NOTHING_SHED))
}

/// When a caller that is refused here should come back. How far demand exceeds
/// capacity is not known at the entry; the number of classes that are shed
/// grows with it, as each is a good part of the demand.
pub(crate) fn wait_before_return(classes_shed: f64) -> Duration {
    hemlocktack_decide::retry_after(classes_shed, rand::random(), &RetryAfterPolicy::default())
}

/// Whether the same request may get an answer a little later.
fn passes_by_itself(reason: Reason) -> bool {
    matches!(
        reason,
        Reason::NoUpstream
            | Reason::QueueFull
            | Reason::Shed
            | Reason::UpstreamShed
            | Reason::DeadlineTooShort
            | Reason::QueueTimeout
            | Reason::RetriesSpent
            | Reason::Starting
            | Reason::Draining
            | Reason::UpstreamDraining
            | Reason::LinkLost
            | Reason::Fenced
            | Reason::UpstreamFailed
            | Reason::UpstreamUnreachable
            | Reason::UpstreamReplaced
    )
}

/// The end of a call as the decisions see it; `None` for an answer.
pub(super) fn unfinished(answer: &Answer) -> Option<CallFailure> {
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
