//! The node that runs beside each upstream instance. It accepts calls, places them on
//! nodes, admits them to its upstream, and reports their outcome.

mod accounts;
mod callers;
mod calls;
mod configuration;
mod control;
mod counters;
mod freshness;
mod gateway;
mod handover;
mod interfaces;
mod links;
mod memory;
mod node;
mod operators;
mod peers;
mod quotas;
mod refused_body;
mod reload;
mod run;
mod settings;
mod sockets;
mod stop;
mod telemetry;
mod upstream;

pub use run::{run_from_command_line, run_until};
