//! Whether a send may have reached an upstream.

use std::sync::atomic::{AtomicU8, Ordering};

const HELD: u8 = 0;
const LEFT: u8 = 1;
const GIVEN_UP: u8 = 2;

/// How far one send of a call has got. It tells whether a call that is given up before its send
/// has ended can be reported as not run.
///
/// A send leaves when its frame is handed to a link or, on this node itself, when the call is
/// about to be forwarded to the upstream. One that was given up before never leaves.
#[derive(Debug, Default)]
pub(crate) struct SendProgress {
    state: AtomicU8,
}

impl SendProgress {
    /// Records that the send leaves; returns whether it may.
    pub(crate) fn try_leave(&self) -> bool {
        let before = self.change(HELD, LEFT);
        before != GIVEN_UP
    }

    /// Records that the send was taken back before any byte of it was written.
    pub(crate) fn take_back(&self) {
        self.change(LEFT, HELD);
    }

    /// Gives the send up; returns whether it has not left. It never leaves then.
    pub(crate) fn give_up(&self) -> bool {
        let before = self.change(HELD, GIVEN_UP);
        before != LEFT
    }

    /// Replaces one state by another if it is the current one; returns the state before.
    fn change(&self, from: u8, to: u8) -> u8 {
        let changed = self
            .state
            .compare_exchange(from, to, Ordering::AcqRel, Ordering::Acquire);
        changed.unwrap_or_else(|current| current)
    }
}
