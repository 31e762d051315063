//! Membership at the aimed size, in virtual time: what it sends and computes,
//! and how long news takes.
//!
//! `cargo run --release -p hemlocktack-fleet --example fleet_size -- --nodes 560`

mod scenarios;
mod world;

use std::process::ExitCode;

use getopts::Options;

fn main() -> ExitCode {
    let mut options = Options::new();
    options.optopt("", "nodes", "sizes of the fleet (560)", "LIST");
    options.optflag("", "quick", "without the rolling upgrade");
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
