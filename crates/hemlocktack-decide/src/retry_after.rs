//! Retry-After of refusals.

use std::time::Duration;

/// Parameters of [`retry_after`].
#[derive(Clone, Copy, Debug)]
pub struct RetryAfterPolicy {
    /// Wait at zero pressure: about the time in which a burst is processed.
    pub base: Duration,
    /// Maximum wait. Longer waits would keep callers away after recovery, which takes about a
    /// second.
    pub max: Duration,
}

impl Default for RetryAfterPolicy {
    fn default() -> Self {
        RetryAfterPolicy {
            base: Duration::from_millis(500),
            max: Duration::from_secs(10),
        }
    }
}

/// Maximum wait as a share of the objective left beyond the expected run. The rest is for
/// queueing once the caller is back.
const MAX_SLACK_SHARE: f64 = 0.75;
/// With less slack than this, a caller cannot be answered in time any more.
const MIN_SLACK: Duration = Duration::from_millis(100);

/// Shortest wait that [`cap_to_objective`] leaves of a Retry-After for lack of capacity:
/// `MAX_SLACK_SHARE` of `MIN_SLACK`.
pub(crate) const MIN_CAPPED_WAIT: Duration = Duration::from_millis(75);

/// Shortens a Retry-After wait so that the caller can still be answered in time.
///
/// In an overload of some seconds, callers told to wait one second, with a run of one second and
/// an objective of two, return too late in any case. Each slot that they get then produces a
/// late answer where another request could have been answered in time.
pub fn cap_to_objective(wait: Duration, objective_left: Duration, expected: Duration) -> Duration {
    let slack = objective_left.saturating_sub(expected);
    if slack < MIN_SLACK {
        return wait;
    }
    wait.min(slack.mul_f64(MAX_SLACK_SHARE))
}

/// Returns the time after which a refused caller should retry.
///
/// If all callers refused in a surge waited equally long, they would return together and repeat
/// the surge. The wait is therefore drawn uniformly between 0.5 and 1.5 times its mean, which
/// spreads the retries over a time as long as the mean. The mean grows with `pressure` (demand
/// over capacity, minus one; 0 when there is spare capacity), so that the rate of retries stays
/// near capacity.
pub fn retry_after(pressure: f64, random: u64, policy: &RetryAfterPolicy) -> Duration {
    let middle = policy.base.as_secs_f64() * (1.0 + pressure.max(0.0));
    let middle = middle.min(policy.max.as_secs_f64() / 1.5);
    let jitter = 0.5 + (random >> 11) as f64 / (1u64 << 53) as f64;
    Duration::from_secs_f64(middle * jitter)
}
