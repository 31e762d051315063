//! Lifecycle of a node and its upstream.

#![allow(clippy::unwrap_used)]

use std::fmt::Write;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::{Duration, Instant};

use hemlocktack_fleet::drain::{Announcement, DrainSettings, LifecycleAction, NodeLifecycle};
use hemlocktack_protocol::UpstreamState;

const ADDRESS: SocketAddr = SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 9001));
const OTHER_ADDRESS: SocketAddr = SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 9002));

const WARM: Announcement = Announcement {
    address: ADDRESS,
    slots: 45,
    is_cold: false,
    is_other_start: false,
};

fn ready(now: Instant, settings: DrainSettings) -> NodeLifecycle {
    let mut lifecycle = NodeLifecycle::new(settings, now);
    lifecycle.configuration_caught_up();
    lifecycle.announce(now, WARM);
    lifecycle
}

/// A planned stop with two calls in flight: the node refuses new calls and publishes the drain at
/// once, waits for both calls and for the minimum drain time, hands over its tickets and leaves.
#[test]
fn a_stop_goes_step_by_step() {
    let now = Instant::now();
    let mut lifecycle = ready(now, DrainSettings::default());
    let mut steps = format!("drain: {:?}\n", lifecycle.drain(now));
    for (after_s, in_flight) in [(1, 2), (4, 1), (5, 0)] {
        let actions = lifecycle.check_stop(now + Duration::from_secs(after_s), in_flight);
        writeln!(steps, "{after_s} s, {in_flight} in flight: {actions:?}").unwrap();
    }
    writeln!(steps, "handed over: {:?}", lifecycle.handed_over()).unwrap();
    insta::assert_snapshot!(steps);
}

/// A call never ends. The operators' limit ends the wait, and the number of aborted calls is
/// reported.
#[test]
fn the_hard_limit_is_reported() {
    let now = Instant::now();
    let settings = DrainSettings {
        hard_limit: Some(Duration::from_secs(30)),
        ..DrainSettings::default()
    };
    let mut lifecycle = ready(now, settings);
    lifecycle.drain(now);
    assert_eq!(lifecycle.check_stop(now + Duration::from_secs(29), 1), []);
    let actions = lifecycle.check_stop(now + Duration::from_secs(30), 1);
    let overrun = LifecycleAction::ReportOverrun { in_flight: 1 };
    assert_eq!(actions, [overrun, LifecycleAction::HandOver]);
}

/// An upstream drains, and the last renewal of its announcement arrives afterwards. If it counted
/// as a return, new calls would be sent to an upstream that is about to stop.
#[test]
fn a_late_renewal_does_not_end_a_drain() {
    let now = Instant::now();
    let mut lifecycle = ready(now, DrainSettings::default());
    lifecycle.drain_upstream();
    lifecycle.announce(now, WARM);
    assert_eq!(lifecycle.upstream(), UpstreamState::Draining);
    let cold = Announcement {
        is_cold: true,
        ..WARM
    };
    lifecycle.announce(now, cold);
    assert_eq!(lifecycle.upstream(), UpstreamState::Cold);
}

/// An upstream drains and is replaced by a new process at its address. The new process identifies
/// itself by another name, but is no longer cold when its first announcement arrives. If that
/// counted as a late renewal, the process would never get calls; and if all upstreams of a service
/// are replaced like this, every caller is refused.
#[test]
fn a_new_process_at_the_same_address_ends_a_drain() {
    let now = Instant::now();
    let mut lifecycle = ready(now, DrainSettings::default());
    lifecycle.drain_upstream();
    let next = Announcement {
        is_other_start: true,
        ..WARM
    };
    lifecycle.announce(now, next);
    assert_eq!(lifecycle.upstream(), UpstreamState::Ready);
    assert!(lifecycle.accepts_new_calls());
}

/// An upstream that no longer renews its announcement gets no new calls.
#[test]
fn an_announcement_expires() {
    let now = Instant::now();
    let mut lifecycle = ready(now, DrainSettings::default());
    assert!(lifecycle.accepts_new_calls());
    lifecycle.check_upstream(now + Duration::from_secs(3));
    assert!(!lifecycle.accepts_new_calls());
}

/// Event of an upstream.
#[derive(Clone, Copy, Debug)]
enum Step {
    Renew,
    Drain,
    /// No renewal until the announcement has expired and the node has checked it.
    Silence,
}

/// An upstream drains, and its announcement expires before or after that because the upstream or
/// the node was paused. Its next renewal must not count as a return; otherwise new calls would be
/// aborted when the upstream stops.
#[test]
fn a_leaving_upstream_does_not_return_after_its_announcement_expired() {
    use Step::{Drain, Renew, Silence};
    let tables: [&[Step]; 5] = [
        &[Silence, Drain, Renew],
        &[Drain, Renew, Silence, Renew],
        &[Drain, Silence, Silence, Renew, Renew],
        &[Drain, Silence, Renew, Silence, Renew],
        &[Silence, Drain, Silence, Drain, Renew],
    ];
    for steps in tables {
        let mut now = Instant::now();
        let mut lifecycle = ready(now, DrainSettings::default());
        let mut is_leaving = false;
        for step in steps {
            match step {
                Renew => drop(lifecycle.announce(now, WARM)),
                Drain => drop(lifecycle.drain_upstream()),
                Silence => {
                    now += Duration::from_secs(4);
                    lifecycle.check_upstream(now);
                }
            }
            is_leaving |= matches!(step, Drain);
            let takes = is_leaving && lifecycle.accepts_new_calls();
            assert!(!takes, "{steps:?} at {step:?}");
        }
        assert_eq!(lifecycle.upstream(), UpstreamState::Draining, "{steps:?}");
        let returned = Announcement {
            address: OTHER_ADDRESS,
            ..WARM
        };
        lifecycle.announce(now, returned);
        assert_eq!(lifecycle.upstream(), UpstreamState::Cold, "{steps:?}");
        lifecycle.announce(now, WARM);
        assert!(lifecycle.accepts_new_calls(), "{steps:?}");
    }
}
