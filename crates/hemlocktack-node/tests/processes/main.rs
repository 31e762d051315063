//! Failures of whole processes: nodes, upstreams and the platform as they run
//! in production, on loopback, started from the built binaries and examples.
//!
//! `cargo build --workspace --bins --examples` goes before, as `.ci/run` does.
//! Outcomes and counts at the upstreams are asserted, never times; every wait
//! is bounded and ends as soon as what it waits for is there.
#![allow(clippy::unwrap_used)]

mod addresses;
mod at_most_once;
mod bad_input;
mod chains;
mod crash;
mod frames;
mod harness;
mod links;
mod operator_calls;
mod operators;
mod overload;
mod platform_out;
mod reload;
mod retries;
mod slow_nodes;
mod stop;
mod telemetry;
mod thin_path;
mod tickets;
mod upstream_reports;
mod whole_answers;
