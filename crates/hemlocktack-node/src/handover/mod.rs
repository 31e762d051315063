//! Handover of a stopping node's tickets to another node of its service.
//!
//! `hemlocktack_fleet::handover` implements the protocol; this module sends and receives its
//! frames.

mod incoming;
mod outgoing;

pub(crate) use incoming::receive_frame;
pub(crate) use outgoing::{TIME_LIMIT, send_tickets};
