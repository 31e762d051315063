//! Crash quarantine over several upstreams.
#![allow(clippy::unwrap_used)]

mod support;

use std::time::{Duration, Instant};

use hemlocktack_decide::{
    Admission, AdmissionDecision, AdmissionPolicy, OfferedCall, Quarantine, QuarantinePolicy,
    QuarantineStatus, QueueDecision, RunResult,
};
use hemlocktack_protocol::{Fingerprint, Reason};

use crate::support::first_attempt;

const CRASHING: Fingerprint = 666;

fn admission(now: Instant) -> Admission {
    let mut admission = Admission::new(AdmissionPolicy::default(), now);
    admission.announced(8, 64, false, now);
    admission
}

fn offer(call_id: u64, fingerprint: Fingerprint, now: Instant) -> OfferedCall {
    OfferedCall {
        fingerprint,
        ..first_attempt(call_id, 0, now + Duration::from_secs(2))
    }
}

fn ready(admission: &mut Admission, now: Instant) -> Vec<QueueDecision> {
    let mut decisions = Vec::new();
    admission.take_decisions(now, &mut decisions);
    decisions
}

fn exchange_updates(from: &mut Admission, to: &mut Admission, now: Instant) {
    for suspect in from.quarantine().take_updates() {
        to.quarantine().learn(suspect, now);
    }
}

/// A caller retries a failing request, and each time an upstream crashes with all that runs in
/// it. The first crash does not show which of the calls caused it; the second has only one
/// suspect.
#[test]
fn a_request_that_crashes_upstreams_is_refused_after_the_second_crash() {
    let now = Instant::now();
    let mut upstreams = [admission(now), admission(now), admission(now)];
    let harmless_requests = [1, 2, 3];
    for fingerprint in harmless_requests.into_iter().chain([CRASHING]) {
        let offer = offer(fingerprint, fingerprint, now);
        assert_eq!(upstreams[0].offer(&offer, now), AdmissionDecision::Run);
    }
    let mut ended = Vec::new();
    upstreams[0].crashed(&mut ended, now);
    assert_eq!(ended.len(), 4);
    let [first, second, third] = &mut upstreams;
    let updates = first.quarantine().take_updates();
    for suspect in updates {
        second.quarantine().learn(suspect, now);
        third.quarantine().learn(suspect, now);
    }

    // All four are sent again, to the second upstream, where they run one at a time.
    assert_eq!(
        second.offer(&offer(10, 99, now), now),
        AdmissionDecision::Run
    );
    for fingerprint in harmless_requests.into_iter().chain([CRASHING]) {
        let offer = offer(fingerprint, fingerprint, now);
        assert_eq!(second.offer(&offer, now), AdmissionDecision::Queued);
    }
    for harmless in harmless_requests {
        assert_eq!(ready(second, now), [QueueDecision::Run(harmless)]);
        second.finish(harmless, RunResult::Answered, Duration::ZERO, now);
        assert_eq!(
            second.quarantine().status(harmless, now),
            QuarantineStatus::Clear
        );
    }
    assert_eq!(ready(second, now), [QueueDecision::Run(CRASHING)]);
    second.crashed(&mut ended, now);
    exchange_updates(second, third, now);

    let AdmissionDecision::Refused(refusal) = third.offer(&offer(20, CRASHING, now), now) else {
        panic!("refused everywhere");
    };
    assert_eq!(refusal.reason, Reason::Quarantined);
    for harmless in harmless_requests.into_iter().chain([99]) {
        assert_eq!(
            third.offer(&offer(harmless, harmless, now), now),
            AdmissionDecision::Run
        );
    }
}

/// Copies of the request are queued when it is quarantined. They must not run although they were
/// accepted before.
#[test]
fn a_queued_copy_of_a_quarantined_request_is_refused() {
    let now = Instant::now();
    let mut upstream = admission(now);
    upstream.quarantine().crashed(None, &[1, CRASHING], now);
    assert_eq!(
        upstream.offer(&offer(1, 1, now), now),
        AdmissionDecision::Queued
    );
    assert_eq!(
        upstream.offer(&offer(2, CRASHING, now), now),
        AdmissionDecision::Queued
    );
    assert_eq!(ready(&mut upstream, now), [QueueDecision::Run(1)]);
    upstream.quarantine().crashed(Some(CRASHING), &[], now);
    upstream.finish(1, RunResult::Answered, Duration::ZERO, now);
    let decisions = ready(&mut upstream, now);
    assert!(matches!(
        decisions[..],
        [QueueDecision::Refuse(2, refusal)] if refusal.reason == Reason::Quarantined
    ));
}

/// A harmless request is refused because an upstream crashed for another reason while the
/// request was its only suspect. The quarantine ends, the request runs once more as a suspect,
/// and its answer clears it.
#[test]
fn a_quarantine_ends_and_can_be_cleared() {
    let policy = QuarantinePolicy::default();
    let mut now = Instant::now();
    let mut quarantine = Quarantine::new(policy);
    quarantine.crashed(None, &[1, 2], now);
    quarantine.crashed(Some(1), &[1, 3], now);
    assert_eq!(quarantine.status(1, now), QuarantineStatus::Quarantined);
    assert_eq!(quarantine.status(2, now), QuarantineStatus::Suspected);
    assert_eq!(quarantine.status(3, now), QuarantineStatus::Clear);
    now += policy.quarantined_for;
    assert_eq!(quarantine.status(1, now), QuarantineStatus::Suspected);
    quarantine.finished(1);
    assert_eq!(quarantine.status(1, now), QuarantineStatus::Clear);
    assert_eq!(quarantine.status(2, now), QuarantineStatus::Clear);
}

#[test]
fn the_table_stays_bounded_and_keeps_quarantined_requests() {
    let now = Instant::now();
    let mut quarantine = Quarantine::new(QuarantinePolicy::default());
    quarantine.crashed(None, &[CRASHING], now);
    quarantine.crashed(Some(CRASHING), &[], now);
    let others: Vec<_> = (1000..4000).collect();
    quarantine.crashed(None, &others, now + Duration::from_secs(1));
    assert_eq!(quarantine.refused(now), [CRASHING]);
}
