//! Rate limits on a node's calls to the platform.
//!
//! The platform rate-limits all calls together, and its limits grow more slowly than the fleet.
//! Without a limit of its own, a node in a loop (two processes overwriting the same record, a watch
//! that fails immediately) could use up the share of all others, and the platform would reject
//! operators' changes.

use std::time::{Duration, Instant};

/// Rate and size of a token bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// Sustained calls per second.
    pub calls_per_second: f64,
    /// Size of the bucket: calls that can be made at once.
    pub burst: f64,
}

/// Separate limits for reads and writes, as the platform counts them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetSettings {
    /// Limit on gets, lists and watches.
    pub reads: Rate,
    /// Limit on puts and deletes.
    pub writes: Rate,
}

/// With 560 nodes 1,120 reads per second, of about 2,000 that the platform accepts.
const READS: Rate = Rate {
    calls_per_second: 2.0,
    burst: 40.0,
};
/// With 560 nodes 280 writes per second, of the several hundred that the platform accepts.
const WRITES: Rate = Rate {
    calls_per_second: 0.5,
    burst: 20.0,
};

/// Fraction of the platform's rates that the whole fleet may use. The rest is left for operators
/// and for shares that overlap while nodes join and leave.
const FLEET_SHARE: f64 = 0.5;

/// Caps the wait at very low rates, since settings may change meanwhile.
const MAX_WAIT: Duration = Duration::from_secs(24 * 60 * 60);

/// Rates that the platform accepts from all nodes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlatformRates {
    /// Gets, lists and watches per second.
    pub reads_per_second: f64,
    /// Puts and deletes per second.
    pub writes_per_second: f64,
}

impl PlatformRates {
    /// Returns one node's share of a total rate, in calls per second.
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

/// Token bucket that limits the rate of calls.
#[derive(Clone, Debug)]
pub struct Budget {
    rate: Rate,
    tokens: f64,
    refilled_at: Instant,
}

impl Budget {
    /// Creates a full bucket.
    pub fn new(rate: Rate, now: Instant) -> Budget {
        Budget {
            rate,
            tokens: rate.burst,
            refilled_at: now,
        }
    }

    /// Changes the refill rate; the current tokens stay.
    pub fn set_calls_per_second(&mut self, calls_per_second: f64) {
        self.rate.calls_per_second = calls_per_second;
    }

    /// Takes a token for one call, or returns the time until one is available.
    pub fn take(&mut self, now: Instant) -> std::result::Result<(), Duration> {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        let refill = elapsed.as_secs_f64() * self.rate.calls_per_second;
        self.tokens = (self.tokens + refill).min(self.rate.burst);
        self.refilled_at = now;
        if self.tokens < 1.0 {
            let shortfall_s = (1.0 - self.tokens) / self.rate.calls_per_second;
            let wait = Duration::try_from_secs_f64(shortfall_s).unwrap_or(MAX_WAIT);
            return Err(wait.min(MAX_WAIT));
        }
        self.tokens -= 1.0;
        Ok(())
    }
}
