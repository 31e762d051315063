//! Record that a home keeps of one ticket.

use derive_more::{Display, Error};
use hemlocktack_protocol::{Fingerprint, Reason};

use crate::peer::NodeIncarnation;

/// 128 random bits that identify a ticket.
pub type Nonce = u128;

/// Final outcome of a ticket's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TicketOutcome {
    /// The upstream sent a complete answer, which may no longer be kept.
    Answered,
    /// The ticket is fenced: the request did not run and never will.
    NotRun(Reason),
    /// The request may have run and is never started again.
    Unknown(Reason),
}

/// The ticket is in a state that does not allow the requested transition.
///
/// A node that gets this error from [`crate::tickets::TicketTable::mark_started`] or
/// [`crate::tickets::TicketTable::delegate`] must not send the request.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("the ticket's state does not allow this transition")]
pub struct WrongState;

#[derive(Clone, Debug)]
pub(crate) enum State {
    Queued,
    // Boxed to keep the record small: few records are in this state at any time.
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
