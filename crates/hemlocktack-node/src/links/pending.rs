//! Calls that wait for their answers, per link.

use hemlocktack_protocol::{Answer, CallId, CallProgress};
use tokio::sync::mpsc;

use super::registry::Registry;

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
pub(super) type Pending = Registry<mpsc::Sender<CallEvent>>;

/// Delivers an event to a waiting call; drops it if nobody waits any longer. Returns whether
/// somebody does.
pub(super) fn deliver(pending: &Pending, call_id: CallId, event: CallEvent) -> bool {
    let waiting = pending.lock().get(&call_id).cloned();
    waiting.is_some_and(|events| events.try_send(event).is_ok())
}
