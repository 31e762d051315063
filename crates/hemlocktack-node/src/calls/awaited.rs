//! Whether anybody still waits for a call.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use tokio_util::sync::CancellationToken;

/// Tells whether anybody still waits for a call, and whether the call has been started.
#[derive(Clone, Default)]
pub(crate) struct Awaited {
    cancelled: CancellationToken,
    is_started: Arc<AtomicBool>,
}

impl Awaited {
    /// Records that nobody waits any longer.
    pub(crate) fn cancel(&self) {
        self.cancelled.cancel();
    }

    /// Returns once nobody waits any longer.
    pub(crate) async fn cancelled(&self) {
        self.cancelled.cancelled().await;
    }

    /// Records that the call is about to be sent to the upstream; returns whether anybody still
    /// waits for it.
    pub(crate) fn start(&self) -> bool {
        if self.cancelled.is_cancelled() {
            return false;
        }
        self.is_started.store(true, Ordering::Release);
        true
    }

    pub(crate) fn is_started(&self) -> bool {
        self.is_started.load(Ordering::Acquire)
    }
}
