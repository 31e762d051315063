//! What nodes must agree on, as state machines free of input and output:
//! events go in, decisions come out; time and random numbers are arguments.

pub mod calls;
pub mod configuration;
pub mod drain;
pub mod handover;
pub mod keys;
pub mod membership;
mod peer;
pub mod tickets;

pub use peer::NodeIncarnation;
