//! Links between nodes: frames over TCP, both ends proved to hold the fleet key.
//!
//! Each node dials the nodes that it sends calls to; answers come back on the
//! same link. A lost link leaves calls pending until the other incarnation has
//! been asked what became of them.

mod codec;
mod connection;
mod dial;
mod handshake;
mod heard;
mod incoming;
mod outgoing;
mod pending;
mod queries;
mod questions;
mod senders;
#[cfg(test)]
mod tests;

pub(crate) use codec::FrameCodec;
pub(crate) use incoming::serve_links;
pub(crate) use outgoing::{Links, Peer, SendOutcome};
pub(crate) use senders::Senders;
