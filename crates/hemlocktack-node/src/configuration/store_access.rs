//! What this node knows of its access to the platform's store, for metrics.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use hemlocktack_platform::StoreRevision;

/// Result of the reads and watches of the configuration so far.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StoreAccessSnapshot {
    pub(crate) is_watching: bool,
    /// When the store last answered; `None` before the first answer.
    pub(crate) answered_at: Option<Instant>,
    /// Revision from which this node would watch next.
    pub(crate) revision: StoreRevision,
    pub(crate) failed_count: u64,
}

/// Shared between the task that follows the configuration and the metrics.
#[derive(Debug, Default)]
pub(crate) struct StoreAccess {
    seen: Mutex<StoreAccessSnapshot>,
}

impl StoreAccess {
    /// Returns the current values.
    pub(crate) fn snapshot(&self) -> StoreAccessSnapshot {
        *self.lock()
    }

    /// Sets whether this node watches; returns whether that has changed.
    pub(crate) fn set_watching(&self, is_watching: bool) -> bool {
        let mut seen = self.lock();
        std::mem::replace(&mut seen.is_watching, is_watching) != is_watching
    }

    /// Records an answer of the store.
    pub(crate) fn answered(&self, revision: StoreRevision) {
        let mut seen = self.lock();
        seen.answered_at = Some(Instant::now());
        seen.revision = revision;
    }

    /// Records a read or a watch without a valid answer.
    pub(crate) fn failed(&self) {
        self.lock().failed_count += 1;
    }

    fn lock(&self) -> MutexGuard<'_, StoreAccessSnapshot> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
