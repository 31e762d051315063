//! A failing platform is asked less.
//!
//! When the platform fails for all nodes at once, they would all ask again at
//! once, and the load of their repeats could keep it down after the cause has
//! gone. Doubled waits bound the load of an outage, and the random part of
//! each wait spreads the nodes when it ends.

use std::time::{Duration, Instant};

/// Shortest and longest wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackoffSettings {
    /// After the first failure.
    pub first: Duration,
    /// However many fail: a configuration must spread within seconds of an outage's end.
    pub longest: Duration,
}

const FIRST: Duration = Duration::from_millis(100);
/// At 560 nodes about 75 calls a second during an outage.
const LONGEST: Duration = Duration::from_secs(10);

impl Default for BackoffSettings {
    fn default() -> BackoffSettings {
        BackoffSettings {
            first: FIRST,
            longest: LONGEST,
        }
    }
}

/// Failures since the last success, and the wait they have earned.
#[derive(Clone, Debug)]
pub struct Backoff {
    settings: BackoffSettings,
    failures: u32,
    blocked_until: Option<Instant>,
}

impl Backoff {
    /// Nothing has failed yet.
    pub fn new(settings: BackoffSettings) -> Backoff {
        Backoff {
            settings,
            failures: 0,
            blocked_until: None,
        }
    }

    /// Whether the last call failed.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// How long calls are still held back.
    pub fn wait(&self, now: Instant) -> Option<Duration> {
        let wait = self.blocked_until?.saturating_duration_since(now);
        (!wait.is_zero()).then_some(wait)
    }

    /// A call was answered, whatever the answer.
    pub fn succeeded(&mut self) {
        self.failures = 0;
        self.blocked_until = None;
    }

    /// A call failed. `random` is in 0..1 and places the wait between half and all of it.
    ///
    /// Failures of calls that were under way together count once: they tell of one fault.
    pub fn failed(&mut self, now: Instant, random: f64) {
        if self.wait(now).is_some() {
            return;
        }
        let doubled = self
            .settings
            .first
            .saturating_mul(1 << self.failures.min(20));
        let whole = doubled.min(self.settings.longest);
        self.failures += 1;
        self.blocked_until = Some(now + whole.mul_f64(0.5 + random * 0.5));
    }
}
