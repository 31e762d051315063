//! Randomised runs of membership, configuration and drain with fixed seeds. Longer runs: `cargo run
//! --release -p hemlocktack-fleet --example fleet_runs -- --seeds 10000`.

#![allow(clippy::unwrap_used, dead_code)]

#[path = "../examples/fleet_runs/actions.rs"]
mod actions;
#[path = "../examples/fleet_runs/checks.rs"]
mod checks;
#[path = "../examples/fleet_runs/exchanges.rs"]
mod exchanges;
#[path = "../examples/fleet_runs/faults.rs"]
mod faults;
#[path = "../examples/fleet_runs/network.rs"]
mod network;
#[path = "../examples/fleet_runs/node.rs"]
mod node;
#[path = "../examples/fleet_runs/platform.rs"]
mod platform;
#[path = "../examples/fleet_runs/run.rs"]
mod run;
#[path = "../examples/fleet_runs/safeguards.rs"]
mod safeguards;
#[path = "../examples/fleet_runs/steps.rs"]
mod steps;
#[path = "../examples/fleet_runs/world.rs"]
mod world;

const STEPS: u64 = 60;

/// Seeds that failed once, with the fault that each of them found.
const FAILED_SEEDS: [(u64, &str); 9] = [
    (
        1,
        "two nodes sent each other corrections in an endless loop",
    ),
    (50, "a resumed node sent calls to an upstream that had left"),
    (
        197,
        "a resumed node tried to read the table from members that were gone",
    ),
    (
        272,
        "the check applied a guarantee of ready nodes to a starting node",
    ),
    (420, "no node was available to report that another had left"),
    (
        594,
        "after a network partition dead members were retried too seldom",
    ),
    (
        1034,
        "after a network partition a node waited too long for its retry",
    ),
    (1372, "a joining node considered a suspected member healthy"),
    (
        5755,
        "no node found a new incarnation at the address of a node that had left",
    ),
];

#[test]
fn seeds_that_failed_once_hold() {
    for (seed, found) in FAILED_SEEDS {
        let run = run::run(world::Settings::default(), seed, STEPS);
        let violated = run.violation.map(|violation| violation.rule);
        assert_eq!(violated, None, "seed {seed}: {found}");
    }
}

/// Guards against runs that cannot fail: without any one of these safeguards, some run must report
/// a violation. The safeguards that are not listed need more runs to be detected, see
/// docs/MEASUREMENTS-fleet-runs.md; `tombstones` has its own test in the membership tests.
#[test]
fn disabled_safeguards_are_detected() {
    const SEEDS: u64 = 40;
    let detected = [
        "refutation",
        "dead-retry",
        "anti-entropy",
        "urgent-news",
        "start-order",
        "higher-only",
        "catch-up",
        "watchers",
        "peer-pull",
        "fail-static",
        "wait-for-calls",
        "late-renewal",
    ];
    for name in detected {
        let settings = safeguards::settings(Some(name)).unwrap();
        let is_violated = |seed| run::run(settings.clone(), seed, STEPS).violation.is_some();
        assert!((1..=SEEDS).any(is_violated), "{name}");
    }
}

/// One node is killed, then an upstream drains, and no datagram is lost. Urgent updates used to be
/// sent to the first members of the table. Two nodes of another data centre were never among them
/// and probed only each other, so that one still sent calls to the drained upstream 3 s later.
/// Those calls are refused by the draining node.
#[test]
fn a_drain_reaches_every_view_without_loss() {
    const SEED: u64 = 7623;
    let run = run::run(world::Settings::default(), SEED, STEPS);
    let violated = run.violation.map(|violation| violation.rule);
    assert_eq!(violated, None);
}

/// A node restarts between network partitions while two others leave, and reads the table from a
/// node that does not know of it yet. Seconds after the last fault it still sends calls to one that
/// has left; nobody answers them, and they are sent to other nodes.
#[test]
fn a_node_started_between_partitions_learns_who_left() {
    const SEEDS: [u64; 2] = [2505, 8708];
    let violation = |seed| run::run(world::Settings::default(), seed, STEPS).violation;
    let violations: Vec<_> = SEEDS.into_iter().filter_map(violation).collect();
    assert!(
        violations.is_empty(),
        "{} of {}",
        violations.len(),
        SEEDS.len()
    );
}
