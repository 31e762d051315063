//! A node's share of the platform's rates.
//!
//! The platform counts each call, and its rates grow more slowly than the
//! fleet. Without a limit of its own, a node in a loop (a record that two
//! processes fight over, a watch that fails at once) could take the share of
//! all others, and operators' changes would be refused by the platform.

use std::time::{Duration, Instant};

/// One token bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// Calls a second in the long run.
    pub calls_per_second: f64,
    /// Calls that can be saved up.
    pub burst: f64,
}

/// Reads (a watch is one) and writes apart, as the platform counts them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetSettings {
    /// Gets, lists and watches.
    pub reads: Rate,
    /// Puts and deletes.
    pub writes: Rate,
}

/// At 560 nodes 1,120 reads a second, of the about 2,000 that the platform takes.
const READS: Rate = Rate {
    calls_per_second: 2.0,
    burst: 40.0,
};
/// At 560 nodes 280 writes a second, of the several hundred that the platform takes.
const WRITES: Rate = Rate {
    calls_per_second: 0.5,
    burst: 20.0,
};

/// Part of the platform's rates that the whole fleet may use up. The rest is for
/// operators and for shares that overlap while members come and go.
const FLEET_SHARE: f64 = 0.5;

/// For rates that earn next to nothing: settings may change meanwhile.
const LONGEST_WAIT: Duration = Duration::from_secs(24 * 60 * 60);

/// What the platform takes from all nodes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlatformRates {
    /// Gets, lists and watches a second.
    pub reads_per_second: f64,
    /// Puts and deletes a second.
    pub writes_per_second: f64,
}

impl PlatformRates {
    /// Calls a second that one of so many nodes may make.
    pub(crate) fn share(total_per_second: f64, nodes: usize) -> f64 {
        total_per_second * FLEET_SHARE / nodes.max(1) as f64
    }
}

impl Default for BudgetSettings {
    fn default() -> BudgetSettings {
        BudgetSettings {
            reads: READS,
            writes: WRITES,
        }
    }
}

/// What is left of one rate.
#[derive(Clone, Debug)]
pub struct Budget {
    rate: Rate,
    saved: f64,
    counted_at: Instant,
}

impl Budget {
    /// Starts with the whole burst saved up.
    pub fn new(rate: Rate, now: Instant) -> Budget {
        Budget {
            rate,
            saved: rate.burst,
            counted_at: now,
        }
    }

    /// Changes what is earned a second; what is saved up stays.
    pub fn set_calls_per_second(&mut self, calls_per_second: f64) {
        self.rate.calls_per_second = calls_per_second;
    }

    /// Takes one call, or says how long until there is one.
    pub fn take(&mut self, now: Instant) -> std::result::Result<(), Duration> {
        let elapsed = now.saturating_duration_since(self.counted_at);
        let earned = elapsed.as_secs_f64() * self.rate.calls_per_second;
        self.saved = (self.saved + earned).min(self.rate.burst);
        self.counted_at = now;
        if self.saved < 1.0 {
            let missing_s = (1.0 - self.saved) / self.rate.calls_per_second;
            let wait = Duration::try_from_secs_f64(missing_s).unwrap_or(LONGEST_WAIT);
            return Err(wait.min(LONGEST_WAIT));
        }
        self.saved -= 1.0;
        Ok(())
    }
}
