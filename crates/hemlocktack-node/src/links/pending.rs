//! Calls that wait for their answers, by the link that they went over.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use hemlocktack_protocol::{Answer, CallId, CallProgress};
use tokio::sync::mpsc;

/// Answers or resolutions that may wait for one call; there are two at most.
pub(super) const EVENTS_A_CALL: usize = 4;

/// What a call that waits is told.
pub(super) enum CallEvent {
    Answer(Answer),
    Resolution(CallProgress),
}

/// Calls that wait on one link.
pub(super) type Pending = Arc<Mutex<HashMap<CallId, mpsc::Sender<CallEvent>>>>;

/// A call that waits; leaving takes it off the list, so that a late answer
/// finds nobody and is dropped.
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

/// Tells a call; one that nobody waits for any more is dropped.
pub(super) fn settle(pending: &Pending, call_id: CallId, event: CallEvent) {
    let waiting = pending
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .get(&call_id)
        .cloned();
    if let Some(events) = waiting {
        let _ = events.try_send(event);
    }
}
