//! Resolution of calls whose link was lost.
//!
//! A node uses this module as follows:
//!
//! - Receiver: each `Call` frame is passed to [`Arrivals::record_arrival`], and only
//!   [`Arrival::New`] calls run. The end of each call is passed to [`Arrivals::finish`], and each
//!   `ResolveCall` frame to [`Arrivals::resolve`].
//! - Sender: the node implements the same rules in `links/outgoing.rs`, with one task per call.
//!   [`PendingCalls`] is the model of these rules for the randomised runs, with one instance per
//!   peer incarnation. [`PendingCalls::insert`] is called before the frame is queued,
//!   [`PendingCalls::mark_sent`] before its first byte is written, and [`PendingCalls::answered`]
//!   with each `Answer` frame. When the link is lost, [`PendingCalls::link_lost`] is called; then a
//!   `ResolveCall` frame is sent over a new link for each of [`PendingCalls::unresolved`], and its
//!   reply is passed to [`PendingCalls::resolved`]. If the peer has another incarnation,
//!   [`PendingCalls::peer_gone`] is called instead.

mod arrivals;
mod call_age;
mod cancellations;
mod pending_calls;

pub use arrivals::{Arrival, ArrivalCounts, ArrivalLimits, Arrivals, Resolution};
pub use call_age::CallAges;
pub use cancellations::Cancellations;
pub use pending_calls::{LinkLoss, PendingCalls, Resolved};
