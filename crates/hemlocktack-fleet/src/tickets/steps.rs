//! State transitions of a ticket, from queued to its outcome.

use std::sync::Arc;

use hemlocktack_protocol::{Answer, Reason};

use crate::peer::NodeIncarnation;
use crate::tickets::record::{Nonce, State, TicketOutcome, WrongState};
use crate::tickets::table::TicketTable;

impl TicketTable {
    /// Records that another node may run the request; must be called before it is sent there.
    ///
    /// # Errors
    /// [`WrongState`] if the ticket's state does not allow the transition.
    pub fn delegate(&mut self, nonce: Nonce, delegate: NodeIncarnation) -> Result<(), WrongState> {
        let state = self.state_mut(nonce)?;
        let State::Queued = state else {
            return Err(WrongState);
        };
        *state = State::Delegated(Box::new(delegate));
        Ok(())
    }

    /// Records that the request starts; must be called before its first byte is sent to the
    /// upstream.
    ///
    /// # Errors
    /// [`WrongState`] if the ticket's state does not allow the transition.
    pub fn mark_started(&mut self, nonce: Nonce) -> Result<(), WrongState> {
        let state = self.state_mut(nonce)?;
        let State::Queued = state else {
            return Err(WrongState);
        };
        *state = State::Started;
        Ok(())
    }

    /// Returns a started ticket to the queue, after the upstream confirmed that it shed the request
    /// without running it.
    ///
    /// # Errors
    /// [`WrongState`] if the ticket's state does not allow the transition.
    pub fn requeue(&mut self, nonce: Nonce) -> Result<(), WrongState> {
        let state = self.state_mut(nonce)?;
        let State::Started = state else {
            return Err(WrongState);
        };
        *state = State::Queued;
        Ok(())
    }

    /// Returns a delegated ticket to the queue, after the delegate confirmed that the request did
    /// not run and will not.
    ///
    /// Only the recorded delegate is accepted. A late message from an earlier delegate would
    /// otherwise let the request run a second time.
    ///
    /// # Errors
    /// [`WrongState`] if the ticket's state does not allow the transition.
    pub fn requeue_from(&mut self, nonce: Nonce, from: &NodeIncarnation) -> Result<(), WrongState> {
        let state = self.state_mut(nonce)?;
        match state {
            State::Delegated(delegate) if **delegate == *from => *state = State::Queued,
            _ => return Err(WrongState),
        }
        Ok(())
    }

    /// Fences a queued ticket: callers are told `not_run`, and no later send of it can run.
    ///
    /// # Errors
    /// [`WrongState`] if the ticket's state does not allow the transition.
    pub fn refuse(&mut self, nonce: Nonce, reason: Reason) -> Result<(), WrongState> {
        let State::Queued = self.state_mut(nonce)? else {
            return Err(WrongState);
        };
        self.end(nonce, TicketOutcome::NotRun(reason));
        Ok(())
    }

    /// Records the complete answer to a started or delegated ticket.
    ///
    /// # Errors
    /// [`WrongState`] if the ticket's state does not allow the transition.
    pub fn record_answer(&mut self, nonce: Nonce, answer: Arc<Answer>) -> Result<(), WrongState> {
        self.expect_may_have_run(nonce)?;
        self.answers.keep(nonce, answer);
        self.end(nonce, TicketOutcome::Answered);
        Ok(())
    }

    /// Records that a started or delegated ticket got no complete answer and may have run.
    ///
    /// # Errors
    /// [`WrongState`] if the ticket's state does not allow the transition.
    pub fn record_unknown(&mut self, nonce: Nonce, reason: Reason) -> Result<(), WrongState> {
        self.expect_may_have_run(nonce)?;
        self.end(nonce, TicketOutcome::Unknown(reason));
        Ok(())
    }

    fn state_mut(&mut self, nonce: Nonce) -> Result<&mut State, WrongState> {
        self.records
            .get_mut(&nonce)
            .map(|record| &mut record.state)
            .ok_or(WrongState)
    }

    fn expect_may_have_run(&self, nonce: Nonce) -> Result<(), WrongState> {
        match self.records.get(&nonce) {
            Some(record) if record.may_have_run() => Ok(()),
            _ => Err(WrongState),
        }
    }
}
