//! Distinguishes retrying callers from new ones by their timeout.

use std::time::Duration;

use hemlocktack_decide::CallerTimeoutEstimator;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const FULL_TIMEOUT: Duration = Duration::from_millis(6_000);
const LONGER_TIMEOUT: Duration = Duration::from_millis(9_000);

/// In an overload, two of five requests are retries, each with a different remaining time, and
/// one of twenty is from a program with a longer timeout. Remaining times are recognized, and
/// the longer timeout is not taken for the typical one.
#[test]
fn the_most_frequent_timeout_is_the_full_one() {
    let mut random = SmallRng::seed_from_u64(5);
    let mut estimator = CallerTimeoutEstimator::default();
    let mut wrong = 0;
    for number in 0..5_000 {
        let rest = FULL_TIMEOUT - Duration::from_millis(random.random_range(200..1_500));
        let sent = match random.random_range(0..20) {
            0 => LONGER_TIMEOUT,
            1..9 => rest,
            _ => FULL_TIMEOUT,
        };
        let waited = estimator.estimate_waited(sent);
        let is_right = waited == FULL_TIMEOUT.saturating_sub(sent);
        wrong += u32::from(number >= 100 && !is_right);
    }
    assert_eq!(wrong, 0);
}

#[test]
fn the_first_requests_are_not_taken_for_retries() {
    let mut estimator = CallerTimeoutEstimator::default();
    for rest_ms in [6_000, 5_000, 4_000, 3_000] {
        let waited = estimator.estimate_waited(Duration::from_millis(rest_ms));
        assert_eq!(waited, Duration::ZERO);
    }
}

/// The calling program is replaced by one with a shorter timeout. Until that is learnt, its
/// requests look like retries; afterwards they must not.
#[test]
fn a_new_typical_timeout_is_learnt() {
    let mut estimator = CallerTimeoutEstimator::default();
    for _ in 0..5_000 {
        estimator.estimate_waited(FULL_TIMEOUT);
    }
    let less = Duration::from_millis(4_000);
    for _ in 0..1_500 {
        estimator.estimate_waited(less);
    }
    assert_eq!(estimator.estimate_waited(less), Duration::ZERO);
}
