//! Whether anybody still waits for a call.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Instant;

use tokio_util::sync::CancellationToken;

use super::caller_watch::CallerWatch;

/// Tells whether anybody still waits for a call, and whether the call has been started.
#[derive(Clone, Default)]
pub(crate) struct Awaited {
    cancelled: CancellationToken,
    started_at: Arc<OnceLock<Instant>>,
    /// The node that sent the call has no open link to this one.
    is_sender_away: Arc<AtomicBool>,
    /// Connection of the caller, for a call that entered at this node.
    caller: Option<CallerWatch>,
}

impl Awaited {
    /// Returns the state of a call that a caller of this node waits for.
    pub(crate) fn by_caller(caller: Option<CallerWatch>) -> Self {
        Self {
            caller,
            ..Self::default()
        }
    }

    /// Whether nobody waits any longer.
    pub(crate) fn is_over(&self) -> bool {
        let has_left = || self.caller.as_ref().is_some_and(CallerWatch::has_left);
        self.cancelled.is_cancelled() || has_left()
    }

    /// Records whether the node that sent the call has an open link to this one.
    pub(crate) fn set_sender_away(&self, is_away: bool) {
        self.is_sender_away.store(is_away, Ordering::Release);
    }

    pub(crate) fn is_sender_away(&self) -> bool {
        self.is_sender_away.load(Ordering::Acquire)
    }

    /// Records that nobody waits any longer.
    pub(crate) fn cancel(&self) {
        self.cancelled.cancel();
    }

    /// Returns once nobody waits any longer.
    pub(crate) async fn cancelled(&self) {
        self.cancelled.cancelled().await;
    }

    /// Records that the call is about to be sent to the upstream; returns whether anybody still
    /// waits for it. A sender that is away may return, and is told then that the call did not run.
    pub(crate) fn start(&self) -> bool {
        if self.is_over() || self.is_sender_away() {
            return false;
        }
        let _ = self.started_at.set(Instant::now());
        true
    }

    pub(crate) fn is_started(&self) -> bool {
        self.started_at.get().is_some()
    }

    /// Whether the call was started after this time.
    pub(crate) fn was_started_after(&self, time: Instant) -> bool {
        self.started_at
            .get()
            .is_some_and(|started_at| *started_at > time)
    }
}
