//! Tickets that a node is the home of, and the tasks that wait for their outcomes.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use hemlocktack_fleet::NodeIncarnation;
use hemlocktack_fleet::tickets::{
    Nonce, StartDecision, TableLimits, Ticket, TicketOutcome, TicketTable,
};
use hemlocktack_protocol::{Answer, Fingerprint, Outcome};
use tokio::sync::watch;

use super::outcomes::{not_run_answer, unknown_answer};

/// Bytes of kept answers dropped per step when operators lower their memory limit.
const SHRINK_STEP_BYTES: usize = 64 << 10;

pub(super) type OutcomeReceiver = watch::Receiver<Option<Arc<Answer>>>;

/// Tickets that this node incarnation is the home of, and the tasks that wait for outcomes.
pub(crate) struct TicketHome {
    table: Mutex<TicketTable>,
    outcome_senders: Mutex<HashMap<Nonce, watch::Sender<Option<Arc<Answer>>>>>,
}

impl TicketHome {
    pub(crate) fn new(identity: &NodeIncarnation) -> Self {
        let table = TicketTable::new(
            identity.node_id.clone(),
            identity.incarnation,
            TableLimits::default(),
        );
        Self {
            table: Mutex::new(table),
            outcome_senders: Mutex::default(),
        }
    }

    pub(crate) fn table(&self) -> MutexGuard<'_, TicketTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the memory limit for kept answers.
    ///
    /// Works in steps of a few answers and releases the lock in between. Dropping a hundred
    /// thousand answers at once, after the limit was lowered by a lot, would stall bookings:
    /// every call with a ticket takes this lock.
    pub(crate) fn set_kept_answer_bytes(&self, target_bytes: usize) {
        loop {
            let mut table = self.table();
            let step_bytes = table.kept_answer_bytes().saturating_sub(SHRINK_STEP_BYTES);
            table.set_kept_answer_bytes(step_bytes.max(target_bytes));
            if step_bytes <= target_bytes {
                return;
            }
        }
    }

    fn outcome_senders(
        &self,
    ) -> MutexGuard<'_, HashMap<Nonce, watch::Sender<Option<Arc<Answer>>>>> {
        self.outcome_senders
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Decides on a call with a ticket and returns the outcome to wait for. Both happen under
    /// one lock: an outcome recorded in between would leave a joining call waiting.
    pub(super) fn start(
        &self,
        ticket: &Ticket,
        fingerprint: Fingerprint,
    ) -> (StartDecision, Option<OutcomeReceiver>) {
        let mut outcome_senders = self.outcome_senders();
        let start = self.table().start(ticket, fingerprint);
        let end = match start {
            StartDecision::Run => {
                let (sender, receiver) = watch::channel(None);
                outcome_senders.insert(ticket.nonce, sender);
                Some(receiver)
            }
            StartDecision::Join => outcome_senders
                .get(&ticket.nonce)
                .map(watch::Sender::subscribe),
            _ => None,
        };
        (start, end)
    }

    /// Records the final outcome of a ticket and notifies every task that waits for it.
    pub(super) fn record_outcome(&self, nonce: Nonce, answer: Answer) {
        let mut answer = Arc::new(answer);
        let mut outcome_senders = self.outcome_senders();
        let recorded = match answer.outcome() {
            Outcome::Answered => self.table().record_answer(nonce, answer.clone()),
            Outcome::NotRun => self.table().refuse(nonce, answer.reason()),
            Outcome::Unknown | Outcome::Unspecified => {
                self.table().record_unknown(nonce, answer.reason())
            }
        };
        // A handover froze the table and fenced the ticket while the call waited. The
        // successor reports it as fenced, and both must report the same.
        if recorded.is_err() {
            answer = Arc::new(match self.table().outcome_of(nonce) {
                Some(TicketOutcome::NotRun(reason)) => not_run_answer(reason, None),
                _ => unknown_answer(answer.reason()),
            });
        }
        if let Some(waiting) = outcome_senders.remove(&nonce) {
            waiting.send_replace(Some(answer));
        }
    }
}
