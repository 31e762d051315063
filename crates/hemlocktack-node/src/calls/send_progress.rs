//! Whether a send may have reached an upstream.

use std::sync::atomic::{AtomicU8, Ordering};

/// Nothing of it has been handed on, and it still may be.
const NOT_SENT: u8 = 0;
/// It may have reached an upstream.
const SENT: u8 = 1;
/// It never reaches one.
const ABANDONED: u8 = 2;

/// How far one send of a call has got. It tells whether a call that is given up before its send
/// has ended can be reported as not run.
///
/// A send counts as sent when its frame is handed to a link or, on this node itself, when the call
/// is about to be forwarded to the upstream. One that was abandoned before never is.
#[derive(Debug, Default)]
pub(crate) struct SendProgress {
    state: AtomicU8,
}

impl SendProgress {
    /// Marks the send as sent; returns whether it may be.
    pub(crate) fn try_mark_sent(&self) -> bool {
        let before = self.change(NOT_SENT, SENT);
        before != ABANDONED
    }

    /// Records that no byte of the send was written.
    pub(crate) fn mark_unsent(&self) {
        self.change(SENT, NOT_SENT);
    }

    /// Abandons the send; returns whether it has not been sent, and then it never is.
    pub(crate) fn abandon(&self) -> bool {
        let before = self.change(NOT_SENT, ABANDONED);
        before != SENT
    }

    /// Replaces one state by another if it is the current one; returns the state before.
    fn change(&self, from: u8, to: u8) -> u8 {
        let changed = self
            .state
            .compare_exchange(from, to, Ordering::AcqRel, Ordering::Acquire);
        changed.unwrap_or_else(|current| current)
    }
}
