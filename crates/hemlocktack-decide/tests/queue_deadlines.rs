//! Queued calls at their deadlines.

mod support;

use std::time::{Duration, Instant};

use hemlocktack_decide::{Admission, AdmissionDecision, AdmissionPolicy, QueueDecision};
use hemlocktack_protocol::Reason;

use crate::support::first_attempt;

/// Time in which a refusal reaches the node that sent the call.
const RETURN_TIME: Duration = Duration::from_millis(5);

/// Returns how long before its deadline a call is refused that waits in vain.
fn refused_before_deadline(time_left: Duration) -> Option<Duration> {
    let start = Instant::now();
    let mut admission = Admission::new(AdmissionPolicy::default(), start);
    admission.announced(1, 10, false, start);
    let far = start + Duration::from_secs(60);
    assert_eq!(
        admission.offer(&first_attempt(1, 0, far), start),
        AdmissionDecision::Run
    );
    let deadline = start + time_left;
    let waiting = first_attempt(2, 0, deadline);
    assert_eq!(admission.offer(&waiting, start), AdmissionDecision::Queued);
    let mut now = start;
    let mut decisions = Vec::new();
    while decisions.is_empty() {
        // Timers are up to a millisecond late.
        now = admission.next_wake()?.max(now) + Duration::from_millis(1);
        admission.take_decisions(now, &mut decisions);
    }
    let [QueueDecision::Refuse(2, refusal)] = decisions[..] else {
        panic!("{decisions:?}");
    };
    assert_eq!(refusal.reason, Reason::QueueTimeout);
    deadline.checked_duration_since(now)
}

/// Guards against a refusal that is decided at the deadline. The sender answers its caller at the
/// same time, without it: 504 for a call that was never handed to an upstream.
#[test]
fn a_call_that_waits_in_vain_is_refused_before_its_sender_gives_up() {
    for time_left_ms in [40, 73, 100, 250, 1_000, 5_000, 30_000] {
        let before = refused_before_deadline(Duration::from_millis(time_left_ms));
        assert!(
            before.is_some_and(|before| before >= RETURN_TIME),
            "{time_left_ms} ms: {before:?} before the deadline"
        );
    }
}
