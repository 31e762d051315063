//! The active configuration of one node.

#![allow(clippy::unwrap_used)]

mod any_documents;
mod returns;
mod store_refusals;
mod store_world;

use std::time::{Duration, Instant};

use hemlocktack_fleet::configuration::{
    ConfigurationAction, ConfigurationSettings, ConfigurationState, PeerView, platform_watchers,
    watches_platform,
};
use hemlocktack_protocol::{ConfigurationDocument, Generation};
use rand::SeedableRng;
use rand::rngs::StdRng;

fn document(generation: Generation) -> ConfigurationDocument {
    ConfigurationDocument {
        generation,
        document: "text".to_owned(),
        ..ConfigurationDocument::default()
    }
}

fn peers(names: &[&str]) -> PeerView {
    PeerView {
        ready: names.iter().map(|&name| name.to_owned()).collect(),
        is_watcher: false,
    }
}

fn rng() -> StdRng {
    StdRng::seed_from_u64(1)
}

/// An operator was told that generation 5 is active, and then a slow peer answers with generation
/// 4. Applying it would revert the change on this node.
#[test]
fn a_late_answer_does_not_revert() {
    let now = Instant::now();
    let mut in_force = ConfigurationState::new(ConfigurationSettings::default(), now);
    in_force.stored_locally(document(5));
    let actions = in_force.peer_answered(now, "slow", 4, Some(document(4)));
    assert_eq!(actions, []);
    assert_eq!(in_force.generation(), 5);
}

/// A node starts while the platform is unavailable. One of its peers was cut off and has an old
/// generation; if only that peer were asked, the node would take calls with it. The node asks three
/// and uses the highest.
#[test]
fn a_start_without_the_platform_asks_several_peers() {
    let mut now = Instant::now();
    let mut in_force = ConfigurationState::new(ConfigurationSettings::default(), now);
    let view = peers(&["a", "b", "c", "d"]);
    let mut asked = 0;
    in_force.tick(now, &view, &mut rng());
    in_force.platform_failed(now, &mut rng());
    while !in_force.is_caught_up() {
        now += Duration::from_millis(100);
        for action in in_force.tick(now, &view, &mut rng()) {
            let ConfigurationAction::Pull { node_id, .. } = action else {
                continue;
            };
            asked += 1;
            let generation = if asked == 1 { 2 } else { 9 };
            in_force.peer_answered(now, &node_id, generation, Some(document(generation)));
        }
        assert!(asked <= 3);
    }
    assert_eq!((asked, in_force.generation()), (3, 9));
}

/// After a long outage the whole fleet must not call the platform at once: the node backs off while
/// calls fail, with randomised delays.
#[test]
fn calls_to_a_failing_platform_become_rare() {
    let start = Instant::now();
    let mut in_force = ConfigurationState::new(ConfigurationSettings::default(), start);
    let mut calls = 0;
    for tick in 0..3_000 {
        let now = start + Duration::from_millis(100) * tick;
        for action in in_force.tick(now, &PeerView::default(), &mut rng()) {
            if matches!(action, ConfigurationAction::ReadPlatform { .. }) {
                calls += 1;
                in_force.platform_failed(now, &mut rng());
            }
        }
    }
    assert!((10..25).contains(&calls), "{calls} calls in 300 s");
}

/// In a data centre of any size, exactly the wanted number of nodes consider themselves watchers.
#[test]
fn the_number_of_watchers_does_not_depend_on_the_size() {
    for size in [1usize, 2, 3, 10, 94, 560] {
        let names: Vec<String> = (0..size).map(|number| format!("node-{number}")).collect();
        let watches = |own: &&String| {
            let others = names.iter().filter(|name| name != own);
            watches_platform(own, others.map(String::as_str), 2)
        };
        assert_eq!(names.iter().filter(watches).count(), size.min(2));
    }
}

fn unreadable(generation: Generation) -> ConfigurationDocument {
    ConfigurationDocument {
        document: "a newer field".to_owned(),
        ..document(generation)
    }
}

