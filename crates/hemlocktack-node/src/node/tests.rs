//! How a node behaves by its settings.

use std::time::Duration;

use super::policies::drain_limit;
use crate::settings::for_tests;

/// A short grace period, of which the exit's time is a large part: a request at
/// which an upstream works is broken off earlier than it has to be.
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
