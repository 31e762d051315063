//! Measures the cost of the control plane per node at several fleet sizes.
//!
//! `cargo build --release -p hemlocktack-node && cargo run --release
//! -p hemlocktack-node --example control_cost -- --nodes 8,16,32,64 --seconds 20`

mod cost;
mod fleet;
mod sample;

use std::process::ExitCode;
use std::time::{Duration, Instant};

use getopts::Options;

use cost::{Cost, cost, line};
use fleet::{Fleet, Result};

const CONFIGURATION: &str = include_str!("../quickstart/quickstart.toml");
/// Fleet size to which the fitted lines are extrapolated.
const TARGET_NODES: f64 = 560.0;
const CHANGES: u32 = 10;
const RESTARTS: usize = 4;

struct Arguments {
    sizes: Vec<usize>,
    phase: Duration,
    /// Pause after the start, within which gossip about the start itself has ended.
    settling: Duration,
}

fn arguments() -> Result<Arguments> {
    let mut options = Options::new();
    options.optopt("", "nodes", "fleet sizes (8,16,32,64)", "LIST");
    options.optopt("", "seconds", "duration of a phase (20)", "S");
    options.optopt("", "settling", "pause after the start (60)", "S");
    let matches = options.parse(std::env::args().skip(1))?;
    let sizes = matches.opt_str("nodes");
    let sizes = sizes.unwrap_or_else(|| "8,16,32,64".to_owned());
    let seconds = matches.opt_get_default("seconds", 20)?;
    Ok(Arguments {
        sizes: sizes
            .split(',')
            .map(str::parse)
            .collect::<std::result::Result<_, _>>()?,
        phase: Duration::from_secs(seconds),
        settling: Duration::from_secs(matches.opt_get_default("settling", 60)?),
    })
}

#[tokio::main]
async fn main() -> ExitCode {
    match run().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("control_cost: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> Result<()> {
    let arguments = arguments()?;
    let mut costs = Vec::new();
    for &size in &arguments.sizes {
        let mut fleet = Fleet::start(size, CONFIGURATION).await?;
        tokio::time::sleep(arguments.settling).await;
        costs.push(idle(&fleet, arguments.phase).await?);
        costs.push(changes(&mut fleet, arguments.phase).await?);
        costs.push(restarts(&mut fleet, arguments.phase).await?);
        print_propagation_times(&mut fleet).await?;
    }
    print_costs(&costs);
    Ok(())
}

async fn idle(fleet: &Fleet, phase: Duration) -> Result<Cost> {
    let (before, counts) = (fleet.scrape_all().await?, fleet.platform.counts());
    tokio::time::sleep(phase).await;
    let after = fleet.scrape_all().await?;
    Ok(cost(
        "idle",
        &before,
        &after,
        (counts, fleet.platform.counts()),
    ))
}

async fn changes(fleet: &mut Fleet, phase: Duration) -> Result<Cost> {
    let (before, counts) = (fleet.scrape_all().await?, fleet.platform.counts());
    for _ in 0..CHANGES {
        fleet.apply().await?;
        tokio::time::sleep(phase / CHANGES).await;
    }
    let after = fleet.scrape_all().await?;
    Ok(cost(
        "changes",
        &before,
        &after,
        (counts, fleet.platform.counts()),
    ))
}

async fn restarts(fleet: &mut Fleet, phase: Duration) -> Result<Cost> {
    let (before, counts) = (fleet.scrape_all().await?, fleet.platform.counts());
    let started_at = Instant::now();
    for number in 0..RESTARTS {
        fleet.restart(number).await?;
    }
    tokio::time::sleep(phase.saturating_sub(started_at.elapsed())).await;
    fleet.wait_until_joined().await?;
    let after = fleet.scrape_all().await?;
    Ok(cost(
        "restarts",
        &before,
        &after,
        (counts, fleet.platform.counts()),
    ))
}

/// Prints the time until a change is active on all nodes. It is measured separately from the other
/// phases, since polling the nodes costs them more than the change does.
async fn print_propagation_times(fleet: &mut Fleet) -> Result<()> {
    let mut times = Vec::new();
    for _ in 0..CHANGES {
        let generation = fleet.apply().await?;
        times.push(fleet.wait_until_in_force(generation).await?);
    }
    times.sort();
    let (median, last) = (times[times.len() / 2], times[times.len() - 1]);
    let nodes = fleet.nodes.len();
    println!(
        "{nodes} nodes: a change is in force everywhere after {median:.0?} (median), {last:.0?} (longest of {CHANGES})"
    );
    Ok(())
}

fn print_costs(costs: &[Cost]) {
    for phase in ["idle", "changes", "restarts"] {
        let of_phase: Vec<&Cost> = costs.iter().filter(|cost| cost.phase == phase).collect();
        let Some(first) = of_phase.first() else {
            continue;
        };
        println!("\n{phase}, means per node (platform: whole fleet)");
        let sizes = of_phase.iter().map(|cost| format!("{:>9}", cost.nodes));
        let sizes: String = sizes.collect();
        println!("{:<24}{sizes}   at {TARGET_NODES}   per 100 nodes", "nodes");
        for name in first.values.keys() {
            print_row(name, &of_phase);
        }
    }
}

fn print_row(name: &str, costs: &[&Cost]) {
    let figure = |cost: &&Cost| cost.values.get(name).copied().unwrap_or(0.0);
    let cells: String = costs
        .iter()
        .map(|cost| format!("{:>9.2}", figure(cost)))
        .collect();
    let points: Vec<(f64, f64)> = costs
        .iter()
        .map(|cost| (cost.nodes as f64, figure(cost)))
        .collect();
    let fitted = line(&points).map_or(String::new(), |line| {
        let at_target = line.at_zero + line.per_node * TARGET_NODES;
        format!("{at_target:>9.2}   {:>9.3}", line.per_node * 100.0)
    });
    println!("{name:<24}{cells}{fitted}");
}
