//! The life of a node and its upstream.

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
    let mut life = NodeLifecycle::new(settings, now);
    life.configuration_caught_up();
    life.announce(now, WARM);
    life
}

/// A planned stop with two calls in flight: the node refuses and says so at
/// once, waits for both, stays until others have heard, hands over, leaves.
#[test]
fn a_stop_goes_step_by_step() {
    let now = Instant::now();
    let mut life = ready(now, DrainSettings::default());
    let mut steps = format!("drain: {:?}\n", life.drain(now));
    for (after_s, in_flight) in [(1, 2), (4, 1), (5, 0)] {
        let actions = life.check_stop(now + Duration::from_secs(after_s), in_flight);
        writeln!(steps, "{after_s} s, {in_flight} in flight: {actions:?}").unwrap();
    }
    writeln!(steps, "handed over: {:?}", life.handed_over()).unwrap();
    insta::assert_snapshot!(steps);
}

/// A call never ends. The operator's limit ends the wait, and says how many
/// calls it cuts off.
#[test]
fn the_hard_limit_is_reported() {
    let now = Instant::now();
    let settings = DrainSettings {
        hard_limit: Some(Duration::from_secs(30)),
        ..DrainSettings::default()
    };
    let mut life = ready(now, settings);
    life.drain(now);
    assert_eq!(life.check_stop(now + Duration::from_secs(29), 1), []);
    let actions = life.check_stop(now + Duration::from_secs(30), 1);
    let overrun = LifecycleAction::ReportOverrun { in_flight: 1 };
    assert_eq!(actions, [overrun, LifecycleAction::HandOver]);
}

/// An upstream drains; the last renewal of its announcement comes after that.
/// Were it taken for a return, new work would go to an upstream about to stop.
#[test]
fn a_late_renewal_does_not_end_a_drain() {
    let now = Instant::now();
    let mut life = ready(now, DrainSettings::default());
    life.drain_upstream();
    life.announce(now, WARM);
    assert_eq!(life.upstream(), UpstreamState::Draining);
    let cold = Announcement {
        is_cold: true,
        ..WARM
    };
    life.announce(now, cold);
    assert_eq!(life.upstream(), UpstreamState::Cold);
}

/// An upstream drains and is replaced at its address; the next start names
/// itself, and is first heard of when it is no longer cold. Taken for a late
/// renewal, it would get nothing for as long as it lives, and where all of a
/// service are replaced so, every caller is refused.
#[test]
fn another_start_at_the_same_address_ends_a_drain() {
    let now = Instant::now();
    let mut life = ready(now, DrainSettings::default());
    life.drain_upstream();
    let next = Announcement {
        is_other_start: true,
        ..WARM
    };
    life.announce(now, next);
    assert_eq!(life.upstream(), UpstreamState::Ready);
    assert!(life.accepts_new_calls());
}

/// An upstream that no longer renews gets no new work.
#[test]
fn an_announcement_lapses() {
    let now = Instant::now();
    let mut life = ready(now, DrainSettings::default());
    assert!(life.accepts_new_calls());
    life.check_upstream(now + Duration::from_secs(3));
    assert!(!life.accepts_new_calls());
}

/// What happens to an upstream, in order.
#[derive(Clone, Copy, Debug)]
enum Step {
    Renew,
    Drain,
    /// Nothing for longer than an announcement lasts; then the tick runs.
    Silence,
}

/// An upstream says that it is leaving, and its announcement lapses before or
/// after: it was stalled, or the node was. Its next renewal is no return. Were
/// it taken for one, callers' new work would be cut off by the upstream's end.
#[test]
fn a_leaving_upstream_does_not_return_over_a_lapse() {
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
        let mut life = ready(now, DrainSettings::default());
        let mut is_leaving = false;
        for step in steps {
            match step {
                Renew => drop(life.announce(now, WARM)),
                Drain => drop(life.drain_upstream()),
                Silence => {
                    now += Duration::from_secs(4);
                    life.check_upstream(now);
                }
            }
            is_leaving |= matches!(step, Drain);
            let takes = is_leaving && life.accepts_new_calls();
            assert!(!takes, "{steps:?} at {step:?}");
        }
        assert_eq!(life.upstream(), UpstreamState::Draining, "{steps:?}");
        let returned = Announcement {
            address: OTHER_ADDRESS,
            ..WARM
        };
        life.announce(now, returned);
        assert_eq!(life.upstream(), UpstreamState::Cold, "{steps:?}");
        life.announce(now, WARM);
        assert!(life.accepts_new_calls(), "{steps:?}");
    }
}
