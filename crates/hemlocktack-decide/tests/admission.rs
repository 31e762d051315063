//! Admission on the node of one upstream.
#![allow(clippy::unwrap_used)]

mod support;

use std::time::{Duration, Instant};

use hemlocktack_decide::{
    Admission, AdmissionDecision, AdmissionPolicy, CancelResult, OfferedCall, QueueDecision,
    RunResult, ShedLevel,
};
use hemlocktack_protocol::{CallId, Reason, UpstreamState};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::support::first_attempt;

const CALLER_TIMEOUT: Duration = Duration::from_secs(2);
const WORK: Duration = Duration::from_millis(20);

fn admission(slots: u32, now: Instant) -> Admission {
    let mut admission = Admission::new(AdmissionPolicy::default(), now);
    admission.announced(slots, slots * 8, false, now);
    admission
}

fn offer(call_id: CallId, class_rank: u8, now: Instant) -> OfferedCall {
    first_attempt(call_id, class_rank, now + CALLER_TIMEOUT)
}

fn ready(admission: &mut Admission, now: Instant) -> Vec<QueueDecision> {
    let mut decisions = Vec::new();
    admission.take_decisions(now, &mut decisions);
    decisions
}

#[test]
fn runs_up_to_the_slots_and_queues_the_rest_by_class() {
    let now = Instant::now();
    let mut admission = admission(2, now);
    assert_eq!(
        admission.offer(&offer(1, 1, now), now),
        AdmissionDecision::Run
    );
    assert_eq!(
        admission.offer(&offer(2, 1, now), now),
        AdmissionDecision::Run
    );
    assert_eq!(
        admission.offer(&offer(3, 1, now), now),
        AdmissionDecision::Queued
    );
    assert_eq!(
        admission.offer(&offer(4, 0, now), now),
        AdmissionDecision::Queued
    );
    let has_prior_work = OfferedCall {
        work_spent: WORK,
        ..offer(5, 1, now)
    };
    assert_eq!(
        admission.offer(&has_prior_work, now),
        AdmissionDecision::Queued
    );
    let mut order = Vec::new();
    for done in [1, 2, 4, 5] {
        admission.finish(done, RunResult::Answered, Duration::ZERO, now + WORK);
        order.extend(ready(&mut admission, now + WORK));
    }
    let expected = [4, 5, 3].map(QueueDecision::Run);
    assert_eq!(order, expected);
}

#[test]
fn a_full_queue_drops_the_least_important_call_first() {
    let now = Instant::now();
    let mut admission = admission(1, now);
    admission.offer(&offer(0, 1, now), now);
    let queued = (1..)
        .take_while(|id| admission.offer(&offer(*id, 1, now), now) == AdmissionDecision::Queued);
    let last_queued = queued.last().unwrap();
    assert_eq!(
        admission.offer(&offer(900, 0, now), now),
        AdmissionDecision::Queued
    );
    let decisions = ready(&mut admission, now);
    let [QueueDecision::Refuse(evicted, refusal)] = decisions[..] else {
        panic!("one call gives way: {decisions:?}");
    };
    assert_eq!((evicted, refusal.reason), (last_queued, Reason::QueueFull));
    assert!(refusal.retry_after.is_some());
}

#[test]
fn a_call_that_cannot_be_answered_in_time_is_refused_at_once() {
    let now = Instant::now();
    let mut admission = admission(1, now);
    admission.offer(&offer(1, 0, now), now);
    let later = now + Duration::from_millis(100);
    admission.finish(1, RunResult::Answered, Duration::ZERO, later);
    admission.offer(&offer(2, 0, later), later);
    let hurried = OfferedCall {
        deadline: later + Duration::from_millis(150),
        ..offer(3, 0, later)
    };
    let AdmissionDecision::Refused(refusal) = admission.offer(&hurried, later) else {
        panic!("100 ms of wait and 100 ms of work do not fit into 150 ms");
    };
    assert_eq!(refusal.reason, Reason::DeadlineTooShort);
}

#[test]
fn expired_and_cancelled_calls_never_run() {
    let now = Instant::now();
    let mut admission = admission(1, now);
    for call_id in 1..=3 {
        admission.offer(&offer(call_id, 0, now), now);
    }
    assert_eq!(admission.cancel(2), CancelResult::Dequeued);
    assert_eq!(admission.cancel(1), CancelResult::Running);
    assert_eq!(admission.cancel(9), CancelResult::UnknownCall);
    let late = now + CALLER_TIMEOUT;
    let decisions = ready(&mut admission, late);
    assert!(matches!(
        decisions[..],
        [QueueDecision::Refuse(3, refusal)] if refusal.reason == Reason::QueueTimeout
    ));
    admission.finish(1, RunResult::Cancelled, Duration::ZERO, late);
    assert_eq!(ready(&mut admission, late), []);
}

