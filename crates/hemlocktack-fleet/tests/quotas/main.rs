//! Quotas over a fleet in virtual time: nodes that are cut off, frozen, killed, joined and stopped
//! while requests of several accounts enter everywhere.
//!
//! `QUOTA_SEEDS=10000` runs that many seeds.

#![allow(clippy::unwrap_used)]

mod reports;
mod small_accounts;
mod steps;
#[path = "../support/mod.rs"]
mod support;
mod troubles;
mod world;

use std::time::Duration;

use hemlocktack_fleet::quotas::{QuotaSafeguard, QuotaSettings};
use strum::IntoEnumIterator;
use world::{Bound, Trouble, World};

/// Seeds of each test unless `QUOTA_SEEDS` sets another number.
const SEEDS: u64 = 20;
/// Seeds within which each missing safeguard has to show.
const MUTATION_SEEDS: u64 = 10;

const TROUBLES: [Trouble; 4] = [
    Trouble::Overload,
    Trouble::Growth,
    Trouble::SlowLinks,
    Trouble::All,
];

fn seeds() -> u64 {
    support::seeds("QUOTA_SEEDS", SEEDS)
}

/// Guards against more requests of an account than its quota in any window, whatever the nodes can
/// reach.
#[test]
fn no_window_exceeds_the_quota() {
    for seed in 0..seeds() {
        for trouble in TROUBLES {
            let mut world = World::new(seed, 12, QuotaSettings::default(), trouble);
            world.run();
            assert_eq!(
                world.first_excess(Bound::Stated),
                None,
                "{trouble:?} {seed}"
            );
            assert_eq!(
                world.first_excess(Bound::Design),
                None,
                "{trouble:?} {seed}"
            );
        }
    }
}

/// Guards against refusals of requests within the quota: an account whose clients sit at few nodes
/// needs the shares of all of them.
#[test]
fn requests_within_the_quota_are_served_in_calm() {
    let mut within = 0;
    let mut served = 0;
    for seed in 0..20 {
        let mut world = World::new(seed, 12, QuotaSettings::default(), Trouble::None);
        world.run();
        within += world.within_quota_count();
        served += world.served_within_quota_count();
    }
    let share = served as f64 / within as f64;
    println!("served within the quota in calm: {share:.4} of {within}");
    assert!(share >= 0.99, "{share}");
}

/// Shows why shares are lent: with an equal share for each node, an account whose clients sit at few
/// nodes is refused most of what its quota allows.
#[test]
fn shares_that_are_not_lent_refuse_requests_within_the_quota() {
    let settings = QuotaSettings {
        lease: Duration::ZERO,
        ..QuotaSettings::default()
    };
    let mut world = World::new(1, 12, settings, Trouble::None);
    world.run();
    let share = world.served_within_quota_count() as f64 / world.within_quota_count() as f64;
    println!("served within the quota with equal shares: {share:.4}");
    assert!(share < 0.9, "{share}");
}

/// Guards against tokens that lapse unused while requests are refused.
#[test]
fn an_account_over_its_quota_gets_all_of_it() {
    let mut world = World::new(1, 12, QuotaSettings::default(), Trouble::Overload);
    world.run();
    let used = world.used_parts();
    println!("used of the rate in overload: {used:?}");
    assert!(used.iter().all(|used| *used >= 0.95), "{used:?}");
}

/// Guards against a world that is too tame: without any one of the safeguards, some seed exceeds a
/// quota. The date of a lease has a test of its own.
#[test]
fn each_safeguard_is_needed() {
    let mut not_needed = Vec::new();
    let in_the_world = |safeguard: &QuotaSafeguard| *safeguard != QuotaSafeguard::LeaseDatedByGrant;
    for safeguard in QuotaSafeguard::iter().filter(in_the_world) {
        let settings = QuotaSettings {
            disabled_safeguard: Some(safeguard),
            ..QuotaSettings::default()
        };
        let breaks = |seed: &u64| {
            TROUBLES.into_iter().find(|trouble| {
                let mut world = World::new(*seed, 12, settings, *trouble);
                world.run();
                world.first_excess(Bound::Design).is_some()
            })
        };
        let found = (0..MUTATION_SEEDS).find_map(|seed| Some((seed, breaks(&seed)?)));
        println!("without {safeguard}: {found:?}");
        if found.is_none() {
            not_needed.push(safeguard);
        }
    }
    assert!(not_needed.is_empty(), "{not_needed:?}");
}
