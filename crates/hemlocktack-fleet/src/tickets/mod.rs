//! Tickets: each non-idempotent request is bound to one incarnation of one node.
//!
//! How a node drives this module:
//!
//! 1. A call that needs a ticket and has none is refused with a fresh one from
//!    [`Ticket::issue`], for any home of the service that the node knows.
//! 2. A call with a ticket: [`Ticket::decode`], then [`find_home`], and the call
//!    goes to that incarnation and to no other.
//! 3. The home asks [`TicketTable::start`]. On [`StartDecision::Run`] it admits the call
//!    and says [`TicketTable::mark_started`] *before* the first byte goes to the
//!    upstream, or [`TicketTable::delegate`] *before* the call goes to another node.
//! 4. The end is recorded once: [`TicketTable::record_answer`], [`TicketTable::refuse`]
//!    (nothing ran and nothing will), or [`TicketTable::record_unknown`] (it may have run).
//!    Whoever joined gets the same end.

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
