//! Steps of one ticket from its start to its end.

use std::sync::Arc;

use hemlocktack_protocol::{Answer, Reason};

use crate::peer::NodeIncarnation;
use crate::tickets::record::{Nonce, State, TicketOutcome, WrongState};
use crate::tickets::table::TicketTable;

impl TicketTable {
    /// Records that another node may start the request, before it is sent there.
    ///
    /// # Errors
    /// [`WrongState`] where the ticket is not in the state that this step needs.
    pub fn delegate(&mut self, nonce: Nonce, delegate: NodeIncarnation) -> Result<(), WrongState> {
        let state = self.state_mut(nonce)?;
        let State::Queued = state else {
            return Err(WrongState);
        };
        *state = State::Delegated(Box::new(delegate));
        Ok(())
    }

    /// Records the start, before the first byte goes to the upstream.
    ///
    /// # Errors
    /// [`WrongState`] where the ticket is not in the state that this step needs.
    pub fn mark_started(&mut self, nonce: Nonce) -> Result<(), WrongState> {
        let state = self.state_mut(nonce)?;
        let State::Queued = state else {
            return Err(WrongState);
        };
        *state = State::Started;
        Ok(())
    }

    /// The upstream proved that it shed the request before it began: startable again.
    ///
    /// # Errors
    /// [`WrongState`] where the ticket is not in the state that this step needs.
    pub fn requeue(&mut self, nonce: Nonce) -> Result<(), WrongState> {
        let state = self.state_mut(nonce)?;
        let State::Started = state else {
            return Err(WrongState);
        };
        *state = State::Queued;
        Ok(())
    }

    /// The delegate proved that it has not run and will not: startable again.
    ///
    /// Only the recorded delegate's word counts. A late word from an earlier
    /// one would let the request out a second time.
    ///
    /// # Errors
    /// [`WrongState`] where the ticket is not in the state that this step needs.
    pub fn requeue_from(&mut self, nonce: Nonce, from: &NodeIncarnation) -> Result<(), WrongState> {
        let state = self.state_mut(nonce)?;
        match state {
            State::Delegated(delegate) if **delegate == *from => *state = State::Queued,
            _ => return Err(WrongState),
        }
        Ok(())
    }

    /// Ends a queued ticket for good: `not_run` is told, and no send of it,
    /// however late, will find it startable.
    ///
    /// # Errors
    /// [`WrongState`] where the ticket is not in the state that this step needs.
    pub fn refuse(&mut self, nonce: Nonce, reason: Reason) -> Result<(), WrongState> {
        let State::Queued = self.state_mut(nonce)? else {
            return Err(WrongState);
        };
        self.end(nonce, TicketOutcome::NotRun(reason));
        Ok(())
    }

    /// Ends a started or delegated ticket with the upstream's whole answer.
    ///
    /// # Errors
    /// [`WrongState`] where the ticket is not in the state that this step needs.
    pub fn record_answer(&mut self, nonce: Nonce, answer: Arc<Answer>) -> Result<(), WrongState> {
        self.expect_may_have_run(nonce)?;
        self.answers.keep(nonce, answer);
        self.end(nonce, TicketOutcome::Answered);
        Ok(())
    }

    /// Ends a started or delegated ticket that came to no whole answer.
    ///
    /// # Errors
    /// [`WrongState`] where the ticket is not in the state that this step needs.
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
