//! Planned stop: a home gives its tickets to a successor.
//!
//! How a node drives this module:
//!
//! 1. [`crate::tickets::TicketTable::stop_accepting`]; what is in flight ends.
//! 2. [`Leaving::begin`] freezes the table. [`Leaving::offer`] gives the frames
//!    for a successor of the same service; another one may be tried after
//!    [`Leaving::abandon`], until the first full acceptance.
//! 3. [`Leaving::accepted`] takes the successor's `HandoverAccepted` frames. The
//!    last acceptance makes the one decision that counts: the commit frames go
//!    to this successor, and the handover can go nowhere else any more.
//! 4. The successor gives each `Handover` frame to [`Receiving::part`]. It adopts
//!    the tickets with the commit frame, and publishes what
//!    [`crate::tickets::TicketTable::homes`] lists in `Member.successions`.
//! 5. [`Progress::Finished`]: the stopping node may go.
//!
//! At no time do two nodes start the tickets of one home: the home has stopped
//! before the first frame leaves, a successor begins with the commit frame
//! only, and the commit goes to one incarnation only. A crash on either side
//! before the commit arrives leaves no home, and the tickets' outcome `unknown`.

mod leaving;
mod parts;
mod receiving;

pub use leaving::{Leaving, Progress};
pub use receiving::{HandoverError, HandoverLimits, Receiving, Result};
