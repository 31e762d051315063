//! What the home does with a call that came with a ticket.

use std::sync::Arc;

use hemlocktack_protocol::{Answer, CallFailure, Fingerprint, Reason, Refusal};

use crate::tickets::epochs::{EpochAge, EpochWindow};
use crate::tickets::record::{Record, State, TicketOutcome};
use crate::tickets::table::{Phase, TicketTable};
use crate::tickets::ticket::Ticket;

// Expired records removed with each new one: faster than records are made, and
// no single call pays for a whole epoch.
const PURGED_PER_START: usize = 4;

/// What the home does with a call that came with a ticket.
#[derive(Clone, Debug, PartialEq)]
pub enum StartDecision {
    /// First of its ticket: admit it; it is queued now.
    Run,
    /// It is queued or running: wait for the same end.
    Join,
    /// It has run: here is the answer.
    Answered(Arc<Answer>),
    /// It has run and its answer is no longer kept.
    AnswerNotKept,
    /// It has not run and never will, or it may have run and never will again.
    Refused(CallFailure),
}

impl TicketTable {
    /// Decides on a call with a genuine ticket, first send or re-send alike.
    ///
    /// The first send binds the ticket to its request. A caller that uses the
    /// ticket for another one would otherwise get the answer of the first.
    pub fn start(&mut self, ticket: &Ticket, fingerprint: Fingerprint) -> StartDecision {
        self.purge(PURGED_PER_START);
        let window = self.homes.iter().find(|window| window.home == ticket.home);
        if let Some(record) = self.records.get(&ticket.nonce) {
            return self.restart(record, ticket, fingerprint, window);
        }
        // Another start of this node may have run it; so may a home whose
        // table was dropped here.
        let Some(window) = window else {
            return StartDecision::Refused(CallFailure::Unknown(Reason::HomeGone));
        };
        match window.age(ticket.epoch) {
            EpochAge::Kept => {}
            // Its record may have gone with its epoch.
            EpochAge::Expired => {
                return StartDecision::Refused(CallFailure::Unknown(Reason::TicketExpired));
            }
            EpochAge::NotReached => {
                return StartDecision::Refused(CallFailure::Unknown(Reason::TicketForeign));
            }
        }
        let record = |state| Record {
            home_number: window.number,
            epoch: ticket.epoch,
            fingerprint,
            state,
        };
        match self.phase {
            Phase::Accepting => {
                let record = record(State::Queued);
                self.insert(ticket.nonce, record);
                StartDecision::Run
            }
            // The caller will be told `not_run`: an earlier send that is still
            // under way must find the fence, here or at the successor.
            Phase::Stopping => {
                let record = record(State::Ended(TicketOutcome::NotRun(Reason::Draining)));
                self.insert(ticket.nonce, record);
                StartDecision::Refused(not_run(Reason::Draining))
            }
            // A fence made now would miss the successor. Asking it once it is
            // known is safe: a re-send of the same ticket always is.
            Phase::Frozen => StartDecision::Refused(CallFailure::Unknown(Reason::Draining)),
        }
    }

    fn restart(
        &self,
        record: &Record,
        ticket: &Ticket,
        fingerprint: Fingerprint,
        window: Option<&EpochWindow>,
    ) -> StartDecision {
        let same_home = window.is_none_or(|window| window.number == record.home_number);
        if record.epoch != ticket.epoch || !same_home {
            return StartDecision::Refused(CallFailure::Unknown(Reason::TicketForeign));
        }
        if record.fingerprint != fingerprint {
            return StartDecision::Refused(not_run(Reason::TicketForeign));
        }
        let State::Ended(end) = record.state else {
            return StartDecision::Join;
        };
        match end {
            TicketOutcome::Answered => match self.answers.get(&ticket.nonce) {
                Some(answer) => StartDecision::Answered(answer),
                None => StartDecision::AnswerNotKept,
            },
            TicketOutcome::NotRun(reason) => StartDecision::Refused(not_run(reason)),
            TicketOutcome::Unknown(reason) => StartDecision::Refused(CallFailure::Unknown(reason)),
        }
    }
}

fn not_run(reason: Reason) -> CallFailure {
    CallFailure::NotRun(Refusal {
        reason,
        retry_after: None,
    })
}
