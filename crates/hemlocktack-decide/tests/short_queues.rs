//! Overload of a service whose objective allows a short queue only.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use hemlocktack_decide::{Admission, AdmissionPolicy, Ended, ObjectivePolicy, Offer, Verdict};
use hemlocktack_protocol::Reason;

const SLOTS: u32 = 40;
/// Of 40: the limit by objectives leaves some free.
const FILLED_SLOTS: u32 = 37;
const OBJECTIVE: Duration = Duration::from_millis(1_500);
const PATIENCE: Duration = Duration::from_secs(6);
/// In front of 37 such runs nine calls may wait and still be answered in time; a
/// quarter of the limit is more.
const RUN: Duration = Duration::from_secs(1);
const STEP: Duration = Duration::from_millis(10);
const OVERLOAD: Duration = Duration::from_secs(12);
/// Time in which the level settles.
const SETTLED_AFTER: Duration = Duration::from_secs(4);

#[derive(Default)]
struct Counts {
    at_entry: u32,
    beside_upstream: u32,
    run: u32,
}

fn offer(call_id: u64, now: Instant) -> Offer {
    Offer {
        call_id,
        class_rank: 2,
        deadline: now + PATIENCE,
        objective: Some(now + OBJECTIVE),
        has_returned: false,
        root_request_id: call_id.wrapping_mul(0x9e37_79b9_7f4a_7c15),
        work_spent: Duration::ZERO,
        fingerprint: call_id,
        kind: 1,
    }
}

/// Twice as many requests as the slots can finish, over several seconds. The queue
/// that the objective allows is shorter than the one that shedding used to wait for,
/// so every second request went to a node beside an upstream, was refused there for
/// its wait, was put on another node and refused again, while the entries knew of
/// nothing. Refused where they enter, they cost nobody anything.
#[test]
fn an_overload_is_refused_where_it_enters_also_where_queues_are_short() {
    let counts = overload();
    let refused = counts.at_entry + counts.beside_upstream;
    assert!(
        counts.beside_upstream * 5 < refused,
        "{} of {refused} beside the upstream",
        counts.beside_upstream
    );
    let settled = OVERLOAD - SETTLED_AFTER;
    let could_run = settled.as_secs_f64() / RUN.as_secs_f64() * f64::from(FILLED_SLOTS);
    assert!(
        f64::from(counts.run) > could_run * 0.95,
        "{} of {could_run}",
        counts.run
    );
}

fn overload() -> Counts {
    let begun = Instant::now();
    let policy = AdmissionPolicy {
        objective: Some(ObjectivePolicy::default()),
        ..AdmissionPolicy::default()
    };
    let mut admission = Admission::new(policy, begun);
    admission.announced(SLOTS, 364, false, begun);
    let demand_a_step = 2.0 * f64::from(FILLED_SLOTS) * STEP.as_secs_f64() / RUN.as_secs_f64();
    let mut running: VecDeque<(Instant, u64)> = VecDeque::new();
    let mut counts = Counts::default();
    let (mut demand, mut call_id) = (0.0, 0);
    let mut now = begun;
    while now < begun + OVERLOAD {
        let is_settled = now >= begun + SETTLED_AFTER;
        let count = u32::from(is_settled);
        let ended = running.partition_point(|(end, _)| *end <= now);
        for (_, ended) in running.drain(..ended) {
            admission.finish(ended, Ended::Answered, Duration::ZERO, now);
        }
        let mut decisions = Vec::new();
        admission.take_ready(now, &mut decisions);
        for decision in decisions {
            if let hemlocktack_decide::Decision::Run(call_id) = decision {
                running.push_back((now + RUN, call_id));
                counts.run += count;
            }
        }
        demand += demand_a_step;
        while demand >= 1.0 {
            demand -= 1.0;
            call_id += 1;
            let offer = offer(call_id, now);
            if !admission
                .shed_level()
                .admits(offer.class_rank, offer.root_request_id)
            {
                counts.at_entry += count;
                continue;
            }
            match admission.offer(&offer, now) {
                Verdict::Run => {
                    running.push_back((now + RUN, call_id));
                    counts.run += count;
                }
                Verdict::Queued => {}
                Verdict::Refused(refusal) => {
                    assert_ne!(refusal.reason, Reason::QueueFull);
                    counts.beside_upstream += count;
                }
            }
        }
        now += STEP;
    }
    counts
}
