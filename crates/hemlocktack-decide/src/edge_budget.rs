//! Retries as a share of first tries on each edge between two services.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Instant;

use crate::retry::RetryPolicy;

/// Span over which retries and first tries are compared, in whole seconds. A
/// fault of a few seconds may use the share of the calls just before it.
const WINDOW_SECS: u64 = 10;
/// First tries of a window that began so much earlier count where they are more:
/// while a service fails, requests end at their first call below and make fewer
/// of them, and the share would shrink just when it is needed.
const EARLIER_SECS: u64 = 5;
/// Seconds that are remembered: both windows, and the one that is being counted.
const REMEMBERED_SECS: usize = (WINDOW_SECS + EARLIER_SECS) as usize + 1;

/// Retries of one edge, bounded in any ten seconds.
///
/// Load: retries of many requests at once after a fault. Harm: they keep the
/// service overloaded when the fault has long gone. Each request's allowance
/// does not prevent this, as many requests may each spend a little; a share of
/// the edge's own first tries does. It is counted over a window and not saved up
/// in a bucket: a bucket that holds the share of ten seconds lets twice that out
/// in the ten seconds after it was full, and a smaller one leaves most of the
/// share unused in a fault of a few seconds.
#[derive(Debug)]
pub struct EdgeBudget {
    began: Instant,
    share_per_mille: AtomicU32,
    saved_retries: u32,
    first_tries: CountBySecond,
    retries: CountBySecond,
}

impl EdgeBudget {
    /// Nothing tried yet.
    pub fn new(policy: RetryPolicy, now: Instant) -> Self {
        EdgeBudget {
            began: now,
            share_per_mille: AtomicU32::new(policy.share_per_mille),
            saved_retries: policy.saved_retries,
            first_tries: CountBySecond::default(),
            retries: CountBySecond::default(),
        }
    }

    /// Changes the operators' share.
    pub fn set_share_per_mille(&self, share_per_mille: u32) {
        self.share_per_mille
            .store(share_per_mille, Ordering::Relaxed);
    }

    /// Counts a first try.
    pub fn first_try(&self, now: Instant) {
        self.first_tries.add(self.second(now));
    }

    /// Counts a call that a repeated run makes once more: nobody is asked, but
    /// it is no first try of its service either.
    pub fn repeated_below(&self, now: Instant) {
        self.retries.add(self.second(now));
    }

    /// Takes one retry; false when the edge has used its share up.
    pub fn take_one(&self, now: Instant) -> bool {
        let second = self.second(now);
        let has_left = self.used_share(second) < 1.0;
        if has_left {
            self.retries.add(second);
        }
        has_left
    }

    /// Retries of the last window over those that it may have.
    fn used_share(&self, second: u64) -> f64 {
        let share = f64::from(self.share_per_mille.load(Ordering::Relaxed)) / 1000.0;
        let first_tries = self.first_tries.in_window(second).max(
            self.first_tries
                .in_window(second.saturating_sub(EARLIER_SECS)),
        );
        let most = (first_tries as f64 * share).max(f64::from(self.saved_retries));
        if most < 1.0 {
            return f64::INFINITY;
        }
        self.retries.in_window(second) as f64 / most.floor()
    }

    /// The first second is not 0, which an unused count has.
    fn second(&self, now: Instant) -> u64 {
        now.saturating_duration_since(self.began).as_secs() + 1
    }
}

/// How often something happened in each of the last seconds. Each count holds
/// its second in the high half and the number in the low one.
#[derive(Debug, Default)]
struct CountBySecond {
    counts: [AtomicU64; REMEMBERED_SECS],
}

const NUMBER_BITS: u32 = 32;
const NUMBER_MASK: u64 = (1 << NUMBER_BITS) - 1;

impl CountBySecond {
    fn add(&self, second: u64) {
        let count = &self.counts[second as usize % REMEMBERED_SECS];
        let add = |held: u64| {
            let is_this_second = held >> NUMBER_BITS == second;
            let number = if is_this_second {
                held & NUMBER_MASK
            } else {
                0
            };
            Some(second << NUMBER_BITS | (number + 1).min(NUMBER_MASK))
        };
        let _ = count.fetch_update(Ordering::AcqRel, Ordering::Acquire, add);
    }

    /// In the window that ends with this second.
    fn in_window(&self, last_second: u64) -> u64 {
        let counts = self
            .counts
            .iter()
            .map(|count| count.load(Ordering::Acquire));
        counts
            .filter(|held| {
                let second = held >> NUMBER_BITS;
                second <= last_second && second + WINDOW_SECS > last_second
            })
            .map(|held| held & NUMBER_MASK)
            .sum()
    }
}
