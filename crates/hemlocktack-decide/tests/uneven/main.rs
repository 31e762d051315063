//! Placement among upstreams of uneven speed under uneven demand, in virtual time, compared with
//! placement without load reports and with a choice that has complete knowledge.

#[path = "../support/mod.rs"]
mod support;
mod upstream;
mod world;

use std::f64::consts::TAU;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use upstream::Machine;
use world::{Choice, Load, MEAN_WORK_SECS, Outcome, play};

const DATA_CENTRES: usize = 4;
const PER_DATA_CENTRE: usize = 4;
const SLOTS: u32 = 16;
const SECS: f64 = 12.0;
const ANSWER_BYTES: u64 = 400;
const LARGE_ANSWER_BYTES: u64 = 64 << 10;
const SEEDS: [u64; 2] = [11, 12];

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

fn out_of_phase(data_centre: usize, mean: f64, at_secs: f64) -> f64 {
    let phase = at_secs / 6.0 + data_centre as f64 / DATA_CENTRES as f64;
    mean * (1.0 + 0.55 * (TAU * phase).sin())
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
        seed: SEEDS[0],
    }
}

/// Returns the mean outcomes over all seeds, as placed before reports were read, as placed now, and
/// with complete knowledge.
fn compare(name: &str, load: &Load) -> [Outcome; 3] {
    [
        Choice::WithoutReports,
        Choice::WithReports,
        Choice::CompleteKnowledge,
    ]
    .map(|choice| {
        let outcome = mean(SEEDS.map(|seed| play(&Load { seed, ..load.clone() }, choice)));
        println!(
            "{name} | {choice:?} | p99 {:.1} ms | in time {:.4} | {:.1} MB between data centres | {} refused",
            outcome.p99_ms, outcome.in_time, outcome.remote_mb, outcome.refused
        );
        outcome
    })
}

fn mean(outcomes: [Outcome; SEEDS.len()]) -> Outcome {
    let mean = |value: fn(&Outcome) -> f64| {
        outcomes.iter().map(value).sum::<f64>() / outcomes.len() as f64
    };
    Outcome {
        p99_ms: mean(|outcome| outcome.p99_ms),
        in_time: mean(|outcome| outcome.in_time),
        remote_mb: mean(|outcome| outcome.remote_mb),
        refused: mean(|outcome| outcome.refused),
    }
}

/// Machines of unlike speed are told apart by the times that they take. At 1.1 of the capacity a
/// tenth cannot be served, and no more than that is to be refused.
#[test]
fn upstreams_of_unlike_speed_are_used_as_well_as_before() {
    for share in [0.7, 0.9, 1.1] {
        let load = load(usual_machines([0.55, 1.2, 1.2, 1.2]), share);
        let [before, now, _] = compare(&format!("speeds at {share}"), &load);
        assert!(now.in_time >= before.in_time - 0.001);
        assert!(now.refused <= before.refused * 1.02);
    }
}

/// Other work makes machines 2.5 times as slow for 0.6 s. By mean times alone, calls go to a slow
/// machine until its mean has risen, and queue there.
#[test]
fn bursts_of_other_work_cost_less_with_reports() {
    for share in [0.7, 0.8] {
        let mut machines = usual_machines([1.0; 4]);
        add_bursts(&mut machines);
        let [before, now, _] = compare(&format!("bursts at {share}"), &load(machines, share));
        assert!(now.in_time > before.in_time);
        assert!(now.p99_ms < before.p99_ms);
        assert!(now.refused <= before.refused);
    }
}

/// Some upstreams slow down by less than a third when they are nearly full. The reports say so
/// only while that is the case, and must not make the choice swing.
#[test]
fn upstreams_that_slow_down_nearly_full_are_used_as_well_as_before() {
    for share in [0.8, 0.9] {
        let mut machines = usual_machines([1.0; 4]);
        for machine in machines.iter_mut().step_by(2) {
            machine.slows_down_nearly_full = true;
        }
        let name = format!("nearly full at {share}");
        let [before, now, _] = compare(&name, &load(machines, share));
        assert!(now.in_time >= before.in_time - 0.001);
        assert!(now.p99_ms < before.p99_ms * 1.03);
    }
}

/// The demand of four data centres swings by 0.55, out of phase. At its peak a data centre has more
/// calls than slots: they used to queue locally, and were refused there, beside free slots in the
/// others. Before its peak its large answers were fetched from other data centres although local
/// slots were free.
#[test]
fn peaks_spill_over_before_they_queue_and_large_answers_stay_near() {
    for share in [0.7, 0.8, 0.9] {
        let mut load = load(usual_machines([0.55, 1.2, 1.2, 1.2]), share);
        load.rate = out_of_phase;
        load.answer_bytes = LARGE_ANSWER_BYTES;
        let name = format!("out of phase at {share}, large answers");
        let [before, now, _] = compare(&name, &load);
        assert!(now.in_time > before.in_time);
        assert!(now.p99_ms < before.p99_ms);
        assert!(now.remote_mb < before.remote_mb * 0.9);
        assert_eq!(now.refused, 0.0);
        load.answer_bytes = ANSWER_BYTES;
        let name = format!("out of phase at {share}, small answers");
        let [before, now, _] = compare(&name, &load);
        assert!(now.in_time >= before.in_time - 0.001);
        assert_eq!(now.refused, 0.0);
    }
}
