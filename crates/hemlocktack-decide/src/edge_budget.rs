//! Retries as a share of first tries on each edge between two services.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Instant;

use hemlocktack_protocol::{ClassRank, RootRequestId};

use crate::mix::mix;
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

/// Part of an edge's share that is not for everybody: the less of it is left, the
/// fewer requests may take from it. The rest is used up in the first second of a
/// fault of all upstreams, half of it by classes that then get no more.
const KEPT_SHARE: f64 = 0.8;
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
pub struct RetryStanding(f64);

impl RetryStanding {
    /// Before all others.
    pub const FIRST: RetryStanding = RetryStanding(0.0);

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
        RetryStanding((begin + place * width).min(1.0))
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

    /// Takes one retry for a request of this standing; false when the edge has
    /// used its share up, or what is left is kept for requests before it.
    pub fn take_one(&self, standing: RetryStanding, now: Instant) -> bool {
        let second = self.second(now);
        let has_left = standing.0 < self.open_share(second);
        if has_left {
            self.retries.add(second);
        }
        has_left
    }

    /// Share of all requests, the most important first, that may take retries.
    fn open_share(&self, second: u64) -> f64 {
        let left = 1.0 - self.used_share(second);
        (left / KEPT_SHARE).clamp(0.0, 1.0)
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
