//! Policies of a node that depend on its interface and settings.

use std::time::Duration;

use hemlocktack_decide::{AdmissionPolicy, ObjectiveLimitPolicy};
use hemlocktack_fleet::drain::{DrainSettings, UpstreamSettings};

use crate::handover;
use crate::settings::{AdjustableSettings, InterfaceName, Settings};
use crate::upstream::{MAX_MISSED_RENEWALS, RENEWAL_INTERVAL};

/// Minimum duration of a drain. All nodes learn of the drain within this time; until then
/// the draining node has to refuse the calls that still arrive.
pub(crate) const MIN_DRAIN_TIME: Duration = Duration::from_secs(2);
/// Minimum duration of a drain with an interface whose callers are redirected after failed
/// readiness probes.
const INTERFACE_MIN_DRAIN_TIME: Duration = Duration::from_millis(2_500);
/// Part of the grace period that is reserved for sending the final responses and exiting,
/// before the process is killed.
const EXIT_TIME: Duration = Duration::from_millis(700);
/// Limits the reserved time to this fraction of the grace period, so that a short grace
/// period leaves at least five sixths to the requests in flight.
const EXIT_TIME_DIVISOR: u32 = 6;
/// Share of the reserved time in which final responses are sent; the rest is for the exit of
/// the process.
const FINAL_RESPONSES_SHARE: f64 = 0.75;
/// Time until the announcement of an upstream expires, with an interface. Such an upstream
/// renews it every one or two seconds and may be seconds late. A crash is noticed earlier,
/// when a connection to the upstream fails.
const INTERFACE_ANNOUNCEMENT_TTL: Duration = Duration::from_secs(10);

pub(super) fn drain_settings(
    settings: &Settings,
    adjustable: &AdjustableSettings,
) -> DrainSettings {
    DrainSettings {
        min_drain_time: match settings.interface {
            InterfaceName::Own => MIN_DRAIN_TIME,
            InterfaceName::Cooperative => INTERFACE_MIN_DRAIN_TIME,
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

/// Returns the admission policy. Only routes of an interface have latency objectives; the
/// native configuration has none.
pub(super) fn admission_policy(settings: &Settings) -> AdmissionPolicy {
    AdmissionPolicy {
        objective: match settings.interface {
            InterfaceName::Own => None,
            InterfaceName::Cooperative => Some(ObjectiveLimitPolicy::default()),
        },
        ..AdmissionPolicy::default()
    }
}

/// Returns how long a planned stop waits for calls in flight.
pub(super) fn drain_limit(adjustable: &AdjustableSettings) -> Duration {
    let grace = adjustable.stop_grace;
    grace.map_or(adjustable.drain_limit, |grace| grace - exit_time(grace))
}

/// Returns how long a planned stop sends final responses after its drain limit.
pub(super) fn final_responses_time(adjustable: &AdjustableSettings) -> Duration {
    let reserved = adjustable.stop_grace.map_or(EXIT_TIME, exit_time);
    reserved.mul_f64(FINAL_RESPONSES_SHARE)
}

fn exit_time(grace: Duration) -> Duration {
    EXIT_TIME.min(grace / EXIT_TIME_DIVISOR)
}
