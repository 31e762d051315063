//! Retry budget, as a share of first attempts, of each edge between two services.

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use hemlocktack_protocol::{ClassRank, RootRequestId};

use crate::mix::mix;
use crate::retry::RetryPolicy;
use crate::retry_threshold::{RetryDemand, RetryThreshold, Spendable};

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
/// Pace at which retries are given, as a multiple of the one that spends the share evenly over its
/// window, so that faults of eight or nine seconds leave nothing of it unused.
const PACE: f64 = 1.3;
/// When less than this part of the share is left, the pace is lowered in proportion, so that the
/// more important requests still get retries.
const RESERVED_SHARE: f64 = 0.06;
/// Part of its class's priority range used for a failed root call: it needs only one more
/// answer, and no other call has to succeed as well.
const ROOT_CALL_SPAN: f64 = 0.25;
/// Answers that a child call's request is assumed to need if that is not known.
const USUAL_CALLS_LEFT: f64 = 4.0;
/// Ticks over which the share of failed sends is measured: two seconds.
const FAILURE_TICKS: u64 = 8;
/// Ticks after the last refused retry in which retries count as scarce: three seconds, longer than
/// the pauses between refusals of a node with few calls.
const SCARCE_TICKS: u64 = 12;
/// Largest share of failed sends that the retries of a request are predicted from, which keeps
/// the predicted retries per answer below ten.
const MAX_FAILED_SHARE: f64 = 0.9;
/// Calls left at which a request stands in the middle of its class's priority range.
const HALF_SPAN_CALLS: f64 = 4.0;

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
pub struct RetryPriority {
    position: f64,
    /// Answers that the request still needs; an estimate if that is not known.
    calls_left: f64,
}

impl RetryPriority {
    /// Ahead of all other requests.
    pub const HIGHEST: RetryPriority = RetryPriority::at(0.0, 1.0);
    /// Behind all other requests.
    pub const LOWEST: RetryPriority = RetryPriority::at(1.0, 1.0);

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
        let width = if is_root { span * ROOT_CALL_SPAN } else { span };
        let calls_left = if is_root { 1.0 } else { USUAL_CALLS_LEFT };
        Self::at(begin + hash_position(root_request_id) * width, calls_left)
    }

    /// Returns the priority of a child call of a request that makes one call after the other and
    /// needs `calls_left` more answers, this one included: by class, then by the calls left, then
    /// by the hash of the root request.
    ///
    /// The fewer calls are left, the fewer retries complete a request. With requests of four
    /// calls of which 55 in 100 are rejected, the same budget completes a third more of them in
    /// this order than if the hash decides alone.
    pub fn by_calls_left(
        class_rank: ClassRank,
        class_count: usize,
        root_request_id: RootRequestId,
        calls_left: usize,
    ) -> Self {
        let span = 1.0 / class_count.max(1) as f64;
        let begin = f64::from(class_rank) * span;
        let calls = calls_left.saturating_sub(1) as f64 + hash_position(root_request_id);
        Self::at(
            begin + calls / (calls + HALF_SPAN_CALLS) * span,
            calls_left as f64,
        )
    }

    const fn at(position: f64, calls_left: f64) -> Self {
        RetryPriority {
            position: position.min(1.0),
            calls_left,
        }
    }
}

/// Returns the position of a request in the order of its class, from 0 to 1.
fn hash_position(root_request_id: RootRequestId) -> f64 {
    (mix(root_request_id) >> 11) as f64 / (1_u64 << 53) as f64
}

/// Change of whether an edge can give all the retries that are needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ScarcityChange {
    /// A retry has been refused.
    Began,
    /// No retry has been refused for some seconds.
    Ended,
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
    /// Sends that asked for a retry.
    failures: TickCounter,
    /// Tick of the last refused retry; 0 if there was none.
    refused_at_tick: AtomicU64,
    is_reported_scarce: AtomicBool,
    threshold: Mutex<RetryThreshold>,
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
            failures: TickCounter::default(),
            refused_at_tick: AtomicU64::new(0),
            is_reported_scarce: AtomicBool::new(false),
            threshold: Mutex::default(),
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
        let max_retries = self.max_retries(tick);
        let made = self.retries.count_in_window(tick, WINDOW_TICKS) as f64;
        let min_retries = f64::from(self.min_retries.load(Ordering::Relaxed));
        let spendable = self.spendable(max_retries, made);
        let mut threshold = self.threshold();
        // An edge with few calls may make its few retries all at once.
        let is_eligible =
            made < min_retries || priority.position <= threshold.update(tick, spendable);
        let may_retry = is_eligible && made < max_retries;
        let retries = match may_retry {
            true => 1.0,
            false => 1.0 + priority.calls_left * self.retries_per_answer(tick),
        };
        let demand = RetryDemand {
            priority: priority.position,
            retries,
        };
        threshold.record(demand, tick);
        drop(threshold);
        self.failures.add(tick);
        match may_retry {
            true => self.retries.add(tick),
            false => self.refused_at_tick.store(tick, Ordering::Release),
        }
        may_retry
    }

    /// Returns the share of sends in the last two seconds that ended without an answer and could
    /// be repeated.
    pub fn failed_share(&self, now: Instant) -> f64 {
        self.failed_share_at(self.tick(now))
    }

    /// Returns the share of the priority range that currently gets retries; 1 while all requests
    /// get them.
    pub fn eligible_share(&self, now: Instant) -> f64 {
        let tick = self.tick(now);
        let made = self.retries.count_in_window(tick, WINDOW_TICKS) as f64;
        let spendable = self.spendable(self.max_retries(tick), made);
        self.threshold().update(tick, spendable)
    }

    /// Returns whether retries have become scarce or are no longer, once for each change.
    pub fn take_scarcity_change(&self, now: Instant) -> Option<ScarcityChange> {
        let refused_at = self.refused_at_tick.load(Ordering::Acquire);
        let is_scarce = refused_at > 0 && self.tick(now) < refused_at + SCARCE_TICKS;
        if self.is_reported_scarce.load(Ordering::Acquire) == is_scarce {
            return None;
        }
        let was_scarce = self.is_reported_scarce.swap(is_scarce, Ordering::AcqRel);
        match (was_scarce, is_scarce) {
            (false, true) => Some(ScarcityChange::Began),
            (true, false) => Some(ScarcityChange::Ended),
            _ => None,
        }
    }

    /// Returns how many retries one answer takes at the share of sends that failed lately.
    fn retries_per_answer(&self, tick: u64) -> f64 {
        let failed = self.failed_share_at(tick).min(MAX_FAILED_SHARE);
        failed / (1.0 - failed)
    }

    fn failed_share_at(&self, tick: u64) -> f64 {
        let lately = |counter: &TickCounter| counter.count_in_window(tick, FAILURE_TICKS) as f64;
        let sends = lately(&self.first_attempts) + lately(&self.retries);
        (lately(&self.failures) / sends.max(1.0)).min(1.0)
    }

    fn max_retries(&self, tick: u64) -> f64 {
        let min_retries = f64::from(self.min_retries.load(Ordering::Relaxed));
        self.retries_from_share(tick).max(min_retries)
    }

    fn spendable(&self, max: f64, made: f64) -> Spendable {
        let left = ((max - made) / max.max(1.0) / RESERVED_SHARE).clamp(0.0, 1.0);
        let per_tick = max / WINDOW_TICKS as f64 * PACE * left;
        Spendable { max, per_tick }
    }

    fn threshold(&self) -> MutexGuard<'_, RetryThreshold> {
        self.threshold
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
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
