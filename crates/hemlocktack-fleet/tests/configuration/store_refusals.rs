//! Who watches while the store serves only some nodes.

use std::time::Duration;

use hemlocktack_protocol::StoreContact;

use crate::store_world::{Calls, SERVE, Treatment, World};

/// Time within which a change must be in force.
const BOUND: Duration = Duration::from_secs(2);
/// Random numbers that each subset is tried with.
const SEEDS: usize = 8;
const SECOND: Duration = Duration::from_secs(1);

/// Returns the subsets of the nodes with at least one node left.
fn subsets(nodes: usize) -> impl Iterator<Item = Vec<usize>> {
    let members = move |bits: usize| (0..nodes).filter(|node| bits >> node & 1 == 1).collect();
    (1..(1 << nodes) - 1).map(members)
}

/// The store refuses the nodes that watch, or does not answer them, so that no node of the data
/// centre learns of a change.
#[test]
fn a_change_reaches_all_nodes_whichever_ones_the_store_serves() {
    for treatment in [Treatment::Refuse, Treatment::Silence] {
        for (seed, excluded) in subsets(4).enumerate() {
            let mut world = World::start(1, 4, seed as u64);
            for node in &excluded {
                world.treat(*node, treatment);
            }
            world.run(3 * SECOND);
            for _ in 0..3 {
                world.change();
                let time = world.time_until_in_force(BOUND);
                assert!(time.is_some(), "{treatment:?} of {excluded:?}");
                world.run(SECOND);
            }
        }
    }
}

/// The store begins to refuse the watching nodes, or not to answer them, at the very moment of a
/// change.
#[test]
fn a_change_at_the_moment_of_a_refusal_or_silence_reaches_all_nodes() {
    for treatment in [Treatment::Refuse, Treatment::Silence] {
        for (seed, excluded) in (0..SEEDS).flat_map(|_| subsets(4)).enumerate() {
            let mut world = World::start(1, 4, seed as u64);
            // The probes of the nodes are in another phase in each run.
            world.run(SECOND * (seed as u32) / 37);
            for node in &excluded {
                world.treat(*node, treatment);
            }
            world.change();
            let time = world.time_until_in_force(BOUND);
            assert!(time.is_some(), "{treatment:?} of {excluded:?}");
        }
    }
}

/// The store serves a single node of a data centre of 16, whose turn to watch would come only after
/// all others had been refused, pair after pair.
#[test]
fn a_single_served_node_of_sixteen_finds_a_change_for_all() {
    for treatment in [Treatment::Refuse, Treatment::Silence] {
        for served in 0..16 {
            let mut world = World::start(1, 16, served as u64);
            world.treat_all(treatment);
            world.treat(served, SERVE);
            world.run(3 * SECOND);
            world.change();
            let time = world.time_until_in_force(BOUND);
            assert!(time.is_some(), "{treatment:?} of all but {served}");
            assert_eq!(world.contact(served), StoreContact::Served);
        }
    }
}

/// After an outage for all the store serves one node again. The others must not have to wait for
/// the nodes that watched before.
#[test]
fn after_an_outage_a_single_served_node_finds_a_change_for_all() {
    for treatment in [Treatment::Refuse, Treatment::Silence] {
        for served in 0..16 {
            let mut world = World::start(1, 16, served as u64);
            world.treat_all(treatment);
            world.run(30 * SECOND);
            world.change();
            world.treat(served, SERVE);
            let time = world.time_until_in_force(BOUND);
            assert!(time.is_some(), "after {treatment:?} of all but {served}");
        }
    }
}

/// A read that was sent just before the store's return is lost, and the next one waits for its end.
#[test]
fn after_a_silent_outage_a_change_reaches_small_data_centres() {
    for nodes in 1..=3 {
        for seed in 0..100 {
            let mut world = World::start(1, nodes, seed);
            world.treat_all(Treatment::Silence);
            world.run(5 * SECOND + SECOND * (seed as u32) / 37);
            world.change();
            world.treat_all(SERVE);
            let time = world.time_until_in_force(BOUND);
            assert!(time.is_some(), "{nodes} nodes, seed {seed}");
        }
    }
}

