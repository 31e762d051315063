//! Retries as a share of first tries on each edge between two services.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use hemlocktack_protocol::{ClassRank, RootRequestId};

use crate::mix::mix;
use crate::retry::RetryPolicy;

/// Calls are counted in steps of this length.
const TICK: Duration = Duration::from_millis(250);
/// Span over which retries and first tries are compared: ten seconds. A fault of
/// a few seconds may use the share of the calls just before it.
const WINDOW_TICKS: u64 = 40;
/// First tries of a window that began five seconds earlier count where they are
/// more: while a service fails, requests end at their first call below and make
/// fewer of them, and the share would shrink just when it is needed.
const EARLIER_TICKS: u64 = 20;
/// Ticks that are remembered: both windows, and the one that is being counted.
const REMEMBERED_TICKS: usize = (WINDOW_TICKS + EARLIER_TICKS) as usize + 1;
/// Span over which it is seen how fast the share is used up: two seconds, so that
/// a short fault is answered at once whatever it needs.
const PACE_TICKS: u64 = 8;
/// Paces between which fewer and fewer requests get retries, where 1 uses the
/// share up in just its window: the less important half of all at 1.2. That far
/// apart, what the most important class needs is not taken up by the noise of a
/// second in which the others came first.
const PACE_OPEN: f64 = 0.9;
const PACE_CLOSED: f64 = 1.5;
/// Part of the share that is not for everybody: when less of it is left, fewer
/// requests may take from it. A fault that needs less than the rest of the share,
/// however long, is not felt.
const KEPT_SHARE: f64 = 0.25;
/// Part of its class's span at which a request stands whose call is its last: it
/// needs one more answer and no other call has to succeed as well.
const LAST_CALL_SPAN: f64 = 0.25;

/// Where a request stands among all that may want retries: 0 comes first, and 1
/// after all.
///
/// Load: a deep service that turns away half of what it gets for seconds, while
/// requests need four or eight answers of it. Harm: retries that are spread
/// evenly over all calls run out in the middle of each request, and nearly none
/// comes to its end (one in seven, for the share that could finish one in four).
/// So a scarce share goes to whole requests: by class, and within a class by a
/// stable hash of the root request, so that every call of a request meets the
/// same verdict wherever it is made. A request that gets none ends at its first
/// failure, before more is spent on it.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct RetryPriority(f64);

impl RetryPriority {
    /// Before all others.
    pub const HIGHEST: RetryPriority = RetryPriority(0.0);

    /// Of a request of class `class_rank` among `class_count` classes; `is_last`
    /// if the call that failed is the request itself and not one made for it.
    pub fn new(
        class_rank: ClassRank,
        class_count: usize,
        root_request_id: RootRequestId,
        is_last: bool,
    ) -> Self {
        let span = 1.0 / class_count.max(1) as f64;
        let begin = f64::from(class_rank) * span;
        let place = (mix(root_request_id) >> 11) as f64 / (1_u64 << 53) as f64;
        let width = if is_last { span * LAST_CALL_SPAN } else { span };
        RetryPriority((begin + place * width).min(1.0))
    }
}

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
pub struct EdgeRetryBudget {
    began: Instant,
    share_per_mille: AtomicU32,
    least_retries: AtomicU32,
    first_tries: CountByTick,
    retries: CountByTick,
}

impl EdgeRetryBudget {
    /// Nothing tried yet.
    pub fn new(policy: RetryPolicy, now: Instant) -> Self {
        EdgeRetryBudget {
            began: now,
            share_per_mille: AtomicU32::new(policy.share_per_mille),
            least_retries: AtomicU32::new(policy.least_retries),
            first_tries: CountByTick::default(),
            retries: CountByTick::default(),
        }
    }

    /// Changes the operators' share.
    pub fn set_share_per_mille(&self, share_per_mille: u32) {
        self.share_per_mille
            .store(share_per_mille, Ordering::Relaxed);
    }

