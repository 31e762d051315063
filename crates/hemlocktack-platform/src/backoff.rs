//! Exponential backoff with jitter for calls to a failing platform.
//!
//! When the platform fails for all nodes at once, their simultaneous retries could keep it down
//! after the cause is gone. Doubling the waits bounds the load during an outage, and the jitter
//! spreads the nodes' calls when it ends.

use std::time::{Duration, Instant};

/// Bounds of the wait after a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackoffSettings {
    /// Wait after the first failure.
    pub first: Duration,
    /// Maximum wait. A configuration must propagate within seconds of the end of an outage.
    pub longest: Duration,
}

const FIRST_WAIT: Duration = Duration::from_millis(100);
/// With 560 nodes this allows about 75 calls per second during an outage.
const MAX_WAIT: Duration = Duration::from_secs(10);

impl Default for BackoffSettings {
    fn default() -> BackoffSettings {
        BackoffSettings {
            first: FIRST_WAIT,
            longest: MAX_WAIT,
        }
    }
}

/// Backoff state: the failures since the last success and the wait that follows from them.
#[derive(Clone, Debug)]
pub struct Backoff {
    settings: BackoffSettings,
    failures: u32,
    blocked_until: Option<Instant>,
}

impl Backoff {
    /// Creates a backoff without failures.
    pub fn new(settings: BackoffSettings) -> Backoff {
        Backoff {
            settings,
            failures: 0,
            blocked_until: None,
        }
    }

    /// Returns whether the last call failed.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Returns how long calls are still blocked; `None` if they are not.
    pub fn wait(&self, now: Instant) -> Option<Duration> {
        let wait = self.blocked_until?.saturating_duration_since(now);
        (!wait.is_zero()).then_some(wait)
    }

    /// Records that a call got a valid response, whatever its status.
    pub fn succeeded(&mut self) {
        self.failures = 0;
        self.blocked_until = None;
    }

    /// Records that a call failed. `random` in 0..1 places the jittered wait between half of the
    /// full wait and all of it.
    ///
    /// Failures of concurrent calls count once, as they have the same cause.
    pub fn failed(&mut self, now: Instant, random: f64) {
        if self.wait(now).is_some() {
            return;
        }
        let doubled_wait = self
            .settings
            .first
            .saturating_mul(1 << self.failures.min(20));
        let full_wait = doubled_wait.min(self.settings.longest);
        self.failures += 1;
        self.blocked_until = Some(now + full_wait.mul_f64(0.5 + random * 0.5));
    }
}