fn older_version(now: Instant) -> ConfigurationState {
    let settings = ConfigurationSettings {
        can_read: |document| document.document == "text",
        ..ConfigurationSettings::default()
    };
    ConfigurationState::new(settings, now)
}

/// An older binary starts while the stored document has a newer field. If it became ready, it would
/// refuse every call or use a configuration that was replaced. It must wait for a document that it
/// can read.
#[test]
fn an_unreadable_document_makes_no_node_ready() {
    let now = Instant::now();
    let view = peers(&["a"]);
    let mut in_force = older_version(now);
    in_force.platform_answered(now, Some(unreadable(5)), &view, &mut rng());
    assert!(!in_force.is_caught_up());
    assert_eq!(in_force.generation(), 0);
    in_force.peer_answered(now, "a", 4, Some(document(4)));
    in_force.platform_answered(now, Some(unreadable(5)), &view, &mut rng());
    in_force.platform_failed(now, &mut rng());
    in_force.tick(now, &view, &mut rng());
    assert!(!in_force.is_caught_up());
    let actions = in_force.platform_answered(now, Some(document(6)), &view, &mut rng());
    assert!(actions.contains(&ConfigurationAction::CaughtUp));
    assert_eq!(in_force.generation(), 6);
}

/// A running node repeatedly gets a document that it cannot read, from several sources. It keeps
/// the previous one and does not pull the unreadable one from peers.
#[test]
fn an_unreadable_document_leaves_the_older_one_active() {
    let now = Instant::now();
    let view = PeerView::default();
    let mut in_force = older_version(now);
    in_force.platform_answered(now, Some(document(3)), &view, &mut rng());
    let mut actions = in_force.stored_locally(unreadable(4));
    actions.extend(in_force.platform_answered(now, Some(unreadable(4)), &view, &mut rng()));
    actions.extend(in_force.peer_answered(now, "a", 4, Some(unreadable(4))));
    in_force.peer_announced("b", 4);
    actions.extend(in_force.tick(now, &view, &mut rng()));
    let is_install =
        |action: &ConfigurationAction| matches!(action, ConfigurationAction::Install { .. });
    let is_pull = |action: &ConfigurationAction| matches!(action, ConfigurationAction::Pull { .. });
    assert!(!actions.iter().any(is_install), "{actions:?}");
    assert!(!actions.iter().any(is_pull), "{actions:?}");
    assert!(in_force.is_caught_up());
    assert_eq!(in_force.current(), Some(&document(3)));
}

/// The store discards revisions faster than watches follow, so each watch is refused at once. The
/// node must read, wait and watch again without using up its budget of platform calls.
#[test]
fn refused_watches_are_repeated_with_a_delay() {
    let start = Instant::now();
    let mut in_force = ConfigurationState::new(ConfigurationSettings::default(), start);
    let view = PeerView {
        is_watcher: true,
        ..PeerView::default()
    };
    let (mut reads, mut watches) = (0, 0);
    for tick in 0..3_000 {
        let now = start + Duration::from_millis(100) * tick;
        for action in in_force.tick(now, &view, &mut rng()) {
            let ConfigurationAction::ReadPlatform { wait, .. } = action else {
                continue;
            };
            if wait {
                watches += 1;
                in_force.revision_gone(now);
            } else {
                reads += 1;
                in_force.platform_answered(now, Some(document(1)), &view, &mut rng());
            }
        }
    }
    assert!((100..=300).contains(&watches), "{watches} watches in 300 s");
    assert!(
        (watches..=watches + 1).contains(&reads),
        "{reads} reads in 300 s"
    );
}

/// Guards against a node that takes itself for a watcher where the others do not.
#[test]
fn each_watcher_knows_that_it_is_one() {
    for size in 1..30 {
        let ids: Vec<String> = (0..size).map(|node| format!("node-{node}")).collect();
        let live = || ids.iter().map(String::as_str);
        for count in [1, 2, 5, 40] {
            let watchers = platform_watchers(live(), count);
            for id in live() {
                let knows = watches_platform(id, live().filter(|other| *other != id), count);
                assert_eq!(watchers.contains(&id), knows, "{id} of {size}, {count}");
            }
        }
    }
}
