//! Child calls that the runs of a kind of call usually make.

use hemlocktack_decide::{ChildCallCounts, RunProfiles};

const LOOKUP: u64 = 7;

fn counts(answered: &[(&str, u32)]) -> ChildCallCounts {
    let mut counts = ChildCallCounts::default();
    for (service, calls) in answered {
        (0..*calls).for_each(|_| counts.record_answer(service));
    }
    counts
}

#[test]
fn the_calls_of_answered_runs_are_learnt_by_service() {
    let mut profiles = RunProfiles::default();
    assert_eq!(profiles.calls_to(LOOKUP, "deep"), None);
    assert!(profiles.makes_several_calls(LOOKUP));
    for _ in 0..200 {
        profiles.record_answer(LOOKUP, &counts(&[("deep", 4), ("keys", 1)]));
    }
    let calls = |service| profiles.calls_to(LOOKUP, service).map(f64::round);
    assert_eq!(calls("deep"), Some(4.0));
    assert_eq!(calls("keys"), Some(1.0));
    assert_eq!(calls("other"), None);
    assert!(profiles.makes_several_calls(LOOKUP));
}

/// Failure: a configuration change makes a kind of call need fewer answers, and its requests keep
/// the low priority of those that need many.
#[test]
fn a_changed_number_of_calls_is_learnt() {
    let mut profiles = RunProfiles::default();
    (0..50).for_each(|_| profiles.record_answer(LOOKUP, &counts(&[("deep", 8)])));
    (0..200).for_each(|_| profiles.record_answer(LOOKUP, &counts(&[("deep", 1)])));
    let calls = profiles.calls_to(LOOKUP, "deep").map(f64::round);
    assert_eq!(calls, Some(1.0));
    assert!(!profiles.makes_several_calls(LOOKUP));
}

/// Failure: a service answers although a child call has failed, and its other child calls get no
/// retries because the run is taken to be lost.
#[test]
fn a_kind_that_answers_after_a_failed_call_does_not_need_every_call() {
    let mut profiles = RunProfiles::default();
    profiles.record_answer(LOOKUP, &counts(&[("deep", 4)]));
    assert!(profiles.needs_every_call(LOOKUP));
    let mut failed = counts(&[("deep", 3)]);
    failed.has_failed = true;
    (0..3).for_each(|_| profiles.record_answer(LOOKUP, &failed));
    assert!(!profiles.needs_every_call(LOOKUP));
}

/// Failure: a caller that makes up routes lets the memory of the nodes grow without bound.
#[test]
fn the_number_of_kinds_is_bounded() {
    let mut profiles = RunProfiles::default();
    for kind in 0..100_000 {
        profiles.record_answer(kind, &counts(&[("deep", 1)]));
    }
    let known = (0..100_000).filter(|&kind| profiles.calls_to(kind, "deep").is_some());
    assert!(known.count() <= 1_024);
}
