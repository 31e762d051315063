//! Placement among upstreams of uneven speed under uneven demand, in virtual time, compared with
//! placement without load reports and with a choice that has complete knowledge.

#[path = "../support/mod.rs"]
mod support;
mod upstream;
mod world;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use upstream::Machine;
use world::{Choice, Load, MEAN_WORK_SECS, Outcome, play};

const DATA_CENTRES: usize = 4;
const PER_DATA_CENTRE: usize = 4;
const SLOTS: u32 = 16;
const SECS: f64 = 12.0;
const ANSWER_BYTES: u64 = 4_000;

fn usual_machines(speeds: [f64; PER_DATA_CENTRE]) -> Vec<Machine> {
    let machine = |index: usize| Machine {
        data_centre: index / PER_DATA_CENTRE,
        slots: SLOTS,
        speed: speeds[index % PER_DATA_CENTRE],
        bursts: Vec::new(),
        slows_down_nearly_full: false,
    };
    (0..DATA_CENTRES * PER_DATA_CENTRE).map(machine).collect()
}

/// Adds periods of 0.6 s in which other work runs on a machine, for 0.15 of the time.
fn add_bursts(machines: &mut [Machine]) {
    let mut rng = SmallRng::seed_from_u64(5);
    for machine in machines {
        let mut at = rng.random_range(0.0..4.0);
        while at < SECS {
            machine.bursts.push((at, at + 0.6));
            at += 0.6 + rng.random_range(2.4..4.4);
        }
    }
}

fn steady(_data_centre: usize, mean: f64, _at_secs: f64) -> f64 {
    mean
}

fn load(machines: Vec<Machine>, share_of_capacity: f64) -> Load {
    let speed: f64 = machines
        .iter()
        .map(|machine| f64::from(machine.slots) * machine.speed)
        .sum();
    Load {
        mean_rate: share_of_capacity * speed / MEAN_WORK_SECS / DATA_CENTRES as f64,
        machines,
        data_centres: DATA_CENTRES,
        secs: SECS,
        rate: steady,
        answer_bytes: ANSWER_BYTES,
    }
}

/// Returns the outcomes without reports, with reports and with complete knowledge.
fn compare(name: &str, load: &Load) -> [Outcome; 3] {
    [
        Choice::WithoutReports,
        Choice::WithReports,
        Choice::CompleteKnowledge,
    ]
    .map(|choice| {
        let outcome = play(load, choice);
        println!(
            "{name} | {choice:?} | p99 {:.0} ms | in time {:.4} | {:.1} MB between data centres | {} refused",
            outcome.p99_ms, outcome.in_time, outcome.remote_mb, outcome.refused
        );
        outcome
    })
}

/// Machines of unlike speed are told apart by the times that they take, so reports without any
/// slowness must change nothing.
#[test]
fn upstreams_of_unlike_speed_are_used_as_without_reports() {
    for share in [0.7, 0.9, 1.1] {
        let load = load(usual_machines([0.55, 1.2, 1.2, 1.2]), share);
        let [without, with, _] = compare(&format!("speeds at {share}"), &load);
        assert_eq!(without, with);
    }
}

/// Other work makes machines 2.5 times as slow for 0.6 s. By mean times alone, calls go to a slow
/// machine until its mean has risen, and queue there.
#[test]
fn bursts_of_other_work_cost_less_with_reports() {
    for share in [0.7, 0.8] {
        let mut machines = usual_machines([1.0; 4]);
        add_bursts(&mut machines);
        let [without, with, _] = compare(&format!("bursts at {share}"), &load(machines, share));
        assert!(with.in_time > without.in_time);
        assert!(with.p99_ms < without.p99_ms);
        assert!(with.refused <= without.refused);
    }
}

/// Some upstreams slow down by less than a third when they are nearly full. The reports say so
/// only while that is the case, and must not make the choice swing.
#[test]
fn upstreams_that_slow_down_nearly_full_are_not_used_worse_with_reports() {
    for share in [0.8, 0.9] {
        let mut machines = usual_machines([1.0; 4]);
        for machine in machines.iter_mut().step_by(2) {
            machine.slows_down_nearly_full = true;
        }
        let [without, with, _] =
            compare(&format!("nearly full at {share}"), &load(machines, share));
        assert!(with.in_time > without.in_time - 0.002);
        assert!(with.p99_ms < without.p99_ms * 1.03);
    }
}