/// After an outage one node is served first and the others wait, so that nobody watches once that
/// node stands still.
#[test]
fn two_nodes_watch_soon_after_an_outage() {
    for treatment in [Treatment::Refuse, Treatment::Silence] {
        let mut world = World::start(1, 8, 1);
        world.treat_all(treatment);
        world.run(60 * SECOND);
        world.treat_all(SERVE);
        world.run(3 * SECOND);
        assert!(world.watchers().len() >= 2, "after {treatment:?}");
    }
}

/// The store rejects the reads of the watching nodes and answers their probes, for which it may use
/// old data, so that they count as served and no other node reads.
#[test]
fn answered_probes_do_not_hide_rejected_reads() {
    let mut world = World::start(1, 4, 1);
    for node in world.watchers() {
        world.treat(node, Treatment::RefuseReads);
    }
    world.break_watches();
    world.run(SECOND);
    world.change();
    assert!(world.time_until_in_force(BOUND).is_some());
}

/// A data centre in which the store serves nobody gets a change from another one.
#[test]
fn a_change_reaches_a_data_centre_that_the_store_refuses() {
    let mut world = World::start(2, 4, 1);
    for node in (0..8).step_by(2) {
        world.treat(node, Treatment::Silence);
    }
    world.change();
    assert!(world.time_until_in_force(BOUND).is_some());
}

/// While the store is down for all, its calls must not grow with the nodes of a data centre.
#[test]
fn calls_during_an_outage_grow_with_data_centres_and_not_with_nodes() {
    for treatment in [Treatment::Refuse, Treatment::Silence] {
        for (data_centres, nodes_each) in [(1, 2), (1, 4), (1, 16), (1, 94), (3, 16)] {
            let mut world = World::start(data_centres, nodes_each, 1);
            world.treat_all(treatment);
            world.run(10 * SECOND);
            let Calls {
                reads,
                watches,
                probes,
            } = world.run(60 * SECOND);
            let each = |calls: usize| calls as f64 / data_centres as f64 / 60.0;
            let name = format!("{treatment:?}, {nodes_each} nodes each");
            assert!(
                each(reads + watches) <= 4.0,
                "{name}: {reads} and {watches}"
            );
            assert!(each(probes) <= 15.0, "{name}: {probes} probes");
        }
    }
}

/// A store that is slow for all must not turn all nodes into watchers.
#[test]
fn a_slow_store_is_watched_by_two_nodes() {
    let mut world = World::start(1, 16, 1);
    world.treat_all(Treatment::Serve(300, 700));
    for _ in 0..600 {
        world.run(SECOND / 10);
        assert_eq!(world.watchers().len(), 2);
    }
    world.change();
    assert!(world.time_until_in_force(BOUND).is_some());
}

/// A store that takes longer than the silence that counts as a refusal still brings a change. Its
/// nodes are not in touch with it, so the bound of others does not hold.
#[test]
fn a_very_slow_store_brings_a_change() {
    let mut world = World::start(1, 4, 1);
    world.treat_all(Treatment::Serve(1_200, 1_500));
    world.run(10 * SECOND);
    world.change();
    let time = world.time_until_in_force(10 * SECOND);
    assert!(time.is_some());
    world.treat_all(SERVE);
    world.run(20 * SECOND);
    assert_eq!(world.watchers().len(), 2);
}

/// A node that the store serves by turns must not take the watch over and over.
#[test]
fn a_node_that_is_served_by_turns_seldom_takes_over_the_watch() {
    let mut world = World::start(1, 4, 1);
    let watcher = world.watchers()[0];
    let mut reads = 0;
    for turn in 0..120 {
        let treatment = match turn % 2 {
            0 => Treatment::Refuse,
            _ => SERVE,
        };
        world.treat(watcher, treatment);
        reads += world.run(SECOND).reads;
    }
    assert!(reads <= 40, "{reads} reads in 120 s");
}

/// After refusals the two lowest-ranked nodes watch again, and nobody else calls the store.
#[test]
fn the_first_nodes_watch_again_once_they_are_served() {
    let mut world = World::start(1, 16, 1);
    let before = world.watchers();
    for node in &before {
        world.treat(*node, Treatment::Refuse);
    }
    world.run(10 * SECOND);
    assert!(world.watchers().iter().all(|node| !before.contains(node)));
    assert_eq!(world.watchers().len(), 2);
    world.treat_all(SERVE);
    world.run(60 * SECOND);
    assert_eq!(world.watchers(), before);
    let calls = world.run(60 * SECOND);
    assert_eq!(calls.reads, 0, "{calls:?}");
}
