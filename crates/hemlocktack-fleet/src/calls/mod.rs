//! Calls over links that can be lost: what became of a call whose link went.
//!
//! How a node drives this module:
//!
//! - Receiver: each `Call` frame goes through [`Arrivals::arrive`]; only
//!   [`Arrival::New`] is run. Each end goes through [`Arrivals::finish`], each
//!   `ResolveCall` frame through [`Arrivals::resolve`].
//! - Sender: `links/outgoing.rs` of the node keeps these rules with code of its
//!   own, a task for each call; [`Sends`] states them for the randomised runs:
//!   one per peer incarnation. [`Sends::insert`] before the
//!   frame is queued, [`Sends::sent`] before its first byte is written,
//!   [`Sends::answered`] with each `Answer` frame. Link lost:
//!   [`Sends::link_lost`], then, over a new link, a `ResolveCall` frame for
//!   each of [`Sends::unresolved`] and [`Sends::resolved`] with what comes
//!   back; another incarnation at the other end: [`Sends::peer_gone`].

mod arrivals;
mod sends;

pub use arrivals::{Arrival, ArrivalCounts, ArrivalLimits, Arrivals, Resolution};
pub use sends::{LinkLoss, Resolved, Sends};
