//! Callers that return after a refusal, in an overload of one class.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use hemlocktack_decide::{
    Admission, AdmissionDecision, AdmissionPolicy, EntryShedPolicy, EntryShedder,
    ObjectiveLimitPolicy, OfferedCall, QueueDecision, RetryAfterPolicy, RunResult, ShedLevel,
    cap_to_objective, draw_root_request_id, has_returned_on_time, retry_after,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// An upstream that answers 200 requests per second with the share of its slots that is used.
const SLOTS: u32 = 20;
const WORK: Duration = Duration::from_millis(94);
const CAPACITY_PER_S: f64 = 200.0;
const OBJECTIVE: Duration = Duration::from_millis(1_500);
const CALLER_TIMEOUT: Duration = Duration::from_secs(5);
const STEP: Duration = Duration::from_millis(1);
const SECONDS: u64 = 12;
/// Requests that come in the first seconds, before the shed level has settled, are not counted.
const WARM_UP: Duration = Duration::from_secs(2);
/// Share of the callers that repeat a refused request at once.
const IMPATIENT_SHARE: f64 = 0.4;
const REPEATS_AT_ONCE: u32 = 3;
/// Time from a refusal to the repeat of a caller that does not wait.
const AT_ONCE: Duration = Duration::from_millis(3);
/// Callers that wait return up to this much later than they were told to.
const MAX_LATE_MS: u64 = 20;
const KIND: u64 = 1;
const CLASS: u8 = 1;

struct Caller {
    first_at: Instant,
    is_impatient: bool,
    attempts: u32,
    refusals: u32,
    is_answered: bool,
    is_admitted_at_first: bool,
}

/// How the id of an attempt is drawn.
#[derive(Clone, Copy)]
enum Draw {
    /// At random for each attempt.
    Anew,
    ByWait,
}

struct Simulation {
    start: Instant,
    now: Instant,
    draw: Draw,
    random: SmallRng,
    admission: Admission,
    shedder: EntryShedder,
    callers: Vec<Caller>,
    /// Attempts to make: when, and by which caller.
    due: Vec<(Instant, usize)>,
    running: Vec<(Instant, u64)>,
    /// Caller of each call, by call id.
    calls: Vec<usize>,
}

impl Simulation {
    fn new(draw: Draw, seed: u64) -> Simulation {
        let policy = AdmissionPolicy {
            objective: Some(ObjectiveLimitPolicy::default()),
            ..AdmissionPolicy::default()
        };
        let now = Instant::now();
        let mut admission = Admission::new(policy, now);
        admission.announced(SLOTS, 220, false, now);
        Simulation {
            start: now,
            now,
            draw,
            random: SmallRng::seed_from_u64(seed),
            admission,
            shedder: EntryShedder::new(EntryShedPolicy::default(), 1),
            callers: Vec::new(),
            due: Vec::new(),
            running: Vec::new(),
            calls: Vec::new(),
        }
    }

    fn arrive(&mut self) {
        let is_impatient = self.random.random_bool(IMPATIENT_SHARE);
        self.due.push((self.now, self.callers.len()));
        self.callers.push(Caller {
            first_at: self.now,
            is_impatient,
            attempts: 0,
            refusals: 0,
            is_answered: false,
            is_admitted_at_first: false,
        });
    }

    fn attempt(&mut self, number: usize) {
        let now = self.now;
        let caller = &mut self.callers[number];
        caller.attempts += 1;
        let objective = caller.first_at + OBJECTIVE;
        let waited = match self.draw {
            Draw::Anew => Duration::ZERO,
            Draw::ByWait => now - caller.first_at,
        };
        let (has_returned, is_first) = (caller.attempts > 1, caller.attempts == 1);
        let random = &mut self.random;
        let root_request_id = draw_root_request_id(waited, || random.random());
        if !self
            .shedder
            .admits(KIND, CLASS, root_request_id, false, now)
        {
            let shed = self.shedder.level(KIND, now).classes_shed(2);
            let wait = retry_after(shed, self.random.random(), &RetryAfterPolicy::default());
            let left = objective.saturating_duration_since(now);
            return self.refused(number, cap_to_objective(wait, left, left / 2));
        }
        let call_id = self.calls.len() as u64;
        self.calls.push(number);
        let offer = OfferedCall {
            call_id,
            class_rank: CLASS,
            deadline: now + CALLER_TIMEOUT,
            objective: Some(objective),
            has_returned,
            root_request_id,
            work_spent: Duration::ZERO,
            fingerprint: call_id,
            kind: KIND,
        };
        match self.admission.offer(&offer, now) {
            AdmissionDecision::Run => self.running.push((now + WORK, call_id)),
            AdmissionDecision::Queued => {}
            AdmissionDecision::Refused(refusal) => {
                self.learn_level();
                return self.refused(number, refusal.retry_after.unwrap());
            }
        }
        self.callers[number].is_admitted_at_first |= is_first;
    }

