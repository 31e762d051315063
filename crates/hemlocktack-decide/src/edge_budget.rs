//! Retry budget, as a share of first attempts, of each edge between two services.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use hemlocktack_protocol::{ClassRank, RootRequestId};

use crate::mix::mix;
use crate::retry::RetryPolicy;

/// Resolution at which calls are counted.
const TICK: Duration = Duration::from_millis(250);
/// Window over which retries and first attempts are compared: ten seconds. A fault of a few
/// seconds may use the share of the calls just before it.
const WINDOW_TICKS: u64 = 40;
/// First attempts are also counted in a window that began five seconds earlier, and the larger
/// count applies: while a service fails, requests end at their first child call and make fewer
/// calls, which would shrink the share just when it is needed.
const EARLIER_TICKS: u64 = 20;
/// Ticks that are stored: both windows and the current tick.
const STORED_TICKS: usize = (WINDOW_TICKS + EARLIER_TICKS) as usize + 1;
/// Window over which the rate of retries is measured: two seconds, so that a short fault gets
/// all the retries it needs at once.
const PACE_TICKS: u64 = 8;
/// Retry rates between which a decreasing share of requests gets retries; a rate of 1 uses the
/// share up in exactly its window, and at 1.2 the less important half of all requests gets none.
/// The interval is this wide so that a second with many less important requests does not use up
/// what the most important class needs.
const PACE_OPEN: f64 = 0.9;
const PACE_CLOSED: f64 = 1.5;
/// Reserved part of the share: when less than this is left, only the more important requests get
/// retries. A fault that needs less than the unreserved part is not restricted, however long it
/// lasts.
const RESERVED_SHARE: f64 = 0.25;
/// Part of its class's priority range used for a failed root call: it needs only one more
/// answer, and no other call has to succeed as well.
const ROOT_CALL_SPAN: f64 = 0.25;

/// Priority of a request for retries: 0 is the highest, 1 the lowest.
///
/// When a service deep in the chain rejects half of its calls for seconds and requests need four
/// or eight answers from it, evenly distributed retries run out in the middle of each request,
/// and hardly any request completes (one in seven, with a share that could complete one in
/// four). A scarce share is therefore given to whole requests: by class, and within a class by a
/// stable hash of the root request, so that every call of a request gets the same decision
/// wherever it is made. A request without retries ends at its first failure, before more work is
/// spent on it.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct RetryPriority(f64);

impl RetryPriority {
    /// Ahead of all other requests.
    pub const HIGHEST: RetryPriority = RetryPriority(0.0);

    /// Returns the priority of a request of class `class_rank` among `class_count` classes.
    /// `is_root` is set if the failed call is the root request itself rather than a child call.
    pub fn new(
        class_rank: ClassRank,
        class_count: usize,
        root_request_id: RootRequestId,
        is_root: bool,
    ) -> Self {
        let span = 1.0 / class_count.max(1) as f64;
        let begin = f64::from(class_rank) * span;
        let position = (mix(root_request_id) >> 11) as f64 / (1_u64 << 53) as f64;
        let width = if is_root { span * ROOT_CALL_SPAN } else { span };
        RetryPriority((begin + position * width).min(1.0))
    }
}

/// Bounds the retries on one edge within any ten seconds.
///
/// After a fault, retries of many requests at once can keep a service overloaded long after the
/// fault is over. The allowance of each request does not prevent this, since many requests may
/// each spend a little; a share of the edge's own first attempts does. Retries are counted over
/// a window instead of saved in a token bucket: a bucket that holds the share of ten seconds
/// allows twice that in the ten seconds after it was full, and a smaller one leaves most of the
/// share unused in a fault of a few seconds.
#[derive(Debug)]
pub struct EdgeRetryBudget {
    started_at: Instant,
    share_per_mille: AtomicU32,
    min_retries: AtomicU32,
    first_attempts: TickCounter,
    retries: TickCounter,
}

impl EdgeRetryBudget {
    /// Creates a budget without any attempts recorded.
    pub fn new(policy: RetryPolicy, now: Instant) -> Self {
        EdgeRetryBudget {
            started_at: now,
            share_per_mille: AtomicU32::new(policy.share_per_mille),
            min_retries: AtomicU32::new(policy.min_retries),
            first_attempts: TickCounter::default(),
            retries: TickCounter::default(),
        }
    }

