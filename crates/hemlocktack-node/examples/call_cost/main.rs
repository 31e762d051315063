//! Measures the cost that two node hops add to a call. Direct calls and calls through the nodes
//! alternate in one run, so that both see the same state of the machine.
//!
//! `cargo run --release -p hemlocktack-node --example call_cost [-- --calls N]`

#[path = "../common/mod.rs"]
mod common;
mod echo;
mod measure;

use std::process::ExitCode;

use common::{Fleet, Member, Result};
use getopts::Options;
use hemlocktack_testkit::upstream::Switches;
use measure::{Background, Comparison};

const CONFIGURATION: &str = include_str!("call_cost.toml");
const USAGE_EXIT_CODE: u8 = 2;
const DEFAULT_CALLS: usize = 4000;
const BODY_BYTES: [usize; 2] = [1 << 10, 16 << 10];
/// Calls per second of one node at the target load: 210,000 over 560 nodes.
const TARGET_CALLS_PER_S_PER_NODE: u32 = 375;
const RATES_PER_S: [u32; 3] = [
    0,
    TARGET_CALLS_PER_S_PER_NODE,
    8 * TARGET_CALLS_PER_S_PER_NODE,
];

const MEMBERS: [Member; 2] = [
    Member {
        service: "front",
        data_centre: "salt-lake",
        slots: 64,
        service_time_ms: 1,
        child_call: None,
    },
    Member {
        service: "back",
        data_centre: "salt-lake",
        slots: 64,
        service_time_ms: 1,
        child_call: None,
    },
];

#[tokio::main]
async fn main() -> ExitCode {
    let calls = match read_calls() {
        Ok(calls) => calls,
        Err(message) => {
            eprintln!("call_cost: {message}");
            return ExitCode::from(USAGE_EXIT_CODE);
        }
    };
    match run(calls).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("call_cost: {error}");
            ExitCode::FAILURE
        }
    }
}

fn read_calls() -> std::result::Result<usize, String> {
    let mut options = Options::new();
    options.optopt("", "calls", "number of calls per cell and path", "N");
    let matches = options
        .parse(std::env::args().skip(1))
        .map_err(|error| error.to_string())?;
    if let Some(argument) = matches.free.first() {
        return Err(format!("unexpected argument {argument:?}"));
    }
    let calls = matches
        .opt_get_default("calls", DEFAULT_CALLS)
        .map_err(|error| format!("--calls: {error}"))?;
    if calls == 0 {
        Err("--calls: at least 1".to_owned())
    } else {
        Ok(calls)
    }
}

async fn run(calls: usize) -> Result<()> {
    let fleet = Fleet::start(&MEMBERS, CONFIGURATION).await?;
    let entry = fleet.nodes[0].caller_address;
    let back = &fleet.nodes[1];
    back.upstream.set(Switches {
        announce: false,
        ..Switches::default()
    });
    let echo_address = echo::start(back.control_address).await?;
    let through_url = format!("http://{entry}/back/echo");
    let direct_url = format!("http://{echo_address}/echo");
    println!(
        "{calls} calls per cell and path; times in microseconds; added = through both nodes minus direct"
    );
    println!("{}", Comparison::heading());
    for rate_per_s in RATES_PER_S {
        let background = Background::start(&through_url, rate_per_s);
        for body_bytes in BODY_BYTES {
            let comparison = measure::compare(&direct_url, &through_url, body_bytes, calls).await?;
            println!("{}", comparison.line(rate_per_s, body_bytes));
        }
        background.stop();
    }
    fleet.stop().await
}
