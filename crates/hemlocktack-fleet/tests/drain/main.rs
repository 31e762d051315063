//! The life of a node and its upstream.

#![allow(clippy::unwrap_used)]

use std::fmt::Write;
use std::time::{Duration, Instant};

use hemlocktack_fleet::drain::{Announcement, DrainSettings, Life, LifeAction};
use hemlocktack_protocol::UpstreamState;

const WARM: Announcement = Announcement {
    slots: 45,
    is_cold: false,
};

fn ready(now: Instant, settings: DrainSettings) -> Life {
    let mut life = Life::new(settings, now);
    life.caught_up();
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
    let overrun = LifeAction::ReportOverrun { in_flight: 1 };
    assert_eq!(actions, [overrun, LifeAction::HandOver]);
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

/// An upstream that no longer renews gets no new work.
#[test]
fn an_announcement_lapses() {
    let now = Instant::now();
    let mut life = ready(now, DrainSettings::default());
    assert!(life.takes_new_work());
    life.check_upstream(now + Duration::from_secs(3));
    assert!(!life.takes_new_work());
}
