//! Randomised runs with fixed seeds, and mutation tests that check that the runs detect each
//! disabled safeguard. Longer runs: `cargo run --release -p hemlocktack-fleet --example randomised
//! -- --seed 1 --seeds 10000`.

#![allow(clippy::unwrap_used, dead_code)]

#[path = "../examples/randomised/world/mod.rs"]
mod world;

use strum::IntoEnumIterator;

use crate::world::{Safeguard, Safeguards, run};

const STEPS: u64 = 3000;

#[test]
fn guarantees_hold_on_fixed_seeds() {
    for seed in 1..=40 {
        let outcome = run(seed, STEPS, Safeguards::default(), false);
        assert_eq!(outcome.violation, None, "seed {seed}");
    }
}

// Guards against runs that pass because the interesting events never happen in them.
#[test]
fn runs_exercise_the_interesting_events() {
    let mut counts = world::Counts::default();
    for seed in 1..=10 {
        counts.add(&run(seed, STEPS, Safeguards::default(), false).counts);
    }
    let reached = [
        ("delegations", counts.delegations),
        ("joins", counts.joins),
        ("resolutions", counts.resolutions),
        ("handovers", counts.handovers),
        ("starts by a successor", counts.adopted_starts),
        ("child calls", counts.children),
    ];
    for (name, count) in reached {
        assert!(count >= 10, "{name}: {count}");
    }
}

// Without any one of the safeguards, some run violates a guarantee and reports it.
#[test]
fn every_disabled_safeguard_is_detected() {
    for safeguard in Safeguard::iter() {
        let safeguards = Safeguards {
            without: Some(safeguard),
        };
        let mut runs = (1..=160).map(|seed| run(seed, STEPS, safeguards, false));
        assert!(
            runs.any(|outcome| outcome.violation.is_some()),
            "{safeguard}"
        );
    }
}
