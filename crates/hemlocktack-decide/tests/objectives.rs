//! The concurrency limit by latency objectives, under overload.

mod support;

use std::time::{Duration, Instant};

use hemlocktack_decide::{
    Admission, AdmissionDecision, AdmissionPolicy, ObjectiveLimitPolicy, OfferedCall, RunResult,
};

use crate::support::first_attempt;

const SLOTS: u32 = 92;
/// Usable slots of 92, since some upstreams slow down when they are nearly full.
const FILLED_SLOTS: u32 = 86;
const OBJECTIVE: Duration = Duration::from_millis(1_500);
const CALLER_TIMEOUT: Duration = Duration::from_secs(6);
const OWN_WORK: Duration = Duration::from_millis(90);

fn admission(now: Instant) -> Admission {
    let policy = AdmissionPolicy {
        objective: Some(ObjectiveLimitPolicy::default()),
        ..AdmissionPolicy::default()
    };
    let mut admission = Admission::new(policy, now);
    admission.announced(SLOTS, 652, false, now);
    admission
}

fn offer(call_id: u64, now: Instant) -> OfferedCall {
    OfferedCall {
        objective: Some(now + OBJECTIVE),
        ..first_attempt(call_id, 2, now + CALLER_TIMEOUT)
    }
}

/// Keeps every slot busy for some rounds in which each call takes `run`, of which the upstream
/// itself needs `own`. Returns the limit after each round.
fn run_rounds(rounds: usize, own: Duration, run: Duration) -> Vec<u32> {
    let mut now = Instant::now();
    let mut admission = admission(now);
    let mut next_call = 0;
    let mut limits = Vec::new();
    for _ in 0..rounds {
        let mut running = Vec::new();
        for _ in 0..SLOTS * 2 {
            next_call += 1;
            if admission.offer(&offer(next_call, now), now) == AdmissionDecision::Run {
                running.push(next_call);
            }
        }
        now += run;
        for call_id in running {
            admission.finish(call_id, RunResult::Answered, run - own, now);
        }
        let mut decisions = Vec::new();
        admission.take_decisions(now + CALLER_TIMEOUT, &mut decisions);
        now += CALLER_TIMEOUT;
        for call_id in 1..=next_call {
            admission.cancel(call_id);
            admission.finish(call_id, RunResult::Cancelled, Duration::ZERO, now);
        }
        limits.push(
            admission
                .hint(hemlocktack_decide::ShedLevel::OPEN, now)
                .limit,
        );
    }
    limits
}

/// Ten calls in sequence wait at a full child service, and each request takes 1.3 of its 1.5 s.
/// With lower concurrency each waits less, so the limit is lowered until runs take six tenths of
/// the objective; the remaining calls are refused before any work is done.
#[test]
fn waiting_for_child_calls_lowers_the_limit() {
    let limits = run_rounds(3, OWN_WORK, Duration::from_millis(1_300));
    assert!(limits[0] < SLOTS * 7 / 10, "{limits:?}");
    assert!(limits[2] < limits[0], "{limits:?}");
}

/// An upstream at half speed takes most of the objective itself. It is just as slow with fewer
/// calls, so a lower limit would only waste slots.
#[test]
fn an_upstream_that_is_slow_itself_keeps_its_slots() {
    let run = Duration::from_millis(1_300);
    assert_eq!(run_rounds(3, run, run), [FILLED_SLOTS; 3]);
}

/// Returns an admission whose runs take `run`, mostly in child calls, with every slot busy and
/// no call queued.
fn busy(run: Duration, now: Instant) -> (Admission, Instant) {
    let mut admission = admission(now);
    for call_id in 0..u64::from(FILLED_SLOTS) {
        assert_eq!(
            admission.offer(&offer(call_id, now), now),
            AdmissionDecision::Run
        );
    }
    let later = now + run;
    for call_id in 0..8 {
        admission.finish(call_id, RunResult::Answered, run - OWN_WORK, later);
    }
    let mut call_id = 1_000;
    while admission.offer(&offer(call_id, later), later) == AdmissionDecision::Run {
        call_id += 1;
    }
    admission.cancel(call_id);
    (admission, later)
}