    fn refused(&mut self, number: usize, wait: Duration) {
        let late = Duration::from_millis(self.random.random_range(0..MAX_LATE_MS));
        let caller = &mut self.callers[number];
        caller.refusals += 1;
        let repeats_at_once = caller.is_impatient && caller.refusals <= REPEATS_AT_ONCE;
        let wait = if repeats_at_once {
            AT_ONCE
        } else {
            wait + late
        };
        if self.now + wait < caller.first_at + OBJECTIVE {
            self.due.push((self.now + wait, number));
        }
    }

    fn learn_level(&mut self) {
        let hint = self.admission.hint(ShedLevel::OPEN, self.now);
        self.shedder.learn(0, KIND, &hint, self.now);
    }

    fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        let ended: Vec<_> = self.running.extract_if(.., |run| run.0 <= now).collect();
        for (_, call_id) in ended {
            self.admission
                .finish(call_id, RunResult::Answered, Duration::ZERO, now);
            self.learn_level();
            let caller = &mut self.callers[self.calls[call_id as usize]];
            caller.is_answered = now <= caller.first_at + OBJECTIVE;
        }
        let due: Vec<_> = self.due.extract_if(.., |next| next.0 <= now).collect();
        for (_, number) in due {
            self.attempt(number);
        }
        let mut decisions = Vec::new();
        self.admission.take_decisions(now, &mut decisions);
        for decision in decisions {
            match decision {
                QueueDecision::Run(call_id) => self.running.push((now + WORK, call_id)),
                QueueDecision::Refuse(call_id, refusal) => {
                    let number = self.calls[call_id as usize];
                    self.refused(number, refusal.retry_after.unwrap());
                }
            }
        }
    }
}

/// Demand over capacity.
#[derive(Clone, Copy, Debug)]
struct Load {
    usual: f64,
    burst: f64,
    burst_ms: u64,
    period_ms: u64,
}

impl Load {
    fn steady(demand: f64) -> Load {
        Load {
            usual: demand,
            burst: demand,
            burst_ms: 0,
            period_ms: 1_000,
        }
    }

    fn at(&self, step: u64) -> f64 {
        match step % self.period_ms < self.burst_ms {
            true => self.burst,
            false => self.usual,
        }
    }
}

/// Shares of the callers of a run.
#[derive(Debug)]
struct Shares {
    /// Of the callers that wait as told and were refused: refused again.
    refused_twice: f64,
    /// Of all callers: admitted with their first attempt.
    admitted_at_first: f64,
    /// Of the callers that wait as told, and of the others: answered in time.
    patient_answered: f64,
    impatient_answered: f64,
    /// Answers in time, as a share of the capacity.
    used: f64,
}

fn run(load: Load, draw: Draw, seed: u64) -> Shares {
    let mut simulation = Simulation::new(draw, seed);
    let mut arrivals = 0.0;
    for step in 0..SECONDS * 1_000 {
        simulation.step();
        arrivals += CAPACITY_PER_S * load.at(step) * STEP.as_secs_f64();
        while arrivals >= 1.0 {
            arrivals -= 1.0;
            simulation.arrive();
        }
    }
    let from = simulation.start + WARM_UP;
    let until = simulation.now - OBJECTIVE;
    let is_counted = |caller: &&Caller| (from..until).contains(&caller.first_at);
    let counted: Vec<_> = simulation.callers.iter().filter(is_counted).collect();
    let share = |of: &dyn Fn(&Caller) -> bool, among: &dyn Fn(&Caller) -> bool| {
        let among: Vec<_> = counted.iter().filter(|caller| among(caller)).collect();
        let of = among.iter().filter(|caller| of(caller)).count();
        of as f64 / among.len().max(1) as f64
    };
    let answered = counted.iter().filter(|caller| caller.is_answered).count();
    Shares {
        refused_twice: share(&|caller| caller.refusals > 1, &|caller| {
            !caller.is_impatient && caller.refusals > 0
        }),
        admitted_at_first: share(&|caller| caller.is_admitted_at_first, &|_| true),
        patient_answered: share(&|caller| caller.is_answered, &|caller| !caller.is_impatient),
        impatient_answered: share(&|caller| caller.is_answered, &|caller| caller.is_impatient),
        used: answered as f64 / (CAPACITY_PER_S * (until - from).as_secs_f64()),
    }
}

