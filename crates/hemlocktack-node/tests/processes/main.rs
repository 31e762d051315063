//! Failure tests with whole processes: nodes, upstreams and the platform run on loopback,
//! started from the built binaries and examples.
//!
//! Run `cargo build --workspace --bins --examples` first, as `.ci/run` does. The tests assert
//! outcomes and the counts of the upstreams, never times. Every wait has a timeout and ends as soon
//! as its condition holds.
#![allow(clippy::unwrap_used)]

mod addresses;
mod at_most_once;
mod bad_input;
mod chains;
mod crash;
mod departures;
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
