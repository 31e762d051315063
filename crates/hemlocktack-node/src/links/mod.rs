//! Links between nodes: frames over TCP, with mutual authentication by the fleet key.
//!
//! Each node dials the nodes that it sends calls to; answers come back on the same link. When a
//! link is lost, its calls stay pending until the same incarnation of the receiver has reported
//! their outcomes.

mod bodies;
mod call_times;
mod cancellations;
mod codec;
mod connection;
mod dial;
mod handshake;
mod incoming;
mod last_received;
mod outgoing;
mod pending;
mod queries;
mod query_handler;
mod registry;
mod senders;
#[cfg(test)]
pub(super) mod tests;

pub(crate) use cancellations::send_cancellations;
pub(crate) use codec::FrameCodec;
pub(crate) use incoming::serve_links;
pub(crate) use outgoing::{Links, Peer, SendOutcome};
pub(crate) use senders::Senders;
