//! Distinguishes retrying callers from new ones by their timeout.

use std::time::Duration;

use hemlocktack_decide::CallerTimeoutEstimator;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const WHOLE: Duration = Duration::from_millis(6_000);
const PATIENT: Duration = Duration::from_millis(9_000);

/// In an overload, two of five requests are retries, each with a different remaining time, and
/// one of twenty is from a program with a longer timeout. Remaining times are recognized, and
/// the longer timeout is not taken for the typical one.
#[test]
fn the_patience_met_most_is_the_whole_one() {
    let mut random = SmallRng::seed_from_u64(5);
    let mut patience = CallerTimeoutEstimator::default();
    let mut wrong = 0;
    for number in 0..5_000 {
        let rest = WHOLE - Duration::from_millis(random.random_range(200..1_500));
        let sent = match random.random_range(0..20) {
            0 => PATIENT,
            1..9 => rest,
            _ => WHOLE,
        };
        let waited = patience.estimate_waited(sent);
        let is_right = waited == WHOLE.saturating_sub(sent);
        wrong += u32::from(number >= 100 && !is_right);
    }
    assert_eq!(wrong, 0);
}

#[test]
fn nothing_is_held_against_the_first_requests() {
    let mut patience = CallerTimeoutEstimator::default();
    for rest_ms in [6_000, 5_000, 4_000, 3_000] {
        let waited = patience.estimate_waited(Duration::from_millis(rest_ms));
        assert_eq!(waited, Duration::ZERO);
    }
}

/// The calling program is replaced by one with a shorter timeout. Until that is learnt, its
/// requests look like retries; afterwards they must not.
#[test]
fn another_usual_patience_is_learnt() {
    let mut patience = CallerTimeoutEstimator::default();
    for _ in 0..5_000 {
        patience.estimate_waited(WHOLE);
    }
    let less = Duration::from_millis(4_000);
    for _ in 0..1_500 {
        patience.estimate_waited(less);
    }
    assert_eq!(patience.estimate_waited(less), Duration::ZERO);
}
