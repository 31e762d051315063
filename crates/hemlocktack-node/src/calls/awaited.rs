//! Whether anybody still waits for a call.

use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Instant;

use tokio_util::sync::{CancellationToken, DropGuard};

use super::caller_watch::CallerWatch;
use super::send_progress::SendProgress;

/// Tells whether anybody still waits for a call, and whether the call has been started.
#[derive(Clone, Default)]
pub(crate) struct Awaited {
    cancelled: CancellationToken,
    state: Arc<State>,
    /// Connection of the caller, for a call that entered at this node.
    caller: Option<CallerWatch>,
    /// The send of a call that entered at this node.
    send: Option<Arc<SendProgress>>,
}

#[derive(Default)]
struct State {
    started_at: OnceLock<Instant>,
    /// Since when the node that sent the call has no open link to this one.
    sender_away_since: Mutex<Option<Instant>>,
}

impl Awaited {
    /// Returns the state of a call that a caller of this node waits for.
    pub(crate) fn by_caller(caller: Option<CallerWatch>, send: Arc<SendProgress>) -> Self {
        Self {
            caller,
            send: Some(send),
            ..Self::default()
        }
    }

    /// Whether nobody waits any longer.
    fn is_over(&self) -> bool {
        let has_left = || self.caller.as_ref().is_some_and(CallerWatch::has_left);
        self.cancelled.is_cancelled() || has_left()
    }

    /// Records that the node that sent the call has no open link to this one.
    pub(crate) fn sender_left(&self, now: Instant) {
        self.sender_away_since().get_or_insert(now);
    }

    /// Records that the node that sent the call has asked for it over an open link.
    pub(crate) fn sender_returned(&self) {
        *self.sender_away_since() = None;
    }

    /// Returns since when the node that sent the call has no open link to this one.
    pub(crate) fn away_since(&self) -> Option<Instant> {
        *self.sender_away_since()
    }

    fn sender_away_since(&self) -> MutexGuard<'_, Option<Instant>> {
        self.state
            .sender_away_since
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that nobody waits any longer.
    pub(crate) fn cancel(&self) {
        self.cancelled.cancel();
    }

    /// Returns a guard that records that nobody waits any longer when it is dropped.
    pub(crate) fn cancel_on_drop(&self) -> DropGuard {
        self.cancelled.clone().drop_guard()
    }

    /// Returns once nobody waits any longer.
    pub(crate) async fn cancelled(&self) {
        self.cancelled.cancelled().await;
    }

    /// Records that the call is about to be sent to the upstream; returns whether anybody still
    /// waits for it. A sender that is away may return, and is told then that the call did not run.
    pub(crate) fn start(&self) -> bool {
        if self.is_over() || self.away_since().is_some() {
            return false;
        }
        if self.send.as_ref().is_some_and(|send| !send.try_mark_sent()) {
            return false;
        }
        let _ = self.state.started_at.set(Instant::now());
        true
    }

    pub(crate) fn is_started(&self) -> bool {
        self.state.started_at.get().is_some()
    }

    /// Whether the call was started after this time.
    pub(crate) fn was_started_after(&self, time: Instant) -> bool {
        self.state
            .started_at
            .get()
            .is_some_and(|started_at| *started_at > time)
    }
}
