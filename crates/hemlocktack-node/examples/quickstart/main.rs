//! A first run: starts a small fleet in one process, sends a call through the chain, then up to
//! twice the load of its capacity, and prints the outcomes.
//!
//! `cargo run --release --example quickstart` exits by itself within a minute.

#[path = "../common/mod.rs"]
mod common;
mod load;
mod table;

use std::process::ExitCode;
use std::time::Duration;

use common::{Fleet, Member, Result};
use load::Phase;

const CONFIGURATION: &str = include_str!("quickstart.toml");
const USAGE_EXIT_CODE: u8 = 2;

/// Pages of `listings` call `diaries` for free slots; bookings go to `diaries`.
const MEMBERS: [Member; 4] = [
    Member {
        service: "listings",
        data_centre: "salt-lake",
        slots: 8,
        service_time_ms: 20,
        child_call: Some("GET diaries/slots"),
    },
    Member {
        service: "listings",
        data_centre: "howrah",
        slots: 8,
        service_time_ms: 20,
        child_call: Some("GET diaries/slots"),
    },
    Member {
        service: "diaries",
        data_centre: "salt-lake",
        slots: 4,
        service_time_ms: 10,
        child_call: None,
    },
    Member {
        service: "diaries",
        data_centre: "howrah",
        slots: 4,
        service_time_ms: 10,
        child_call: None,
    },
];

/// Capacity of the 16 slots of `listings` in requests per second: each request holds its slot for
/// 20 ms of its own and at least 10 ms of its child call.
const CAPACITY_PER_S: u32 = 500;
/// Bookings are a tenth of all requests.
const BOOKING_SHARE: f64 = 0.1;

const PHASES: [Phase; 3] = [
    Phase {
        name: "half of capacity",
        rate_per_s: CAPACITY_PER_S / 2,
        duration: Duration::from_secs(4),
    },
    Phase {
        name: "twice capacity",
        rate_per_s: CAPACITY_PER_S * 2,
        duration: Duration::from_secs(8),
    },
    Phase {
        name: "half again",
        rate_per_s: CAPACITY_PER_S / 2,
        duration: Duration::from_secs(4),
    },
];

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if let Some(argument) = arguments.first() {
        eprintln!("quickstart: unexpected argument {argument:?}; the example takes none");
        return ExitCode::from(USAGE_EXIT_CODE);
    }
    match run().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("quickstart: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> Result<()> {
    println!("Starting the platform stand-in, 4 upstreams and a node beside each ...");
    let fleet = Fleet::start(&MEMBERS, CONFIGURATION).await?;
    show_one_call(&fleet).await?;
    let entries: Vec<_> = fleet.nodes.iter().map(|node| node.caller_address).collect();
    for phase in &PHASES {
        println!(
            "\n{}: {} requests a second for {} s",
            phase.name,
            phase.rate_per_s,
            phase.duration.as_secs()
        );
        let results = load::run_phase(phase, BOOKING_SHARE, &entries).await;
        print!("{}", table::render(&results));
    }
    fleet.stop().await?;
    println!("\nAll nodes stopped; nothing in flight was cut off.");
    Ok(())
}

async fn show_one_call(fleet: &Fleet) -> Result<()> {
    let url = format!("http://{}/listings/flats", fleet.nodes[2].caller_address);
    let answer = reqwest::get(&url).await?;
    let outcome = answer.headers().get("hemlocktack-outcome").cloned();
    println!(
        "GET /listings/flats through a diaries node: {} {outcome:?}",
        answer.status()
    );
    println!("{}", answer.text().await?);
    Ok(())
}
