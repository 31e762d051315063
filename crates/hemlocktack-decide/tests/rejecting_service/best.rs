//! The best possible use of the same retry budget, worked out for a continuous flow of requests.
//!
//! A rejected request is worth a retry by the probability that it completes, which grows with the
//! calls that it has already been answered. The best policy therefore gives retries to the
//! requests with at most so many calls left, and to a part of those with one more. How far the
//! order reaches may change every few seconds; the best sequence is found by search.

use std::collections::VecDeque;

use crate::chain::{HEALTHY_SECS, Load, RETRY_SHARE_PER_MILLE};

const STEPS_PER_SEC: usize = 4;
const WINDOW_STEPS: usize = 10 * STEPS_PER_SEC;
/// The budget takes the larger count of first attempts of two windows; see `EdgeRetryBudget`.
const EARLIER_STEPS: usize = 5 * STEPS_PER_SEC;
const SECS_PER_PHASE: usize = 2;

/// What one request does on average.
#[derive(Clone, Copy, Default)]
struct Expected {
    first_attempts: f64,
    retries: f64,
    whole: f64,
}

impl Expected {
    fn add(&mut self, other: Expected, weight: f64) {
        self.first_attempts += other.first_attempts * weight;
        self.retries += other.retries * weight;
        self.whole += other.whole * weight;
    }
}

/// Returns the largest share of requests that can be completed. With several classes of equal
/// size, all retries of a more important class come before those of a less important one.
pub(crate) fn whole_share(load: &Load, classes: usize) -> f64 {
    let phases = (load.fault_secs as usize).div_ceil(SECS_PER_PHASE);
    let most = (load.calls * classes) as f64;
    let mut reach = vec![most; phases];
    let mut best = play(load, classes, &reach);
    let mut step = most / 4.0;
    while step > 0.01 {
        let before = best;
        for phase in 0..phases {
            for change in [-step, step] {
                let mut tried = reach.clone();
                tried[phase] = (tried[phase] + change).clamp(0.0, most);
                let whole = play(load, classes, &tried);
                if whole > best {
                    (best, reach) = (whole, tried);
                }
            }
        }
        for change in [-step, step] {
            let tried: Vec<f64> = reach
                .iter()
                .map(|reach| (reach + change).clamp(0.0, most))
                .collect();
            let whole = play(load, classes, &tried);
            if whole > best {
                (best, reach) = (whole, tried);
            }
        }
        if best - before < 1e-5 {
            step /= 2.0;
        }
    }
    best
}

/// Returns the share of requests that complete if retries reach this far in each phase, as far
/// as the budget goes. One request begins in each step.
fn play(load: &Load, classes: usize, reach: &[f64]) -> f64 {
    let share = f64::from(RETRY_SHARE_PER_MILLE) / 1000.0;
    let healthy = HEALTHY_SECS as usize * STEPS_PER_SEC;
    let steps = load.fault_secs as usize * STEPS_PER_SEC;
    let mut first_attempts: Vec<f64> = vec![load.calls as f64; healthy];
    let mut retries = VecDeque::from(vec![0.0; WINDOW_STEPS - 1]);
    let mut whole = 0.0;
    for step in 0..steps {
        let end = first_attempts.len();
        let window = |end: usize| -> f64 {
            first_attempts[end.saturating_sub(WINDOW_STEPS)..end]
                .iter()
                .sum()
        };
        let allowed = share * window(end).max(window(end - EARLIER_STEPS));
        let left = (allowed - retries.iter().sum::<f64>()).max(0.0);
        let reach = reach[step / (SECS_PER_PHASE * STEPS_PER_SEC)];
        let expected = within(load, classes, reach, left);
        first_attempts.push(expected.first_attempts);
        retries.push_back(expected.retries);
        retries.pop_front();
        whole += expected.whole;
    }
    whole / steps as f64
}

/// Shortens the reach until the retries are within what is left of the budget.
fn within(load: &Load, classes: usize, reach: f64, left: f64) -> Expected {
    let whole_reach = expected(load, classes, reach);
    if whole_reach.retries <= left {
        return whole_reach;
    }
    let (mut low, mut high) = (0.0, reach);
    for _ in 0..20 {
        let middle = (low + high) / 2.0;
        match expected(load, classes, middle).retries <= left {
            true => low = middle,
            false => high = middle,
        }
    }
    expected(load, classes, low)
}

fn expected(load: &Load, classes: usize, reach: f64) -> Expected {
    let mut sum = Expected::default();
    for class in 0..classes {
        let calls = load.calls as f64;
        let reach = (reach - class as f64 * calls).clamp(0.0, calls);
        let part = reach.fract();
        let all = reach.floor() as usize;
        let weight = 1.0 / classes as f64;
        sum.add(with_retries_for_last(load, all), weight * (1.0 - part));
        sum.add(
            with_retries_for_last(load, (all + 1).min(load.calls)),
            weight * part,
        );
    }
    sum
}

/// A request that gets every retry it needs for its last `retried` calls and none before.
fn with_retries_for_last(load: &Load, retried: usize) -> Expected {
    let accepted: f64 = 1.0 - load.rejected;
    let unaided = load.calls - retried;
    let reached = accepted.powi(unaided as i32);
    let before: f64 = (0..unaided).map(|call| accepted.powi(call as i32)).sum();
    Expected {
        first_attempts: before + retried as f64 * reached,
        retries: reached * retried as f64 * load.rejected / accepted,
        whole: reached,
    }
}
