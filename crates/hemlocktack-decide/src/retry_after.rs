//! When a refused caller may come back.

use std::time::Duration;

/// Numbers of [`retry_after`].
#[derive(Clone, Copy, Debug)]
pub struct RetryAfterPolicy {
    /// Wait at no pressure: about the time in which a burst is worked off.
    pub base: Duration,
    /// Longest wait. Longer ones would keep callers away after recovery, which
    /// takes about a second.
    pub most: Duration,
}

impl Default for RetryAfterPolicy {
    fn default() -> Self {
        RetryAfterPolicy {
            base: Duration::from_millis(500),
            most: Duration::from_secs(10),
        }
    }
}

/// Share of what is left of an objective beside the work itself that a caller
/// may be sent away for: the rest is for the wait when it is back.
const SLACK_SHARE: f64 = 0.75;
/// With less left than this a caller cannot be answered in time any more.
const LEAST_SLACK: Duration = Duration::from_millis(100);

/// The same wait, cut so that the caller can still be answered in time.
///
/// Load: an overload of some seconds. Harm: callers who are told to come back
/// in a second, with a run of one second and an objective of two, come back too
/// late whatever happens then, and each slot that they get answers one late
/// that could have answered another in time.
pub fn cap_to_objective(wait: Duration, objective_left: Duration, expected: Duration) -> Duration {
    let slack = objective_left.saturating_sub(expected);
    if slack < LEAST_SLACK {
        return wait;
    }
    wait.min(slack.mul_f64(SLACK_SHARE))
}

/// Time until a refused caller should come back.
///
/// Load: a surge whose refused callers all return. Harm: if all wait equally
/// long, they return together and the surge repeats itself. The wait is drawn
/// evenly between half and one and a half times its middle, so that returns
/// spread over a span as long as the wait; the middle grows with `pressure`
/// (demand over capacity, less one; 0 when there is room), so that the rate of
/// returns stays near what capacity allows.
pub fn retry_after(pressure: f64, random: u64, policy: &RetryAfterPolicy) -> Duration {
    let middle = policy.base.as_secs_f64() * (1.0 + pressure.max(0.0));
    let middle = middle.min(policy.most.as_secs_f64() / 1.5);
    let jitter = 0.5 + (random >> 11) as f64 / (1u64 << 53) as f64;
    Duration::from_secs_f64(middle * jitter)
}
