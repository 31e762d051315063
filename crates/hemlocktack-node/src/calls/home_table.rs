//! What a home remembers of its tickets, and who waits for their ends.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use hemlocktack_fleet::NodeIncarnation;
use hemlocktack_fleet::tickets::{
    Nonce, StartDecision, TableLimits, Ticket, TicketOutcome, TicketTable,
};
use hemlocktack_protocol::{Answer, Fingerprint, Outcome};
use tokio::sync::watch;

use super::ends::{not_run_answer, unknown_answer};

/// Kept answers dropped at once when the operators lower their memory.
const SHRINK_STEP_BYTES: usize = 64 << 10;

pub(super) type EndReceiver = watch::Receiver<Option<Arc<Answer>>>;

/// Tickets that this node start is home of, and who waits for their ends.
pub(crate) struct TicketHome {
    table: Mutex<TicketTable>,
    ends: Mutex<HashMap<Nonce, watch::Sender<Option<Arc<Answer>>>>>,
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
            ends: Mutex::default(),
        }
    }

    pub(crate) fn table(&self) -> MutexGuard<'_, TicketTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the memory for answers.
    ///
    /// Failure: with a much smaller budget, a hundred thousand answers are
    /// dropped under the lock that every call with a ticket takes; bookings
    /// stall for a configuration change. In steps of a few answers the lock is
    /// free in between.
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

    fn ends(&self) -> MutexGuard<'_, HashMap<Nonce, watch::Sender<Option<Arc<Answer>>>>> {
        self.ends.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Decides on a call with a ticket and finds the end to wait for. Both
    /// under one lock: an end between them would leave a joiner waiting.
    pub(super) fn start(
        &self,
        ticket: &Ticket,
        fingerprint: Fingerprint,
    ) -> (StartDecision, Option<EndReceiver>) {
        let mut ends = self.ends();
        let start = self.table().start(ticket, fingerprint);
        let end = match start {
            StartDecision::Run => {
                let (sender, receiver) = watch::channel(None);
                ends.insert(ticket.nonce, sender);
                Some(receiver)
            }
            StartDecision::Join => ends.get(&ticket.nonce).map(watch::Sender::subscribe),
            _ => None,
        };
        (start, end)
    }

    /// Records the end for good and tells everyone who waits for it.
    pub(super) fn end(&self, nonce: Nonce, answer: Answer) {
        let mut answer = Arc::new(answer);
        let mut ends = self.ends();
        let recorded = match answer.outcome() {
            Outcome::Answered => self.table().record_answer(nonce, answer.clone()),
            Outcome::NotRun => self.table().refuse(nonce, answer.reason()),
            Outcome::Unknown | Outcome::Unspecified => {
                self.table().record_unknown(nonce, answer.reason())
            }
        };
        // The freeze of a handover fenced it while it waited: the successor
        // says so too, and both must say the same.
        if recorded.is_err() {
            answer = Arc::new(match self.table().outcome_of(nonce) {
                Some(TicketOutcome::NotRun(reason)) => not_run_answer(reason, None),
                _ => unknown_answer(answer.reason()),
            });
        }
        if let Some(waiting) = ends.remove(&nonce) {
            waiting.send_replace(Some(answer));
        }
    }
}
