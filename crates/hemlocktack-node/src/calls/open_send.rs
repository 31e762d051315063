//! One send of a call as its peer's load counts it.

use std::time::Instant;

use hemlocktack_decide::PeerLoad;
use hemlocktack_protocol::{Answer, Outcome, Reason};

use super::service_directory::PeerEntry;

/// A send whose end its peer's load is told, also where nobody waits for it any
/// more.
pub(super) struct OpenSend<'a> {
    load: &'a PeerLoad,
    is_open: bool,
}

impl<'a> OpenSend<'a> {
    pub(super) fn begin(peer: &'a PeerEntry) -> Self {
        let load = peer.as_ref();
        load.sent(Instant::now());
        Self {
            load,
            is_open: true,
        }
    }

    pub(super) fn end(mut self, answer: &Answer) {
        self.is_open = false;
        let now = Instant::now();
        match (answer.outcome(), &answer.hint) {
            (Outcome::Answered, Some(hint)) => self.load.answered(hint, now),
            (Outcome::NotRun, hint) if answer.reason() != Reason::LinkLost => {
                self.load.refused(answer.reason(), hint.as_ref(), now);
            }
            _ => self.load.failed(now),
        }
    }
}

impl Drop for OpenSend<'_> {
    fn drop(&mut self) {
        if self.is_open {
            self.load.abandoned();
        }
    }
}
