//! Rate limits and departures that an upstream names in its answers.
#![allow(clippy::unwrap_used)]

mod admission;
mod placement;
#[path = "../support/mod.rs"]
mod support;
mod world;

use hemlocktack_decide::NoticeSafeguard;
use strum::IntoEnumIterator;

use crate::world::{Broken, World};

const SEEDS: u64 = 150;

/// Failure: some order of namings, restarts, cuts, late answers and calls lets more calls through
/// than the upstream has named, or loses a departure.
#[test]
fn no_sequence_of_events_breaks_a_limit_or_a_departure() {
    for seed in 0..SEEDS {
        let broken = World::new(seed, None).run();
        assert!(broken.is_empty(), "seed {seed}: {broken:?}");
    }
}

/// Without any one of the safeguards, the runs above break.
#[test]
fn each_safeguard_is_needed() {
    for safeguard in NoticeSafeguard::iter() {
        let mut runs = (0..SEEDS).map(|seed| World::new(seed, Some(safeguard)).run());
        let is_noticed = runs.any(|broken: Vec<Broken>| !broken.is_empty());
        assert!(is_noticed, "{safeguard:?}");
    }
}
