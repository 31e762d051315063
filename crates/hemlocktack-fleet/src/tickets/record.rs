//! What a home knows of one ticket.

use derive_more::{Display, Error};
use hemlocktack_protocol::{Fingerprint, Reason};

use crate::peer::NodeIncarnation;

/// 128 random bits that tell one ticket from all others.
pub type Nonce = u128;

/// How a ticket's request ended. It never changes again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TicketOutcome {
    /// The upstream answered in whole; the answer may have been dropped since.
    Answered,
    /// Fenced: it was not started and never will be.
    NotRun(Reason),
    /// It may have run; it is never started again.
    Unknown(Reason),
}

/// The table holds the ticket in a state that does not allow the step.
///
/// A node that sees this after [`crate::tickets::TicketTable::mark_started`] or
/// [`crate::tickets::TicketTable::delegate`] must not send the request on.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("the ticket's state does not allow this step")]
pub struct WrongState;

#[derive(Clone, Debug)]
pub(crate) enum State {
    Queued,
    // Boxed: few records are in this state at a time, and the record stays small.
    Delegated(Box<NodeIncarnation>),
    Started,
    Ended(TicketOutcome),
}

#[derive(Clone, Debug)]
pub(crate) struct Record {
    pub(crate) home_number: u32,
    pub(crate) epoch: u64,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) state: State,
}

impl Record {
    pub(crate) fn is_ended(&self) -> bool {
        matches!(self.state, State::Ended(_))
    }

    pub(crate) fn may_have_run(&self) -> bool {
        matches!(self.state, State::Delegated(_) | State::Started)
    }
}
