//! What nodes must agree on, as state machines free of input and output:
//! events go in, decisions come out, and the node does the rest.

pub mod calls;
pub mod handover;
pub mod keys;
mod peer;
pub mod tickets;

pub use peer::NodeIncarnation;