/// At a saturated service, a caller that was refused earlier retries with less of its objective
/// left than a run takes. Its answer would be late in any case; a first attempt in its place is
/// answered in time.
#[test]
fn a_retry_that_would_be_late_does_not_displace_a_first_attempt() {
    let run = Duration::from_millis(600);
    let (mut admission, now) = busy(run, Instant::now());
    let returned = OfferedCall {
        objective: Some(now + Duration::from_millis(500)),
        has_returned: true,
        ..offer(2_000, now)
    };
    let decision = admission.offer(&returned, now);
    assert!(
        matches!(decision, AdmissionDecision::Refused(_)),
        "{decision:?}"
    );
    let in_time = OfferedCall {
        objective: Some(now + Duration::from_millis(900)),
        ..returned
    };
    assert_eq!(admission.offer(&in_time, now), AdmissionDecision::Queued);
    assert_eq!(
        admission.offer(&offer(2_001, now), now),
        AdmissionDecision::Queued
    );
}

/// A refused caller is told a Retry-After after which it can still be answered in time: a run
/// takes 0.6 of 1.5 s.
#[test]
fn retry_after_leaves_time_for_the_run() {
    let run = Duration::from_millis(600);
    let (mut admission, now) = busy(run, Instant::now());
    let slack = OBJECTIVE - run;
    let mut refused = 0;
    for call_id in 3_000..3_400 {
        if let AdmissionDecision::Refused(refusal) = admission.offer(&offer(call_id, now), now) {
            let wait = refusal.retry_after.expect("a time to come back");
            assert!(wait <= slack, "{wait:?}");
            refused += 1;
        }
    }
    assert!(refused > 100, "{refused}");
}

/// Requests make ten calls in sequence to a child service with capacity for a third of them.
/// Nine in ten fail halfway when one of their calls is refused, and the tenth is answered in
/// time. Judged by the answers alone, the limit would stay as it is, and the child service would
/// keep working for requests that fail. With a lower limit most requests are answered.
#[test]
fn child_calls_refused_for_capacity_lower_the_limit() {
    let mut now = Instant::now();
    let mut admission = admission(now);
    let run = Duration::from_millis(400);
    let mut next_call = 0;
    for _ in 0..4 {
        let mut running = Vec::new();
        loop {
            next_call += 1;
            if admission.offer(&offer(next_call, now), now) != AdmissionDecision::Run {
                break;
            }
            running.push(next_call);
        }
        admission.cancel(next_call);
        now += run;
        for (number, call_id) in running.into_iter().enumerate() {
            let ended = match number % 10 {
                0 => RunResult::Answered,
                _ => RunResult::ChildLackedCapacity,
            };
            admission.finish(call_id, ended, run - OWN_WORK, now);
        }
    }
    let limit = admission
        .hint(hemlocktack_decide::ShedLevel::OPEN, now)
        .limit;
    assert!(limit <= FILLED_SLOTS / 3, "{limit}");
}

/// A chain takes 0.8 of 1.5 s without any queueing. An overload lowers the limit to its minimum.
/// There the runs are as short as possible and still take more than half of the objective. The
/// limit has to rise again: held at its minimum, three of four requests that could be served
/// would be refused.
#[test]
fn a_long_chain_is_not_held_at_the_minimum_limit() {
    let free = Duration::from_millis(800);
    let mut now = Instant::now();
    let mut admission = admission(now);
    let mut next_call = 0;
    let mut limits = Vec::new();
    for round in 0..40 {
        let run = if round < 8 { OBJECTIVE } else { free };
        let mut running = Vec::new();
        loop {
            next_call += 1;
            match admission.offer(&offer(next_call, now), now) {
                AdmissionDecision::Run => running.push(next_call),
                AdmissionDecision::Queued | AdmissionDecision::Refused(_) => break,
            }
        }
        admission.cancel(next_call);
        now += run;
        for call_id in running {
            admission.finish(call_id, RunResult::Answered, run - OWN_WORK, now);
        }
        limits.push(
            admission
                .hint(hemlocktack_decide::ShedLevel::OPEN, now)
                .limit,
        );
    }
    assert!(limits[7] <= FILLED_SLOTS / 8, "{limits:?}");
    assert!(limits[39] >= FILLED_SLOTS / 2, "{limits:?}");
}
