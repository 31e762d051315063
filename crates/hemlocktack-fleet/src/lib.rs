//! State machines for everything that nodes must agree on: membership, configuration, tickets,
//! handover and drain.
//!
//! They perform no I/O: each takes events and returns actions. The current time and the random
//! number generator are passed in as arguments.

pub mod calls;
pub mod configuration;
pub mod drain;
pub mod freshness;
pub mod handover;
pub mod keys;
pub mod membership;
mod peer;
pub mod quotas;
pub mod tickets;

pub use peer::NodeIncarnation;
