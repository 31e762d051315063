//! Tickets, which make sure that a non-idempotent request runs at most once.
//!
//! Each ticket is bound to one incarnation of one node, its home. Only the home decides whether the
//! request may run, and it records the outcome.
//!
//! A node uses this module as follows:
//!
//! 1. A call that needs a ticket and has none is refused with a new one from [`Ticket::issue`], for
//!    any node of the service as its home.
//! 2. A call with a ticket is passed to [`Ticket::decode`] and [`find_home`], and is then sent to
//!    that incarnation only.
//! 3. The home calls [`TicketTable::start`]. On [`StartDecision::Run`] it admits the call, and
//!    calls [`TicketTable::mark_started`] *before* the first byte is sent to the upstream, or
//!    [`TicketTable::delegate`] *before* the call is sent to another node.
//! 4. The outcome is recorded once: [`TicketTable::record_answer`], [`TicketTable::refuse`] (it did
//!    not run and never will) or [`TicketTable::record_unknown`] (it may have run). All sends that
//!    joined the call get the same outcome.

mod children;
mod epochs;
mod home;
mod kept_answers;
mod record;
mod start;
mod steps;
mod table;
mod ticket;
mod transfer;

pub use children::{ChildCalls, ChildHome, ChildRefusal};
pub use home::find_home;
pub(crate) use kept_answers::KeptAnswers;
pub use record::{Nonce, TicketOutcome, WrongState};
pub use start::StartDecision;
pub use table::{TableLimits, TicketTable};
pub use ticket::{Result, TICKET_TEXT_LIMIT_BYTES, Ticket, TicketError};
pub(crate) use transfer::{TransferEntry, TransferTable};
