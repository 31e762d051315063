//! Requests that need several calls of one deep service which is too small for all of them.

#![allow(clippy::unwrap_used)]

use std::collections::HashMap;
use std::time::{Duration, Instant};

use hemlocktack_decide::{
    Admission, AdmissionDecision, AdmissionPolicy, ObjectiveLimitPolicy, OfferedCall,
    QueueDecision, RunResult,
};

/// The deep service: 18 of its 20 slots are used, so it finishes 580 checks a second.
const SLOTS: u32 = 20;
const USED_SLOTS: f64 = 18.0;
const CHECK: Duration = Duration::from_millis(31);
/// A decision makes two chains of checks at the same time, with its own work between them.
const CHAINS: usize = 2;
const CHECKS_PER_CHAIN: usize = 4;
const OWN_WORK: Duration = Duration::from_millis(4);
const DECISION_TIMEOUT: Duration = Duration::from_millis(800);
/// Less important requests that need one chain.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(1_200);
const LOOKUPS_PER_SEC: f64 = 100.0;
const DECISION_CLASS: u32 = 0;
const LOOKUP_CLASS: u32 = 2;
const STEP: Duration = Duration::from_millis(1);
const WARM_UP_STEPS: u64 = 2_000;
const STEPS: u64 = 12_000;

struct Request {
    class_rank: u32,
    deadline: Instant,
    began: Instant,
    chains_left: usize,
    has_failed: bool,
}

#[derive(Clone, Copy)]
struct Check {
    request: u64,
    /// Position in its chain, from 0.
    position: usize,
}

struct Simulation {
    now: Instant,
    admission: Admission,
    next_id: u64,
    requests: HashMap<u64, Request>,
    checks: HashMap<u64, Check>,
    running: Vec<(Instant, u64)>,
    due: Vec<(Instant, Check)>,
    whole_decisions: u64,
}

impl Simulation {
    fn new() -> Simulation {
        let policy = AdmissionPolicy {
            objective: Some(ObjectiveLimitPolicy::default()),
            ..AdmissionPolicy::default()
        };
        let now = Instant::now();
        let mut admission = Admission::new(policy, now);
        admission.announced(SLOTS, 220, false, now);
        Simulation {
            now,
            admission,
            next_id: 0,
            requests: HashMap::new(),
            checks: HashMap::new(),
            running: Vec::new(),
            due: Vec::new(),
            whole_decisions: 0,
        }
    }

    fn next_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    fn begin_request(&mut self, class_rank: u32, timeout: Duration, chains: usize) {
        let id = self.next_id();
        let request = Request {
            class_rank,
            deadline: self.now + timeout,
            began: self.now,
            chains_left: chains,
            has_failed: false,
        };
        self.requests.insert(id, request);
        let first = Check {
            request: id,
            position: 0,
        };
        let at = self.now + OWN_WORK;
        self.due.extend((0..chains).map(|_| (at, first)));
    }

