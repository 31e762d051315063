//! Token bucket for the calls that an upstream accepts each second.

use std::time::{Duration, Instant};

/// Tokens that the bucket holds at most, beside those of [`STALL_S`]. Calls of the last class need
/// nearly as many.
const MAX_TOKENS: f64 = 4.5;
/// Time for which tokens are kept. A node that stands still for a moment loses none.
const STALL_S: f64 = 0.25;
/// Tokens that a call leaves for those of each more important class, for small and for large rates.
/// A burst of important calls would otherwise find the bucket emptied by calls that came just
/// before.
const RESERVED_TOKENS: f64 = 0.75;
const RESERVED_S: f64 = 0.04;
/// Classes that reserves tell apart; further ones are treated as the last.
const MAX_RESERVED_CLASSES: usize = 4;
/// Share of a class's reserve that a call without prior work leaves for those with prior work.
const FRESH_SHARE: f64 = 0.3;
/// Longest time for which other nodes are asked to prefer other upstreams. They learn of a change
/// from the next answer.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// Admits calls at a rate.
#[derive(Clone, Debug)]
pub(crate) struct RateLimiter {
    per_s: f64,
    tokens: f64,
    refilled_at: Instant,
    /// When the node that is answered next may expect a token.
    next_slot: Instant,
}

/// How important a call is for a token.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenPriority {
    pub(crate) class: usize,
    pub(crate) has_prior_work: bool,
}

impl TokenPriority {
    /// A call that leaves no tokens for others.
    pub(crate) const FIRST: TokenPriority = TokenPriority {
        class: 0,
        has_prior_work: true,
    };
}

impl RateLimiter {
    pub(crate) fn new(per_s: f64, tokens: f64, now: Instant) -> Self {
        RateLimiter {
            per_s,
            tokens,
            refilled_at: now,
            next_slot: now,
        }
    }

    pub(crate) fn per_s(&self) -> f64 {
        self.per_s
    }

    pub(crate) fn set_per_s(&mut self, per_s: f64, now: Instant) {
        self.refill(now);
        self.per_s = per_s;
        self.tokens = self.tokens.min(self.max_tokens());
        self.next_slot = now;
    }

    /// Returns how many calls may start now.
    pub(crate) fn available_calls(&mut self, now: Instant) -> usize {
        self.refill(now);
        self.tokens as usize
    }

    /// Returns whether a call may start after `ahead` others.
    pub(crate) fn admits(&mut self, priority: TokenPriority, ahead: usize, now: Instant) -> bool {
        self.refill(now);
        self.tokens - ahead as f64 >= 1.0 + self.reserve(priority)
    }

    /// Takes the token of a call that starts.
    pub(crate) fn take(&mut self, now: Instant) {
        self.refill(now);
        self.tokens -= 1.0;
    }

    /// Assigns the next slot to the node that has offered a call, so that the nodes return one
    /// after the other.
    pub(crate) fn assign_slot(&mut self, now: Instant) {
        let next = self.next_slot.max(now) + Duration::from_secs_f64(self.interval_s());
        self.next_slot = next.min(now + MAX_WAIT);
    }

    /// Returns how long the node that is answered now should prefer other upstreams.
    pub(crate) fn wait(&self, now: Instant) -> Duration {
        self.next_slot.saturating_duration_since(now)
    }

    fn refill(&mut self, now: Instant) {
        let elapsed_s = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = (self.tokens + elapsed_s * self.per_s).min(self.max_tokens());
    }

    fn max_tokens(&self) -> f64 {
        MAX_TOKENS + STALL_S * self.per_s
    }

    fn reserve(&self, priority: TokenPriority) -> f64 {
        let of_class = RESERVED_TOKENS + RESERVED_S * self.per_s;
        let classes = priority.class.min(MAX_RESERVED_CLASSES) as f64;
        let fresh = match priority.has_prior_work {
            true => 0.0,
            false => FRESH_SHARE,
        };
        of_class * (classes + fresh)
    }

    fn interval_s(&self) -> f64 {
        self.per_s.recip().min(MAX_WAIT.as_secs_f64())
    }
}
