//! Planned stop: a home gives its tickets to a successor.
//!
//! How a node drives this module:
//!
//! 1. [`crate::tickets::TicketTable::stop_accepting`]; what is in flight ends.
//! 2. [`OutgoingHandover::begin`] freezes the table. [`OutgoingHandover::offer`] gives the frames
//!    for a successor of the same service; another one may be tried after
//!    [`OutgoingHandover::abandon`], until the first full acceptance.
//! 3. [`OutgoingHandover::handle_accepted`] takes the successor's `HandoverAccepted` frames. The
//!    last acceptance makes the one decision that counts: the commit frames go
//!    to this successor, and the handover can go nowhere else any more.
//! 4. The successor gives each `Handover` frame to [`IncomingHandovers::handle_frame`]. It adopts
//!    the tickets with the commit frame, and publishes what
//!    [`crate::tickets::TicketTable::homes`] lists in `Member.successions`.
//! 5. [`HandoverProgress::Finished`]: the stopping node may go.
//!
//! At no time do two nodes start the tickets of one home: the home has stopped
//! before the first frame leaves, a successor begins with the commit frame
//! only, and the commit goes to one incarnation only. A crash on either side
//! before the commit arrives leaves no home, and the tickets' outcome `unknown`.

mod incoming;
mod outgoing;
mod parts;

pub use incoming::{HandoverError, HandoverLimits, IncomingHandovers, Result};
pub use outgoing::{HandoverProgress, OutgoingHandover};