    /// Changes the retries that the edge may make however quiet it is.
    pub fn set_least_retries(&self, least_retries: u32) {
        self.least_retries.store(least_retries, Ordering::Relaxed);
    }

    /// Counts a first try.
    pub fn record_first_attempt(&self, now: Instant) {
        self.first_tries.add(self.tick(now));
    }

    /// Counts a call that a repeated run makes once more: nobody is asked, but
    /// it is no first try of its service either.
    pub fn record_repeated_call(&self, now: Instant) {
        self.retries.add(self.tick(now));
    }

    /// Takes one retry for a request of this standing; false when the edge has
    /// used its share up, or what is left is kept for requests before it.
    pub fn try_take(&self, standing: RetryPriority, now: Instant) -> bool {
        let tick = self.tick(now);
        let has_left = standing.0 < self.open_share(tick);
        if has_left {
            self.retries.add(tick);
        }
        has_left
    }

    /// Share of all requests, the most important first, that may take retries.
    fn open_share(&self, tick: u64) -> f64 {
        let least = f64::from(self.least_retries.load(Ordering::Relaxed));
        let most = self.share_of_first_tries(tick).max(least);
        if most < 1.0 {
            return 0.0;
        }
        let left = 1.0 - self.retries.in_window(tick, WINDOW_TICKS) as f64 / most;
        // A quiet edge may make its few retries all at once.
        let pace_most = most * PACE_TICKS as f64 / WINDOW_TICKS as f64;
        let pace_most = pace_most.max(least);
        let pace = self.retries.in_window(tick, PACE_TICKS) as f64 / pace_most;
        let by_pace = (PACE_CLOSED - pace) / (PACE_CLOSED - PACE_OPEN);
        (left / KEPT_SHARE).min(by_pace).clamp(0.0, 1.0)
    }

    /// Retries that the share comes to in the window that ends now.
    fn share_of_first_tries(&self, tick: u64) -> f64 {
        let share = f64::from(self.share_per_mille.load(Ordering::Relaxed)) / 1000.0;
        let earlier = tick.saturating_sub(EARLIER_TICKS);
        let first_tries = [tick, earlier].map(|end| self.first_tries.in_window(end, WINDOW_TICKS));
        let most = first_tries[0].max(first_tries[1]) as f64 * share;
        most.floor()
    }

    /// The first tick is not 0, which an unused count has.
    fn tick(&self, now: Instant) -> u64 {
        let since = now.saturating_duration_since(self.began);
        (since.as_millis() / TICK.as_millis()) as u64 + 1
    }
}

/// How often something happened in each of the last ticks. Each count holds its
/// tick in the high half and the number in the low one.
#[derive(Debug)]
struct CountByTick {
    counts: [AtomicU64; REMEMBERED_TICKS],
}

const NUMBER_BITS: u32 = 32;
const NUMBER_MASK: u64 = (1 << NUMBER_BITS) - 1;

impl Default for CountByTick {
    fn default() -> Self {
        CountByTick {
            counts: std::array::from_fn(|_| AtomicU64::new(0)),
        }
    }
}

impl CountByTick {
    fn add(&self, tick: u64) {
        let count = &self.counts[tick as usize % REMEMBERED_TICKS];
        let add = |held: u64| {
            let is_this_tick = held >> NUMBER_BITS == tick;
            let number = if is_this_tick { held & NUMBER_MASK } else { 0 };
            Some(tick << NUMBER_BITS | (number + 1).min(NUMBER_MASK))
        };
        let _ = count.fetch_update(Ordering::AcqRel, Ordering::Acquire, add);
    }

    /// In the window of so many ticks that ends with this one.
    fn in_window(&self, last_tick: u64, ticks: u64) -> u64 {
        let counts = self.counts.iter();
        let counts = counts.map(|count| count.load(Ordering::Acquire));
        let is_inside = |held: &u64| {
            let tick = held >> NUMBER_BITS;
            tick <= last_tick && tick + ticks > last_tick
        };
        let inside = counts.filter(is_inside);
        inside.map(|held| held & NUMBER_MASK).sum()
    }
}
