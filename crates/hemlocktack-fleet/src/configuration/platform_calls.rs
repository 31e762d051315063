//! Scheduling of calls to the platform.

use std::time::{Duration, Instant};

use rand::{Rng, RngExt};

use super::settings::ConfigurationSettings;

/// Schedules one platform call at a time, with exponential backoff while calls fail.
///
/// The backoff is randomised up to a limit. Otherwise all nodes would call at the same moment after
/// a long outage; the random delays spread their calls over the limit.
pub(super) struct PlatformCalls {
    /// Deadline of the outstanding call.
    outstanding: Option<Instant>,
    next: Instant,
    failures: u32,
}

impl PlatformCalls {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            outstanding: None,
            next: now,
            failures: 0,
        }
    }

    pub(super) fn is_due(&self, now: Instant) -> bool {
        self.outstanding.is_none() && now >= self.next
    }

    pub(super) fn has_failed(&self) -> bool {
        self.failures > 0
    }

    pub(super) fn record_start(&mut self, now: Instant, timeout: Duration) {
        self.outstanding = Some(now + timeout);
    }

    pub(super) fn record_success(&mut self, now: Instant, delay: Duration) {
        self.outstanding = None;
        self.failures = 0;
        self.next = now + delay;
    }

    pub(super) fn record_failure(
        &mut self,
        now: Instant,
        settings: &ConfigurationSettings,
        rng: &mut impl Rng,
    ) {
        const MAX_DOUBLINGS: u32 = 16;
        let doublings = self.failures.min(MAX_DOUBLINGS);
        let max_delay = settings.backoff_base * 2u32.pow(doublings);
        let max_delay = max_delay.min(settings.backoff_limit);
        self.outstanding = None;
        self.failures = self.failures.saturating_add(1);
        self.next = now + max_delay.mul_f64(rng.random_range(0.5..1.0));
    }

    /// Returns when the next call is due; `None` while one is outstanding.
    pub(super) fn planned(&self) -> Option<Instant> {
        self.outstanding.is_none().then_some(self.next)
    }

    /// Gives up an outstanding call, forgets the failures and makes the next call due at `next`.
    pub(super) fn reschedule(&mut self, next: Instant) {
        self.outstanding = None;
        self.failures = 0;
        self.next = next;
    }

    /// Returns whether the outstanding call has timed out.
    pub(super) fn has_timed_out(&self, now: Instant) -> bool {
        self.outstanding.is_some_and(|deadline| now >= deadline)
    }

    /// Makes the next call due now.
    pub(super) fn schedule_now(&mut self, now: Instant) {
        self.next = self.next.min(now);
    }

    /// Makes the next call due no earlier than at `next`.
    pub(super) fn schedule_not_before(&mut self, next: Instant) {
        self.next = self.next.max(next);
    }
}
