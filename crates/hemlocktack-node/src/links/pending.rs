//! Calls that wait for their answers, per link.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use hemlocktack_protocol::{Answer, CallId, CallProgress};
use tokio::sync::mpsc;

/// Capacity of a call's event channel; there are at most three events per call and connection.
pub(super) const EVENTS_PER_CALL: usize = 6;

/// Event that a waiting call receives.
pub(super) enum CallEvent {
    Answer(Answer),
    Resolution(CallProgress),
    /// The receiver asks for the body that was left out of the call.
    BodyRequested,
}

/// Event channels of the calls that wait on one link.
pub(super) type Pending = Arc<Mutex<HashMap<CallId, mpsc::Sender<CallEvent>>>>;

/// Registration of a waiting call. Dropping it removes the call, so that a late answer is
/// discarded.
pub(super) struct PendingCall {
    pending: Pending,
    pub(super) call_id: CallId,
}

impl PendingCall {
    pub(super) fn register(
        pending: &Pending,
        call_id: CallId,
        events: mpsc::Sender<CallEvent>,
    ) -> Self {
        pending
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(call_id, events);
        Self {
            pending: pending.clone(),
            call_id,
        }
    }
}

impl Drop for PendingCall {
    fn drop(&mut self) {
        self.pending
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(&self.call_id);
    }
}

/// Delivers an event to a waiting call; drops it if nobody waits any longer. Returns whether
/// somebody does.
pub(super) fn deliver(pending: &Pending, call_id: CallId, event: CallEvent) -> bool {
    let waiting = pending
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .get(&call_id)
        .cloned();
    waiting.is_some_and(|events| events.try_send(event).is_ok())
}
