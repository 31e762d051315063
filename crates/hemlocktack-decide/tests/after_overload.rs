//! Estimates of a node after its child services were overloaded.

mod support;

use std::time::{Duration, Instant};

use hemlocktack_decide::{
    Admission, AdmissionDecision, AdmissionPolicy, ObjectiveLimitPolicy, OfferedCall,
    QueueDecision, RunResult,
};
use hemlocktack_protocol::Reason;

use crate::support::first_attempt;

const SLOTS: u32 = 100;
const CALLER_TIMEOUT: Duration = Duration::from_millis(1_500);
const OWN_WORK: Duration = Duration::from_millis(15);
/// Duration of a call while its child service is overloaded.
const OVERLOADED: Duration = Duration::from_millis(1_300);

fn admission(now: Instant) -> Admission {
    let policy = AdmissionPolicy {
        objective: Some(ObjectiveLimitPolicy::default()),
        ..AdmissionPolicy::default()
    };
    let mut admission = Admission::new(policy, now);
    admission.announced(SLOTS, SLOTS * 7, false, now);
    admission
}

/// A child call to read data, three hops below a lookup.
fn read(call_id: u64, now: Instant) -> OfferedCall {
    OfferedCall {
        work_spent: OWN_WORK,
        ..first_attempt(call_id, 2, now + CALLER_TIMEOUT)
    }
}

/// Calls of another kind that keep all slots busy.
fn payment(call_id: u64, now: Instant) -> OfferedCall {
    OfferedCall {
        class_rank: 0,
        deadline: now + CALLER_TIMEOUT * 4,
        work_spent: Duration::ZERO,
        kind: 2,
        ..read(call_id, now)
    }
}

/// While a child service is overloaded, finished reads took 1.3 s, and a new read has 1.5 s
/// left. Since its expected time is taken a quarter longer, it is refused at once. After the
/// overload has passed, no read would run to show it, and callers of lookups would be refused
/// until the nodes restart. The estimate therefore has to decay.
#[test]
fn an_estimate_from_an_overload_decays_after_it() {
    let start = Instant::now();
    let mut admission = admission(start);
    for call_id in 0..8 {
        assert_eq!(
            admission.offer(&read(call_id, start), start),
            AdmissionDecision::Run
        );
    }
    let now = start + OVERLOADED;
    for call_id in 0..8 {
        admission.finish(call_id, RunResult::Answered, OVERLOADED - OWN_WORK, now);
    }
    let mut payments = 1_000;
    while admission.offer(&payment(payments, now), now) == AdmissionDecision::Run {
        payments += 1;
    }
    admission.cancel(payments);
    let AdmissionDecision::Refused(refusal) = admission.offer(&read(2_000, now), now) else {
        panic!("a read that takes 1.3 s does not fit into 1.5 s beside others");
    };
    assert_eq!(refusal.reason, Reason::DeadlineTooShort);
    let later = now + OVERLOADED + Duration::from_secs(1);
    assert_eq!(
        admission.offer(&read(2_001, later), later),
        AdmissionDecision::Queued
    );
    admission.finish(1_000, RunResult::Answered, Duration::ZERO, later);
    let mut decisions = Vec::new();
    admission.take_decisions(later, &mut decisions);
    let runs = |decision: &QueueDecision| *decision == QueueDecision::Run(2_001);
    assert!(decisions.iter().any(runs), "{decisions:?}");
}
