//! Randomised fault-injection runs of several nodes' state machines, whose guarantees are checked.
//!
//! `--seed N --steps M [--seeds COUNT] [--without SAFEGUARD] [--mutations]`. A
//! violated guarantee is printed with its seed, step and trace, and the exit status is 1.

mod world;

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::ExitCode;

use getopts::Options;
use strum::IntoEnumIterator;

use crate::world::{Counts, Outcome, Safeguard, Safeguards, run};

const DEFAULT_STEPS: u64 = 3000;
const MUTATION_SEED_LIMIT: u64 = 2000;
const TRACE_SHOWN_LINES: usize = 120;

fn main() -> ExitCode {
    let mut options = Options::new();
    options.optopt("", "seed", "first seed", "N");
    options.optopt("", "steps", "events per seed", "M");
    options.optopt("", "seeds", "number of seeds", "COUNT");
    options.optopt("", "without", "safeguard to disable", "SAFEGUARD");
    options.optflag("", "mutations", "disable each safeguard in turn");
    let Ok(matches) = options.parse(std::env::args().skip(1)) else {
        eprintln!("{}", options.usage("randomised [options]"));
        return ExitCode::from(2);
    };
    let (Ok(seed), Ok(steps), Ok(seeds), Ok(without)) = (
        matches.opt_get_default("seed", 1),
        matches.opt_get_default("steps", DEFAULT_STEPS),
        matches.opt_get_default("seeds", 1),
        matches.opt_get::<Safeguard>("without"),
    ) else {
        eprintln!("{}", options.usage("randomised [options]"));
        return ExitCode::from(2);
    };
    if matches.opt_present("mutations") {
        return mutations(seed, steps);
    }
    let safeguards = Safeguards { without };
    match search(seed, seeds, steps, safeguards) {
        Some(found) => {
            print_violation(found, steps, safeguards);
            ExitCode::FAILURE
        }
        None => ExitCode::SUCCESS,
    }
}

fn search(first: u64, count: u64, steps: u64, safeguards: Safeguards) -> Option<u64> {
    let mut total = Counts::default();
    let mut total_steps = 0;
    for seed in first..first + count {
        let Ok(outcome) = run_caught(seed, steps, safeguards, false) else {
            return Some(seed);
        };
        if outcome.violation.is_some() {
            return Some(seed);
        }
        total.add(&outcome.counts);
        total_steps += outcome.steps;
    }
    println!("{count} seeds from {first}, {total_steps} steps, no guarantee violated");
    println!("{total:?}");
    None
}

// A failed assertion inside the state machines counts as a violation.
fn run_caught(
    seed: u64,
    steps: u64,
    safeguards: Safeguards,
    tracing: bool,
) -> std::thread::Result<Outcome> {
    catch_unwind(AssertUnwindSafe(|| run(seed, steps, safeguards, tracing)))
}

fn print_violation(seed: u64, steps: u64, safeguards: Safeguards) {
    let Ok(outcome) = run_caught(seed, steps, safeguards, true) else {
        println!("seed {seed}: an assertion inside a state machine failed, see above");
        return;
    };
    let shown_from = outcome.trace.len().saturating_sub(TRACE_SHOWN_LINES);
    for line in &outcome.trace[shown_from..] {
        println!("{line}");
    }
    let violation = outcome.violation.unwrap_or_default();
    println!("seed {seed}, step {}: {violation}", outcome.steps);
}

fn mutations(first: u64, steps: u64) -> ExitCode {
    println!("| disabled safeguard | seeds until detected | violation |");
    println!("|---|---|---|");
    std::panic::set_hook(Box::new(|_| {}));
    for safeguard in Safeguard::iter() {
        let safeguards = Safeguards {
            without: Some(safeguard),
        };
        let found = (first..first + MUTATION_SEED_LIMIT).find_map(|seed| {
            let violation = match run_caught(seed, steps, safeguards, false) {
                Ok(outcome) => outcome.violation?,
                Err(_) => "failed assertion inside a state machine".to_owned(),
            };
            Some((seed - first + 1, violation))
        });
        match found {
            Some((count, violation)) => println!("| {safeguard} | {count} | {violation} |"),
            None => println!("| {safeguard} | not within {MUTATION_SEED_LIMIT} | |"),
        }
    }
    ExitCode::SUCCESS
}
