//! Randomised fault-injection runs of membership, configuration and drain in virtual time.
//!
//! `cargo run --release -p hemlocktack-fleet --example fleet_runs -- --seed 1
//! --steps 60 --seeds 1000 [--without SAFEGUARD]`

mod actions;
mod checks;
mod exchanges;
mod faults;
mod network;
mod node;
mod platform;
mod run;
mod safeguards;
mod steps;
mod world;

use std::process::ExitCode;
use std::time::Duration;

use getopts::{Matches, Options};

use run::{Run, Violation, run};

const DEFAULT_STEPS: u64 = 60;

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "seed", "first seed (1)", "N");
    options.optopt("", "steps", "faults injected in each run (60)", "M");
    options.optopt(
        "",
        "seeds",
        "number of runs, with consecutive seeds (1)",
        "COUNT",
    );
    options.optopt("", "without", "disable one safeguard", "SAFEGUARD");
    options.optflag("", "list", "print the names of the safeguards");
    options
}

fn parse_number(matches: &Matches, name: &str, default: u64) -> Result<u64, String> {
    let parsed = matches.opt_get_default(name, default);
    parsed.map_err(|error| format!("--{name}: {error}"))
}

fn report(seed: u64, violation: &Violation) {
    for line in &violation.trace {
        println!("{line}");
    }
    println!("seed {seed} step {}: {}", violation.step, violation.rule);
}

fn run_all() -> Result<bool, String> {
    let arguments = std::env::args().skip(1);
    let matches = options()
        .parse(arguments)
        .map_err(|error| error.to_string())?;
    if matches.opt_present("list") {
        safeguards::names()
            .iter()
            .for_each(|name| println!("{name}"));
        return Ok(true);
    }
    let without = matches.opt_str("without");
    let settings = safeguards::settings(without.as_deref())?;
    let first = parse_number(&matches, "seed", 1)?;
    let steps = parse_number(&matches, "steps", DEFAULT_STEPS)?;
    let seeds = parse_number(&matches, "seeds", 1)?;
    let (mut virtual_time, mut bytes_per_node_second) = (Duration::ZERO, 0.0f64);
    let (mut observations, mut false_suspicions) = (0, 0);
    for seed in first..first + seeds {
        let run: Run = run(settings.clone(), seed, steps);
        if let Some(violation) = &run.violation {
            report(seed, violation);
            return Ok(false);
        }
        let node_seconds = run.nodes as f64 * run.virtual_time.as_secs_f64();
        virtual_time += run.virtual_time;
        observations += run.observations;
        false_suspicions += run.false_suspicions;
        bytes_per_node_second = bytes_per_node_second.max(run.bytes_sent as f64 / node_seconds);
    }
    let suspected_per_million = false_suspicions as f64 * 1e6 / (observations as f64).max(1.0);
    println!(
        "{seeds} seeds of {steps} steps without a violation; {} virtual hours; highest mean sent per node in a run: {bytes_per_node_second:.0} bytes/s; healthy nodes suspected in {suspected_per_million:.0} of a million observations",
        virtual_time.as_secs() / 3600,
    );
    Ok(true)
}

fn main() -> ExitCode {
    match run_all() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error}\n{}", options().usage("fleet_runs"));
            ExitCode::FAILURE
        }
    }
}
