//! Membership at the target fleet size, in virtual time: its traffic, its CPU time, and how long
//! updates take to reach all nodes.
//!
//! `cargo run --release -p hemlocktack-fleet --example fleet_size -- --nodes 560`

mod scenarios;
mod world;

use std::process::ExitCode;

use getopts::Options;

fn main() -> ExitCode {
    let mut options = Options::new();
    options.optopt("", "nodes", "comma-separated fleet sizes (560)", "LIST");
    options.optflag("", "quick", "skip the rolling upgrade");
    let Ok(matches) = options.parse(std::env::args().skip(1)) else {
        eprintln!("{}", options.usage("fleet_size"));
        return ExitCode::FAILURE;
    };
    let sizes = matches.opt_str("nodes").unwrap_or_else(|| "560".to_owned());
    for size in sizes.split(',').filter_map(|size| size.parse().ok()) {
        scenarios::run_all(size, matches.opt_present("quick"));
    }
    ExitCode::SUCCESS
}
