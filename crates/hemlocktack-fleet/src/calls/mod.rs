//! Calls over links that can be lost: what became of a call whose link went.
//!
//! How a node drives this module:
//!
//! - Receiver: each `Call` frame goes through [`Arrivals::record_arrival`]; only
//!   [`Arrival::New`] is run. Each end goes through [`Arrivals::finish`], each
//!   `ResolveCall` frame through [`Arrivals::resolve`].
//! - Sender: `links/outgoing.rs` of the node keeps these rules with code of its
//!   own, a task for each call; [`PendingCalls`] states them for the randomised runs:
//!   one per peer incarnation. [`PendingCalls::insert`] before the
//!   frame is queued, [`PendingCalls::mark_sent`] before its first byte is written,
//!   [`PendingCalls::answered`] with each `Answer` frame. Link lost:
//!   [`PendingCalls::link_lost`], then, over a new link, a `ResolveCall` frame for
//!   each of [`PendingCalls::unresolved`] and [`PendingCalls::resolved`] with what comes
//!   back; another incarnation at the other end: [`PendingCalls::peer_gone`].

mod arrivals;
mod pending_calls;

pub use arrivals::{Arrival, ArrivalCounts, ArrivalLimits, Arrivals, Resolution};
pub use pending_calls::{LinkLoss, PendingCalls, Resolved};
