//! How a node behaves by the interface that it speaks.

use std::time::Duration;

use hemlocktack_decide::{AdmissionPolicy, ObjectiveLimitPolicy};
use hemlocktack_fleet::drain::{DrainSettings, UpstreamSettings};

use crate::handover;
use crate::settings::{AdjustableSettings, InterfaceName, Settings};
use crate::upstream::{MAX_MISSED_RENEWALS, RENEWAL_INTERVAL};

/// News of a drain reaches all nodes within this time; until then a draining
/// node is there to refuse what still comes.
pub(crate) const DRAIN_SETTLE: Duration = Duration::from_secs(2);
/// A stopping node whose callers are sent elsewhere by its readiness stays at
/// least so long.
const INTERFACE_DRAIN_SETTLE: Duration = Duration::from_millis(2_500);
/// Kept back from the time between the signal to stop and the end by force:
/// to tell callers, to say farewell and to exit.
const EXIT_TIME: Duration = Duration::from_millis(700);
/// Largest part of the grace period that is kept back, as a divisor: of a short one
/// at least five sixths stay for requests in flight.
const EXIT_TIME_DIVISOR: u32 = 6;
/// An upstream whose announcements come through an interface renews every
/// second or two and may be seconds late; that it is down shows when a
/// connection fails.
const INTERFACE_ANNOUNCEMENT_TTL: Duration = Duration::from_secs(10);

pub(super) fn drain_settings(
    settings: &Settings,
    adjustable: &AdjustableSettings,
) -> DrainSettings {
    DrainSettings {
        min_drain_time: match settings.interface {
            InterfaceName::Own => DRAIN_SETTLE,
            InterfaceName::Cooperative => INTERFACE_DRAIN_SETTLE,
        },
        hard_limit: Some(drain_limit(adjustable)),
        handover_limit: handover::TIME_LIMIT,
        upstream: UpstreamSettings {
            announcement_ttl: match settings.interface {
                InterfaceName::Own => RENEWAL_INTERVAL * MAX_MISSED_RENEWALS,
                InterfaceName::Cooperative => INTERFACE_ANNOUNCEMENT_TTL,
            },
            ..UpstreamSettings::default()
        },
        disabled_safeguard: None,
    }
}

/// Routes of an interface state objectives; the product's own configuration has
/// none.
pub(super) fn admission_policy(settings: &Settings) -> AdmissionPolicy {
    AdmissionPolicy {
        objective: match settings.interface {
            InterfaceName::Own => None,
            InterfaceName::Cooperative => Some(ObjectiveLimitPolicy::default()),
        },
        ..AdmissionPolicy::default()
    }
}

pub(super) fn drain_limit(adjustable: &AdjustableSettings) -> Duration {
    let grace = adjustable.stop_grace;
    grace.map_or(adjustable.drain_limit, |grace| {
        grace - EXIT_TIME.min(grace / EXIT_TIME_DIVISOR)
    })
}