#[test]
fn a_draining_upstream_takes_nothing_new_and_runs_what_it_accepted() {
    let now = Instant::now();
    let mut admission = admission(1, now);
    admission.offer(&offer(1, 0, now), now);
    admission.offer(&offer(2, 0, now), now);
    admission.drain(Reason::UpstreamDraining);
    let AdmissionDecision::Refused(refusal) = admission.offer(&offer(3, 0, now), now) else {
        panic!("nothing new while draining");
    };
    assert_eq!(refusal.reason, Reason::UpstreamDraining);
    admission.finish(1, RunResult::Answered, Duration::ZERO, now + WORK);
    assert_eq!(ready(&mut admission, now + WORK), [QueueDecision::Run(2)]);
}

/// Short queues at half load are not an overload. Calls arrive unevenly, up to 24 in a row for
/// four slots. If the queue at the end of an interval were taken for an overload, the entries
/// would shed by the level sent back, and callers would see requests refused as `shed` although
/// the upstream is idle half of the time.
#[test]
fn short_queues_at_half_load_do_not_start_shedding() {
    let work = Duration::from_millis(10);
    let mut rng = SmallRng::seed_from_u64(4);
    let start = Instant::now();
    let mut admission = admission(4, start);
    let mut running: Vec<(Instant, CallId)> = Vec::new();
    for (call_id, arrives) in uneven_arrivals(start, work, &mut rng) {
        while let Some(ends) = running.iter().map(|(ends, _)| *ends).min()
            && ends <= arrives
        {
            let ended: Vec<_> = running.extract_if(.., |(at, _)| *at <= ends).collect();
            for (_, call_id) in ended {
                admission.finish(call_id, RunResult::Answered, Duration::ZERO, ends);
            }
            for decision in ready(&mut admission, ends) {
                let QueueDecision::Run(call_id) = decision else {
                    panic!("{decision:?}");
                };
                running.push((ends + work, call_id));
            }
        }
        match admission.offer(&offer(call_id, 1, arrives), arrives) {
            AdmissionDecision::Run => running.push((arrives + work, call_id)),
            AdmissionDecision::Queued => {}
            AdmissionDecision::Refused(refusal) => panic!("call {call_id}: {refusal}"),
        }
        assert_eq!(admission.shed_level(), ShedLevel::OPEN, "call {call_id}");
    }
}

/// Returns batches of up to 24 calls half a millisecond apart, each followed by a pause: on
/// average half of what four slots can handle.
fn uneven_arrivals(start: Instant, work: Duration, rng: &mut SmallRng) -> Vec<(CallId, Instant)> {
    let apart = Duration::from_micros(500);
    let mut arrivals = Vec::new();
    let mut at = start;
    while arrivals.len() < 20_000 {
        let batch: u32 = rng.random_range(1..=24);
        for index in 0..batch {
            arrivals.push((arrivals.len() as CallId, at + apart * index));
        }
        at += work * batch / 2;
    }
    arrivals
}

/// Announcements, drains and expired announcements arrive in any order. The admission accepts
/// new calls exactly if the state synchronized last accepts them.
#[test]
fn accepts_calls_according_to_the_last_synchronized_state() {
    use UpstreamState::{Absent, Cold, Draining, Ready};
    let states = [Absent, Cold, Ready, Draining];
    let orders =
        states.map(|first| states.map(|second| states.map(|third| [first, second, third])));
    for (number, order) in orders.iter().flatten().flatten().enumerate() {
        let now = Instant::now();
        let mut admission = Admission::new(AdmissionPolicy::default(), now);
        for upstream in order {
            admission.sync_upstream_state(*upstream, 4, 32, now);
        }
        let decision = admission.offer(&offer(number as CallId, 0, now), now);
        let expected = match order[2] {
            Cold | Ready => None,
            Draining => Some(Reason::UpstreamDraining),
            Absent | UpstreamState::Unspecified => Some(Reason::NoUpstream),
        };
        let refused = match decision {
            AdmissionDecision::Refused(refusal) => Some(refusal.reason),
            AdmissionDecision::Run | AdmissionDecision::Queued => None,
        };
        assert_eq!(refused, expected, "{order:?}");
    }
}
