//! A few direct requests to a service that is full of child calls.

use std::time::{Duration, Instant};

use hemlocktack_decide::{
    Admission, AdmissionDecision, AdmissionPolicy, ObjectiveLimitPolicy, OfferedCall,
    QueueDecision, RunResult,
};

/// A small service three hops down: a lookup needs it four times, and a cancellation calls it
/// directly; both are of the same class.
const SLOTS: u32 = 20;
const CHECK: Duration = Duration::from_millis(22);
const CANCELLATION: Duration = Duration::from_millis(72);
const OBJECTIVE: Duration = Duration::from_millis(250);
const CALLER_TIMEOUT: Duration = Duration::from_secs(5);
const STEP: Duration = Duration::from_millis(1);
/// A fifth more checks than the slots finish per second (0.94 * 20 / 22 ms).
const CHECKS_A_STEP: f64 = 1.03;
/// Eight per second: three hundredths of the slots' time.
const CANCELLATION_EVERY: u64 = 125;
const SECONDS: u64 = 5;

struct Service {
    admission: Admission,
    running: Vec<(Instant, u64)>,
    cancellations_started: u32,
}

const FIRST_CANCELLATION: u64 = 1_000_000;

impl Service {
    fn start(&mut self, call_id: u64, now: Instant) {
        let is_cancellation = call_id >= FIRST_CANCELLATION;
        let work = if is_cancellation { CANCELLATION } else { CHECK };
        self.cancellations_started += u32::from(is_cancellation);
        self.running.push((now + work, call_id));
    }

    fn step(&mut self, now: Instant) {
        let (ended, running) = self.running.iter().partition(|(until, _)| *until <= now);
        self.running = running;
        let ended: Vec<_> = ended;
        for (_, call_id) in ended {
            self.admission
                .finish(call_id, RunResult::Answered, Duration::ZERO, now);
        }
        let mut decisions = Vec::new();
        self.admission.take_decisions(now, &mut decisions);
        for decision in decisions {
            if let QueueDecision::Run(call_id) = decision {
                self.start(call_id, now);
            }
        }
    }
}

fn offer(call_id: u64, is_deeper: bool, now: Instant) -> OfferedCall {
    OfferedCall {
        call_id,
        class_rank: 2,
        deadline: now
            + if is_deeper {
                CALLER_TIMEOUT
            } else {
                OBJECTIVE * 4
            },
        objective: (!is_deeper).then(|| now + OBJECTIVE),
        has_returned: false,
        root_request_id: call_id,
        work_spent: if is_deeper { CHECK } else { Duration::ZERO },
        fingerprint: call_id,
        kind: if is_deeper { 1 } else { 2 },
    }
}

/// Child calls keep a queue in front of a small service for seconds, and each new one goes ahead
/// of all fresh requests. Cancellations are 3 % of the work and of the same class. Without a
/// turn of their own they would all be refused (0 of 40 start).
#[test]
fn a_few_fresh_requests_get_their_turn_beside_child_calls() {
    let policy = AdmissionPolicy {
        objective: Some(ObjectiveLimitPolicy::default()),
        ..AdmissionPolicy::default()
    };
    let mut now = Instant::now();
    let mut admission = Admission::new(policy, now);
    admission.announced(SLOTS, 220, false, now);
    let mut service = Service {
        admission,
        running: Vec::new(),
        cancellations_started: 0,
    };
    let (mut checks, mut cancellations) = (0_u64, 0_u64);
    for step in 0..SECONDS * 1_000 {
        now += STEP;
        service.step(now);
        let mut offers = Vec::new();
        while (checks as f64) < step as f64 * CHECKS_A_STEP {
            checks += 1;
            offers.push(offer(checks, true, now));
        }
        if step % CANCELLATION_EVERY == 0 {
            offers.push(offer(FIRST_CANCELLATION + cancellations, false, now));
            cancellations += 1;
        }
        for offer in offers {
            if service.admission.offer(&offer, now) == AdmissionDecision::Run {
                service.start(offer.call_id, now);
            }
        }
    }
    let started = u64::from(service.cancellations_started);
    assert!(
        started * 100 >= cancellations * 95,
        "{started} of {cancellations}"
    );
}
