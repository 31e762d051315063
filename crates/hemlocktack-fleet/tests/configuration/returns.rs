//! What a node reads after its watch broke or the platform came back from a copy.

use std::time::{Duration, Instant};

use hemlocktack_fleet::configuration::{
    ConfigurationAction, ConfigurationSettings, ConfigurationState, PeerView,
};

use crate::{document, rng};

fn watcher() -> PeerView {
    PeerView {
        is_watcher: true,
        ..PeerView::default()
    }
}

/// Returns the calls to the platform of one tick: whether each is a watch.
fn platform_calls(in_force: &mut ConfigurationState, now: Instant, view: &PeerView) -> Vec<bool> {
    let actions = in_force.tick(now, view, &mut rng());
    let calls = actions.into_iter().filter_map(|action| match action {
        ConfigurationAction::ReadPlatform { wait, .. } => Some(wait),
        _ => None,
    });
    calls.collect()
}

/// Returns a state with a watch outstanding since `now`.
fn watching(now: Instant) -> ConfigurationState {
    let settings = ConfigurationSettings::default();
    let start = now - settings.backoff_base;
    let mut in_force = ConfigurationState::new(settings, start);
    assert_eq!(platform_calls(&mut in_force, start, &watcher()), [false]);
    in_force.platform_answered(start, Some(document(1)), &watcher(), &mut rng());
    assert_eq!(platform_calls(&mut in_force, now, &watcher()), [true]);
    in_force
}

/// Guards against a watch that goes on from its old revision after a failure, while the store has
/// come back from a copy and has given that revision out again.
#[test]
fn a_read_follows_each_broken_watch() {
    type Fault = fn(&mut ConfigurationState, Instant);
    let faults: [Fault; 3] = [
        |in_force, now| in_force.platform_failed(now, &mut rng()),
        |in_force, now| in_force.revision_gone(now),
        |_, _| {},
    ];
    for fault in faults {
        let start = Instant::now();
        let mut in_force = watching(start);
        fault(&mut in_force, start);
        let mut calls = Vec::new();
        for tick in 1..600 {
            let now = start + Duration::from_millis(100) * tick;
            for is_watch in platform_calls(&mut in_force, now, &watcher()) {
                calls.push(is_watch);
                if !is_watch {
                    in_force.platform_answered(now, Some(document(1)), &watcher(), &mut rng());
                }
            }
        }
        assert_eq!(calls[..2], [false, true]);
    }
}

/// Guards against a node that waits for the end of a watch on a connection that the store has
/// forgotten, and against a pause before the next watch, in which a change would be late.
#[test]
fn a_return_of_the_store_is_followed_by_a_read_at_once_and_a_watch() {
    let start = Instant::now();
    let mut in_force = watching(start);
    let later = start + Duration::from_secs(5);
    in_force.store_returned(later);
    assert_eq!(platform_calls(&mut in_force, later, &watcher()), [false]);
    in_force.platform_answered(later, Some(document(2)), &watcher(), &mut rng());
    assert_eq!(in_force.generation(), 2);
    assert_eq!(platform_calls(&mut in_force, later, &watcher()), [true]);
}

/// Guards against a node that does not watch, has seen the return in another call, and waits for
/// its next poll.
#[test]
fn a_node_that_does_not_watch_reads_after_a_return_as_well() {
    let now = Instant::now();
    let view = PeerView::default();
    let mut in_force = ConfigurationState::new(ConfigurationSettings::default(), now);
    in_force.tick(now, &view, &mut rng());
    in_force.platform_answered(now, Some(document(1)), &view, &mut rng());
    assert!(platform_calls(&mut in_force, now, &view).is_empty());
    in_force.store_returned(now);
    assert_eq!(platform_calls(&mut in_force, now, &view), [false]);
}

/// Guards against a store whose answers each name another era: reads without a pause would use up
/// the node's budget of calls.
#[test]
fn repeated_returns_cause_a_bounded_number_of_reads() {
    let start = Instant::now();
    let mut in_force = watching(start);
    let mut calls = 0;
    for tick in 0..300 {
        let now = start + Duration::from_millis(100) * tick;
        in_force.store_returned(now);
        for is_watch in platform_calls(&mut in_force, now, &watcher()) {
            calls += 1;
            if !is_watch {
                in_force.platform_answered(now, Some(document(1)), &watcher(), &mut rng());
            }
        }
    }
    assert!((15..=60).contains(&calls), "{calls} calls in 30 s");
}

/// Guards against a change that waits for the next watch after an outage broke the one before.
#[test]
fn the_first_broken_watch_causes_no_pause_after_the_read() {
    let start = Instant::now();
    let mut in_force = watching(start);
    in_force.revision_gone(start);
    assert_eq!(platform_calls(&mut in_force, start, &watcher()), [false]);
    in_force.platform_answered(start, Some(document(1)), &watcher(), &mut rng());
    assert_eq!(platform_calls(&mut in_force, start, &watcher()), [true]);
}
