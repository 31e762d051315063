//! What nodes must agree on, as state machines free of input and output:
//! events go in, actions come out; time and random numbers are arguments.

pub mod configuration;
pub mod drain;
pub mod membership;
mod stable_hash;
