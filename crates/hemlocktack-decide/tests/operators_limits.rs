//! Limits that operators change while calls run.
#![allow(clippy::unwrap_used)]

mod support;

use std::time::{Duration, Instant};

use hemlocktack_decide::{
    Admission, AdmissionDecision, AdmissionPolicy, EdgeRetryBudget, OfferedCall, QuarantineStatus,
    QueueDecision, RetryPolicy, RetryPriority, RunResult,
};
use hemlocktack_protocol::{CallId, Reason};

use crate::support::first_attempt;

fn offer(call_id: CallId, now: Instant) -> OfferedCall {
    first_attempt(call_id, 0, now + Duration::from_secs(2))
}

/// The operators set the queue limit to 0 while one call is queued. That call was accepted and
/// still runs; the next one is refused at once.
#[test]
fn a_smaller_queue_limit_keeps_queued_calls() {
    let now = Instant::now();
    let mut admission = Admission::new(AdmissionPolicy::default(), now);
    admission.announced(1, 8, false, now);
    assert_eq!(admission.offer(&offer(1, now), now), AdmissionDecision::Run);
    assert_eq!(
        admission.offer(&offer(2, now), now),
        AdmissionDecision::Queued
    );
    admission.set_queue_limit(0);
    let AdmissionDecision::Refused(refusal) = admission.offer(&offer(3, now), now) else {
        panic!("queued beyond the limit");
    };
    assert_eq!(refusal.reason, Reason::QueueFull);
    admission.finish(1, RunResult::Answered, Duration::ZERO, now);
    let mut decisions = Vec::new();
    admission.take_decisions(now, &mut decisions);
    assert_eq!(decisions, [QueueDecision::Run(2)]);
}

#[test]
fn a_share_of_zero_allows_no_more_retries() {
    let now = Instant::now();
    let policy = RetryPolicy {
        min_retries: 1,
        ..RetryPolicy::default()
    };
    let edge = EdgeRetryBudget::new(policy, now);
    assert!(edge.try_take(RetryPriority::HIGHEST, now), "saved up");
    edge.set_share_per_mille(0);
    (0..100).for_each(|_| edge.record_first_attempt(now));
    assert!(!edge.try_take(RetryPriority::HIGHEST, now));
    edge.set_share_per_mille(500);
    (0..2).for_each(|_| edge.record_first_attempt(now));
    assert!(edge.try_take(RetryPriority::HIGHEST, now));
}

/// The duration of the quarantine follows the operators' setting even if it changes after the
/// crashes.
#[test]
fn the_quarantine_time_follows_the_operators_setting() {
    let now = Instant::now();
    let mut admission = Admission::new(AdmissionPolicy::default(), now);
    let quarantine = admission.quarantine();
    for _ in 0..3 {
        quarantine.crashed(Some(7), &[], now);
    }
    let later = now + Duration::from_secs(20);
    assert_eq!(quarantine.status(7, later), QuarantineStatus::Quarantined);
    quarantine.set_limits(3, Duration::from_secs(10));
    assert_ne!(quarantine.status(7, later), QuarantineStatus::Quarantined);
}
