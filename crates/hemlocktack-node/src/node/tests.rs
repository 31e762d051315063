//! Policies that depend on the settings.

use std::time::Duration;

use super::policies::drain_limit;
use crate::settings::for_tests;

/// Guards against ending requests too early: with a short grace period, the time reserved
/// for the exit would be a large part of it.
#[test]
fn a_drain_waits_until_the_last_sixth_of_the_grace_period() {
    for grace_ms in (500..30_000).step_by(100) {
        let grace = Duration::from_millis(grace_ms);
        let loaded = for_tests::with_flags(&[("--stop-grace", &format!("{grace_ms}ms"))]);
        let limit = drain_limit(&loaded.adjustable);
        assert!(limit >= grace / 6 * 5, "{limit:?} of {grace:?}");
        assert!(limit < grace, "{limit:?} of {grace:?}");
    }
}