    /// Changes the share set by operators.
    pub fn set_share_per_mille(&self, share_per_mille: u32) {
        self.share_per_mille
            .store(share_per_mille, Ordering::Relaxed);
    }

    /// Changes the number of retries that the edge may make however few calls it carries.
    pub fn set_min_retries(&self, min_retries: u32) {
        self.min_retries.store(min_retries, Ordering::Relaxed);
    }

    /// Records a first attempt.
    pub fn record_first_attempt(&self, now: Instant) {
        self.first_attempts.add(self.tick(now));
    }

    /// Records a child call that a repeated run makes again. It needs no permission, but it does
    /// not count as a first attempt either.
    pub fn record_repeated_call(&self, now: Instant) {
        self.retries.add(self.tick(now));
    }

    /// Takes one retry for a request of this priority. Returns false if the edge has used up its
    /// share or the rest is reserved for requests with a higher priority.
    pub fn try_take(&self, priority: RetryPriority, now: Instant) -> bool {
        let tick = self.tick(now);
        let is_eligible = priority.0 < self.eligible_share(tick);
        if is_eligible {
            self.retries.add(tick);
        }
        is_eligible
    }

    /// Returns the share of all requests, most important first, that may take retries.
    fn eligible_share(&self, tick: u64) -> f64 {
        let min_retries = f64::from(self.min_retries.load(Ordering::Relaxed));
        let max_retries = self.retries_from_share(tick).max(min_retries);
        if max_retries < 1.0 {
            return 0.0;
        }
        let left = 1.0 - self.retries.count_in_window(tick, WINDOW_TICKS) as f64 / max_retries;
        // An edge with few calls may make its few retries all at once.
        let pace_retries = max_retries * PACE_TICKS as f64 / WINDOW_TICKS as f64;
        let pace_retries = pace_retries.max(min_retries);
        let pace = self.retries.count_in_window(tick, PACE_TICKS) as f64 / pace_retries;
        let open_by_pace = (PACE_CLOSED - pace) / (PACE_CLOSED - PACE_OPEN);
        (left / RESERVED_SHARE).min(open_by_pace).clamp(0.0, 1.0)
    }

    /// Returns the number of retries that the share allows in the window that ends now.
    fn retries_from_share(&self, tick: u64) -> f64 {
        let share = f64::from(self.share_per_mille.load(Ordering::Relaxed)) / 1000.0;
        let earlier = tick.saturating_sub(EARLIER_TICKS);
        let first_attempts =
            [tick, earlier].map(|end| self.first_attempts.count_in_window(end, WINDOW_TICKS));
        let max_retries = first_attempts[0].max(first_attempts[1]) as f64 * share;
        max_retries.floor()
    }

    /// Ticks start at 1, since 0 marks an unused counter.
    fn tick(&self, now: Instant) -> u64 {
        let since = now.saturating_duration_since(self.started_at);
        (since.as_millis() / TICK.as_millis()) as u64 + 1
    }
}

/// Event counts of the last ticks. Each counter holds its tick in the high half and the count in
/// the low half.
#[derive(Debug)]
struct TickCounter {
    counts: [AtomicU64; STORED_TICKS],
}

const NUMBER_BITS: u32 = 32;
const NUMBER_MASK: u64 = (1 << NUMBER_BITS) - 1;

impl Default for TickCounter {
    fn default() -> Self {
        TickCounter {
            counts: std::array::from_fn(|_| AtomicU64::new(0)),
        }
    }
}

impl TickCounter {
    fn add(&self, tick: u64) {
        let count = &self.counts[tick as usize % STORED_TICKS];
        let add = |held: u64| {
            let is_this_tick = held >> NUMBER_BITS == tick;
            let number = if is_this_tick { held & NUMBER_MASK } else { 0 };
            Some(tick << NUMBER_BITS | (number + 1).min(NUMBER_MASK))
        };
        let _ = count.fetch_update(Ordering::AcqRel, Ordering::Acquire, add);
    }

    /// Returns the sum over the window of `ticks` ticks that ends with `last_tick`.
    fn count_in_window(&self, last_tick: u64, ticks: u64) -> u64 {
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
