//! A send that is counted in the load of its peer.

use std::time::Instant;

use hemlocktack_decide::PeerLoad;
use hemlocktack_protocol::{Answer, Outcome, Reason};

use super::service_directory::PeerEntry;

/// A send in progress; its end is reported to the peer's load even if nobody waits for it any
/// longer.
pub(super) struct InFlightSend<'a> {
    load: &'a PeerLoad,
    is_open: bool,
}

impl<'a> InFlightSend<'a> {
    pub(super) fn begin(peer: &'a PeerEntry) -> Self {
        let load = peer.as_ref();
        load.sent(Instant::now());
        Self {
            load,
            is_open: true,
        }
    }

    pub(super) fn finish(mut self, answer: &Answer) {
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

impl Drop for InFlightSend<'_> {
    fn drop(&mut self) {
        if self.is_open {
            self.load.abandoned();
        }
    }
}
