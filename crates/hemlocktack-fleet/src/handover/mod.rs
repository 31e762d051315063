//! Handover of tickets from a home to a successor during a planned stop.
//!
//! A node uses this module as follows:
//!
//! 1. [`crate::tickets::TicketTable::stop_accepting`] is called, and the calls in flight finish.
//! 2. [`OutgoingHandover::begin`] freezes the table. [`OutgoingHandover::offer`] returns the frames
//!    for a successor of the same service. Until one successor has accepted everything, another one
//!    may be tried after [`OutgoingHandover::abandon`].
//! 3. [`OutgoingHandover::handle_accepted`] processes the successor's `HandoverAccepted` frames.
//!    The last acceptance commits the handover: the commit frames go to this successor, and no
//!    other successor can be chosen any more.
//! 4. The successor passes each `Handover` frame to [`IncomingHandovers::handle_frame`]. It adopts
//!    the tickets when it receives the commit frame, and publishes the adopted homes of
//!    [`crate::tickets::TicketTable::homes`] in `Member.successions`.
//! 5. After [`HandoverProgress::Finished`] the stopping node may exit.
//!
//! Two nodes never run the tickets of one home at the same time: the home has stopped before the
//! first frame is sent, a successor starts only with the commit frame, and the commit is sent to
//! one incarnation only. If either side crashes before the commit arrives, the tickets have no home
//! and their outcome is `unknown`.

mod incoming;
mod outgoing;
mod parts;

pub use incoming::{HandoverError, HandoverLimits, IncomingHandovers, Result};
pub use outgoing::{HandoverProgress, OutgoingHandover};
