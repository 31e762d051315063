//! How a node behaves by its settings.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use super::policies::drain_limit;
use crate::settings::{self, AdjustableSettings, Invocation};

fn adjustable(stop_grace: Duration) -> AdjustableSettings {
    let unused = "127.0.0.1:9";
    let grace = format!("{}ms", stop_grace.as_millis());
    let texts = [
        ("--node", "listings-1"),
        ("--service", "listings"),
        ("--data-centre", "howrah"),
        ("--caller-address", unused),
        ("--control-address", unused),
        ("--link-address", unused),
        ("--gossip-address", unused),
        ("--platform-url", "http://127.0.0.1:9"),
        ("--stop-grace", &grace),
        ("--fleet-key", "a-key-of-32-characters-for-tests-only"),
        ("--operator-token", "a-token-for-tests"),
    ];
    let pairs = texts.iter().flat_map(|(name, value)| [*name, *value]);
    let arguments: Vec<String> = pairs.map(str::to_owned).collect();
    let Ok(Invocation::Run(order)) = settings::read(&arguments, |_| None) else {
        panic!("the settings are usable");
    };
    order.loaded.adjustable
}

/// A short grace period, of which the exit's time is a large part: a request at
/// which an upstream works is broken off earlier than it has to be.
#[test]
fn a_drain_waits_until_the_last_sixth_of_the_grace_period() {
    for grace_ms in (500..30_000).step_by(100) {
        let grace = Duration::from_millis(grace_ms);
        let limit = drain_limit(&adjustable(grace));
        assert!(limit >= grace / 6 * 5, "{limit:?} of {grace:?}");
        assert!(limit < grace, "{limit:?} of {grace:?}");
    }
}