const SEEDS: [u64; 3] = [5, 6, 7];

/// Prints and returns the shares with both ways to draw, old and new, for each seed.
fn compare(load: Load) -> Vec<[Shares; 2]> {
    let run_both = |seed| [Draw::Anew, Draw::ByWait].map(|draw| run(load, draw, seed));
    let compared: Vec<_> = SEEDS.into_iter().map(run_both).collect();
    for [anew, by_wait] in &compared {
        println!("{load:?}\n  anew    {anew:.2?}\n  by wait {by_wait:.2?}");
    }
    compared
}

/// Failure: a burst is over when refused callers return as they were told, there is capacity for
/// them, and a third of them is refused again because each attempt draws its place anew.
#[test]
fn callers_that_return_on_time_after_a_burst_are_not_refused_again() {
    let burst = Load {
        usual: 0.7,
        burst: 1.4,
        burst_ms: 1_000,
        period_ms: 4_000,
    };
    for [anew, by_wait] in compare(burst) {
        assert!(anew.refused_twice > 0.2, "{anew:?}");
        assert!(
            by_wait.refused_twice < anew.refused_twice / 4.0,
            "{by_wait:?}"
        );
        assert!(by_wait.admitted_at_first > 0.9 * anew.admitted_at_first);
    }
}

/// Failure: while demand stays above capacity, callers that repeat at once are answered more often
/// than those that wait as told, or returned callers leave nothing to fresh requests.
#[test]
fn returning_on_time_pays_and_fresh_requests_get_through() {
    for demand in [1.1, 1.3, 1.6, 2.0] {
        for [anew, by_wait] in compare(Load::steady(demand)) {
            let advantage = |shares: &Shares| shares.impatient_answered - shares.patient_answered;
            assert!(advantage(&by_wait) < 0.75 * advantage(&anew), "{demand}");
            assert!(by_wait.refused_twice < anew.refused_twice, "{demand}");
            assert!(by_wait.patient_answered > anew.patient_answered, "{demand}");
            assert!(by_wait.admitted_at_first > 0.01, "{demand}: {by_wait:?}");
            assert!(by_wait.used > anew.used - 0.03, "{demand}: {by_wait:?}");
        }
    }
}

/// Draws the ids of many requests whose callers have waited this long and returns the share that
/// a level refuses which sheds half of their class.
fn refused_share(waited: Duration) -> f64 {
    const DRAWN: u32 = 10_000;
    let half_of_the_last_class = ShedLevel::unpack(1 << 15);
    let mut random = SmallRng::seed_from_u64(11);
    let is_refused = |_: &u32| {
        let id = draw_root_request_id(waited, || random.random());
        !half_of_the_last_class.admits(u8::MAX, id)
    };
    let refused = (0..DRAWN).filter(is_refused).count();
    refused as f64 / f64::from(DRAWN)
}

/// Failure: a caller gains by returning earlier than it was told, or one that waited longer loses.
#[test]
fn only_callers_that_have_waited_are_preferred() {
    for at_once_ms in [0, 1, 10, 20, 60] {
        let share = refused_share(Duration::from_millis(at_once_ms));
        assert!((0.48..0.52).contains(&share), "{at_once_ms} ms: {share}");
    }
    for on_time_or_late_ms in [75, 100, 250, 1_000, 20_000] {
        let share = refused_share(Duration::from_millis(on_time_or_late_ms));
        assert!(share < 0.02, "{on_time_or_late_ms} ms: {share}");
    }
}

/// Failure: a refusal for lack of capacity tells callers to return so early that they do not count
/// as returned on time.
#[test]
fn every_refusal_tells_callers_to_wait_long_enough() {
    for left_ms in [0, 50, 99, 100, 101, 150, 400, 1_500, 10_000] {
        for expected_ms in [0, 1, 20, 50, 300, 1_400] {
            let wait = retry_after(0.0, 0, &RetryAfterPolicy::default());
            let [left, expected] = [left_ms, expected_ms].map(Duration::from_millis);
            let wait = cap_to_objective(wait, left, expected);
            assert!(
                has_returned_on_time(wait),
                "{left_ms}, {expected_ms}: {wait:?}"
            );
        }
    }
}
