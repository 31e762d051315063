//! Decision of a ticket's home on whether a call may run.

use std::sync::Arc;

use hemlocktack_protocol::{Answer, CallFailure, Fingerprint, Reason, Refusal};

use crate::tickets::epochs::{EpochAge, EpochWindow};
use crate::tickets::record::{Record, State, TicketOutcome};
use crate::tickets::table::{Phase, TicketTable};
use crate::tickets::ticket::Ticket;

// Expired records that are removed per call: more than the one record that the call may add, but
// few enough that no single call bears the cost of a whole epoch.
const PURGED_PER_START: usize = 4;

/// What the home does with a call that carries a ticket.
#[derive(Clone, Debug, PartialEq)]
pub enum StartDecision {
    /// This is the first call with the ticket and is now recorded as queued: admit it.
    Run,
    /// The request is queued or running: wait for its outcome.
    Join,
    /// The request has run with this answer.
    Answered(Arc<Answer>),
    /// The request has run, and its answer is no longer kept.
    AnswerNotKept,
    /// The request did not run and never will, or may have run and will not run again.
    Refused(CallFailure),
}

impl TicketTable {
    /// Decides what to do with a call whose ticket has been verified, for first sends and re-sends.
    ///
    /// The first send binds the ticket to its request by the fingerprint. Otherwise a caller that
    /// reuses the ticket for another request would get the answer to the first.
    pub fn start(&mut self, ticket: &Ticket, fingerprint: Fingerprint) -> StartDecision {
        self.purge(PURGED_PER_START);
        let window = self.homes.iter().find(|window| window.home == ticket.home);
        if let Some(record) = self.records.get(&ticket.nonce) {
            return self.decide_known(record, ticket, fingerprint, window);
        }
        // An earlier incarnation of this node may have run it, or an adopted home whose table has
        // been dropped.
        let Some(window) = window else {
            return StartDecision::Refused(CallFailure::Unknown(Reason::HomeGone));
        };
        match window.age(ticket.epoch) {
            EpochAge::Kept => {}
            // Its record may have been removed with its epoch.
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
            // The caller is told `not_run`, so an earlier send that is still in transit must find
            // the ticket fenced, here or at the successor.
            Phase::Stopping => {
                let record = record(State::Ended(TicketOutcome::NotRun(Reason::Draining)));
                self.insert(ticket.nonce, record);
                StartDecision::Refused(not_run(Reason::Draining))
            }
            // A fence recorded now would not reach the successor. The call may be sent to the
            // successor once it is known: re-sending the same ticket is always safe.
            Phase::Frozen => StartDecision::Refused(CallFailure::Unknown(Reason::Draining)),
        }
    }

    fn decide_known(
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
