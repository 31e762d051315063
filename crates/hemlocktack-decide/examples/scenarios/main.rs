//! Runs the overload scenarios in virtual time and prints a table: `cargo run --release -p
//! hemlocktack-decide --example scenarios`.

mod driver;
mod plot;
mod report;
mod settings;

use std::process::ExitCode;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use driver::{Deployment, Policy, Scenario, bhadralok, pases_dorados, quickstart, run};
use report::Row;
use settings::{Output, Settings};

/// The smallest deployment runs only the scenario without pressure.
const SMALLEST: &str = "quickstart";
const NO_LOAD: &str = "quiet";
/// Concurrent runs; leaves the other cores of a shared machine free.
const WORKERS: usize = 2;

fn main() -> ExitCode {
    let settings = match settings::parse(std::env::args().skip(1)) {
        Ok(Some(settings)) => settings,
        Ok(None) => {
            print!("{}", settings::usage());
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("scenarios: {error}\n\n{}", settings::usage());
            return ExitCode::from(2);
        }
    };
    let deployments = [bhadralok(), pases_dorados(), quickstart()];
    let rows = run_all(&deployments, &settings);
    match settings.output {
        Output::Text => print!("{}", report::text(&rows)),
        Output::Json => println!("{}", report::json(&rows)),
    }
    let Some(path) = &settings.plot else {
        return ExitCode::SUCCESS;
    };
    match plot::write(path, &rows) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("scenarios: cannot write {}: {error}", path.display());
            ExitCode::FAILURE
        }
    }
}

struct Job<'a> {
    deployment: &'a Deployment,
    scenario: &'a Scenario,
    policy: Policy,
}

fn run_all(deployments: &[Deployment], settings: &Settings) -> Vec<Row> {
    let mut jobs = Vec::new();
    for scenario in &settings.scenarios {
        for deployment in deployments {
            if deployment.name == SMALLEST && scenario.name != NO_LOAD {
                continue;
            }
            for &policy in &settings.policies {
                jobs.push(Job {
                    deployment,
                    scenario,
                    policy,
                });
            }
        }
    }
    let rows = Mutex::new(Vec::new());
    let next = AtomicUsize::new(0);
    let work = || {
        while let Some(job) = jobs.get(next.fetch_add(1, Ordering::Relaxed)) {
            let outcomes = run(job.deployment, job.scenario, job.policy, settings.seed);
            let row = Row::new(job.deployment, job.scenario, job.policy, outcomes);
            rows.lock().expect("no worker panics").push(row);
        }
    };
    std::thread::scope(|scope| {
        for _ in 0..WORKERS {
            scope.spawn(work);
        }
    });
    let mut rows = rows.into_inner().expect("no worker panics");
    rows.sort_by_key(|row| {
        jobs.iter().position(|job| {
            job.scenario.name == row.scenario
                && job.deployment.name == row.deployment
                && job.policy.to_string() == row.policy
        })
    });
    rows
}
