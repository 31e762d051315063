//! The proof of freshness in virtual time: nodes whose clocks differ, that are cut off, frozen,
//! suspended or restarted, while operators take keys away.
//!
//! `FRESHNESS_SEEDS=10000` runs that many seeds.

#![allow(clippy::unwrap_used)]

#[path = "../support/mod.rs"]
mod support;
mod world;

use std::time::Duration;

use hemlocktack_fleet::freshness::{FreshnessProof, FreshnessSafeguard, FreshnessSettings};
use hemlocktack_protocol::BootTime;
use strum::IntoEnumIterator;
use world::{Trouble, World};

/// Seeds of each test unless `FRESHNESS_SEEDS` sets another number.
const SEEDS: u64 = 100;
/// Seeds within which each missing safeguard has to show.
const MUTATION_SEEDS: u64 = 60;

fn seeds() -> u64 {
    support::seeds("FRESHNESS_SEEDS", SEEDS)
}

/// Guards against requests that run with a key long after operators have taken it away.
#[test]
fn no_key_is_admitted_after_the_bound() {
    for seed in 0..seeds() {
        let mut world = World::new(seed, 12, Trouble::All, None);
        world.run();
        assert_eq!(world.first_late_admission(), None, "seed {seed}");
    }
}

/// Guards against refusals during a short outage of the store, which all nodes outlast with the
/// proofs that they have.
#[test]
fn an_outage_of_four_seconds_refuses_nobody() {
    for nodes in [12, 71, 560] {
        // A seed of the largest fleet takes some seconds.
        let seeds = if nodes > 100 { seeds() / 100 } else { 3 };
        for seed in 0..seeds {
            let mut world = World::new(seed, nodes, Trouble::StoreOutage, None);
            world.run();
            let (asked, refused) = world.requests_without_proof();
            println!(
                "{nodes} nodes: {refused} of {asked} refused, {}",
                world.cost()
            );
            assert_eq!(refused, 0, "{nodes} nodes, seed {seed}");
        }
    }
}

/// Shows why few nodes ask the store: the calls of all would grow with the fleet.
#[test]
fn a_store_that_every_node_asks_gets_many_times_the_calls() {
    let calls_per_s = |nodes_per_source: usize| {
        let mut world = World::new(1, 71, Trouble::None, None);
        world.ask_with(FreshnessSettings {
            nodes_per_source,
            ..FreshnessSettings::default()
        });
        world.run();
        println!("one source for {nodes_per_source}: {}", world.cost());
        world.store_calls_per_s()
    };
    let of_sources = calls_per_s(FreshnessSettings::default().nodes_per_source);
    assert!(calls_per_s(1) > 10.0 * of_sources);
}

/// Guards against a world that is too tame: without any one of the safeguards, some seed admits a
/// key too late.
#[test]
fn each_safeguard_is_needed() {
    let mut not_needed = Vec::new();
    for safeguard in FreshnessSafeguard::iter() {
        let breaks = |seed: &u64| {
            let mut world = World::new(*seed, 12, Trouble::All, Some(safeguard));
            world.run();
            world.first_late_admission().is_some()
        };
        let found = (0..MUTATION_SEEDS).find(breaks);
        println!("without {safeguard}: first seed {found:?}");
        if found.is_none() {
            not_needed.push(safeguard);
        }
    }
    assert!(not_needed.is_empty(), "{not_needed:?}");
}

/// Guards against a proof that seems younger than it is after it has passed through other nodes.
#[test]
fn a_report_adds_the_age_of_each_hop() {
    let at = |ms: u64| BootTime::from_micros(ms * 1_000);
    let of_the_source = FreshnessProof {
        generation: 7,
        proven_at: at(1_000),
        recorded_nodes: 3,
        is_recorded: true,
    };
    let report = of_the_source.report(true, at(1_300));
    // The other node's clock shows a different time; it asked 40 ms before the answer came.
    let passed_on = FreshnessProof::from_report(&report, at(90_000));
    assert_eq!(passed_on.age(at(90_040)), Duration::from_millis(340));
}