    fn offer(&mut self, check: Check) {
        let call_id = self.next_id();
        let request = &self.requests[&check.request];
        let offer = OfferedCall {
            call_id,
            class_rank: request.class_rank.try_into().unwrap(),
            deadline: request.deadline,
            objective: None,
            has_returned: false,
            root_request_id: check.request,
            work_spent: self.now - request.began,
            fingerprint: call_id,
            kind: 1,
        };
        self.checks.insert(call_id, check);
        match self.admission.offer(&offer, self.now) {
            AdmissionDecision::Run => self.running.push((self.now + CHECK, call_id)),
            AdmissionDecision::Queued => {}
            AdmissionDecision::Refused(_) => self.end_chain(call_id, true),
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        let ended: Vec<_> = self.running.extract_if(.., |run| run.0 <= now).collect();
        for (_, call_id) in ended {
            self.admission
                .finish(call_id, RunResult::Answered, Duration::ZERO, now);
            self.check_answered(call_id);
        }
        let due: Vec<_> = self.due.extract_if(.., |next| next.0 <= now).collect();
        for (_, check) in due {
            self.offer(check);
        }
        let mut decisions = Vec::new();
        self.admission.take_decisions(now, &mut decisions);
        for decision in decisions {
            match decision {
                QueueDecision::Run(call_id) => self.running.push((now + CHECK, call_id)),
                QueueDecision::Refuse(call_id, _) => self.end_chain(call_id, true),
            }
        }
    }

    fn check_answered(&mut self, call_id: u64) {
        let check = self.checks[&call_id];
        let request = &self.requests[&check.request];
        let next = Check {
            position: check.position + 1,
            ..check
        };
        if next.position == CHECKS_PER_CHAIN || self.now >= request.deadline {
            return self.end_chain(call_id, self.now >= request.deadline);
        }
        self.checks.remove(&call_id);
        self.due.push((self.now + OWN_WORK, next));
    }

    fn end_chain(&mut self, call_id: u64, has_failed: bool) {
        let check = self.checks.remove(&call_id).unwrap();
        let request = self.requests.get_mut(&check.request).unwrap();
        request.chains_left -= 1;
        request.has_failed |= has_failed;
        if request.chains_left > 0 {
            return;
        }
        let request = self.requests.remove(&check.request).unwrap();
        let is_whole = !request.has_failed && request.class_rank == DECISION_CLASS;
        self.whole_decisions += u64::from(is_whole);
    }
}

/// Returns the decisions that were answered in time, as a share of those for which the deep
/// service has room.
fn whole_share(demand: f64) -> f64 {
    let checks_per_sec = USED_SLOTS / CHECK.as_secs_f64();
    let most_per_sec = checks_per_sec / (CHAINS * CHECKS_PER_CHAIN) as f64;
    let decisions_per_step = most_per_sec * demand * STEP.as_secs_f64();
    let lookups_per_step = LOOKUPS_PER_SEC * STEP.as_secs_f64();
    let mut simulation = Simulation::new();
    let (mut decisions, mut lookups) = (0.0, 0.0);
    for step in 0..STEPS {
        if step == WARM_UP_STEPS {
            simulation.whole_decisions = 0;
        }
        simulation.step();
        decisions += decisions_per_step;
        lookups += lookups_per_step;
        while decisions >= 1.0 {
            decisions -= 1.0;
            simulation.begin_request(DECISION_CLASS, DECISION_TIMEOUT, CHAINS);
        }
        while lookups >= 1.0 {
            lookups -= 1.0;
            simulation.begin_request(LOOKUP_CLASS, LOOKUP_TIMEOUT, 1);
        }
    }
    let secs = STEP.as_secs_f64() * (STEPS - WARM_UP_STEPS) as f64;
    simulation.whole_decisions as f64 / (most_per_sec * demand.min(1.0) * secs)
}

/// Failure: a deep service has too little room, which requests lose a call there is drawn anew at
/// each of their eight calls, and most of its work goes to requests that fail.
#[test]
fn a_deep_service_that_is_too_small_finishes_whole_requests() {
    for demand in [0.9, 1.2, 1.5, 2.0, 4.0] {
        let share = whole_share(demand);
        assert!(share >= 0.95, "demand {demand}: {share:.3}");
    }
}

/// Failure: while nothing is lost, the order by root requests makes some of them wait for others
/// that came later, and answers are late that were in time.
#[test]
fn calls_stay_in_order_of_arrival_while_none_is_lost() {
    let mut simulation = Simulation::new();
    for _ in 0..3 * SLOTS {
        simulation.begin_request(DECISION_CLASS, DECISION_TIMEOUT, 1);
    }
    let mut started = Vec::new();
    while started.len() < 3 * SLOTS as usize {
        simulation.step();
        for (_, call_id) in &simulation.running {
            let check = simulation.checks[call_id];
            if check.position == 0 && !started.contains(&check.request) {
                started.push(check.request);
            }
        }
    }
    assert!(started.is_sorted(), "{started:?}");
}
