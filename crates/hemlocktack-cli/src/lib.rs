//! The operators' command line: commands that change the system, read-only queries, and the RPC
//! client that both use.

mod app;
mod arguments;
mod catalogue;
mod commands;
mod error;
mod log_lines;
mod output;
mod queries;
mod rpc;
mod settings;
mod signature;

pub use app::run;
pub use catalogue::CATALOGUE;
pub use signature::{Effect, Example, Signature};
