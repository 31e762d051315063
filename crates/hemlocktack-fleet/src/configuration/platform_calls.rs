//! When the platform may be called.

use std::time::{Duration, Instant};

use rand::{Rng, RngExt};

use super::settings::ConfigurationSettings;

/// One call at a time, and longer pauses while they fail.
///
/// After a long outage every node would call at once; pauses drawn at random
/// up to a limit spread the fleet's return over that limit.
pub(super) struct PlatformCalls {
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

    pub(super) fn begin(&mut self, now: Instant, timeout: Duration) {
        self.outstanding = Some(now + timeout);
    }

    pub(super) fn succeed(&mut self, now: Instant, pause: Duration) {
        self.outstanding = None;
        self.failures = 0;
        self.next = now + pause;
    }

    pub(super) fn fail(
        &mut self,
        now: Instant,
        settings: &ConfigurationSettings,
        rng: &mut impl Rng,
    ) {
        const DOUBLINGS_LIMIT: u32 = 16;
        let doublings = self.failures.min(DOUBLINGS_LIMIT);
        let longest = settings.backoff_base * 2u32.pow(doublings);
        let longest = longest.min(settings.backoff_limit);
        self.outstanding = None;
        self.failures = self.failures.saturating_add(1);
        self.next = now + longest.mul_f64(rng.random_range(0.5..1.0));
    }

    /// Whether the outstanding call has run out of time.
    pub(super) fn is_overdue(&self, now: Instant) -> bool {
        self.outstanding.is_some_and(|deadline| now >= deadline)
    }

    /// Calls again at once, where nothing is outstanding and nothing failed.
    pub(super) fn hurry(&mut self, now: Instant) {
        if self.failures == 0 {
            self.next = self.next.min(now);
        }
    }
}
