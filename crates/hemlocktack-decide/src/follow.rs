//! The admission follows what the upstream's announcements have come to.

use std::time::Instant;

use hemlocktack_protocol::{Reason, UpstreamState};

use crate::Admission;

impl Admission {
    /// Brings the admission to the state that the upstream's announcements have
    /// come to, whatever they were.
    ///
    /// Failure: an announcement and a drain come at once; each reads the state,
    /// and the announcement, decided before the drain, is carried out after it:
    /// a leaving upstream gets new work. The state is an argument here, to be
    /// read under the lock that orders those events and is held over this call,
    /// so the admission ends where the last of them left the state.
    pub fn sync_upstream_state(
        &mut self,
        upstream: UpstreamState,
        slots: u32,
        connections: u32,
        now: Instant,
    ) {
        match upstream {
            UpstreamState::Cold => self.announced(slots, connections, true, now),
            UpstreamState::Ready => self.announced(slots, connections, false, now),
            UpstreamState::Draining => self.drain(Reason::UpstreamDraining),
            UpstreamState::Absent | UpstreamState::Unspecified => {
                if self.state() != UpstreamState::Absent {
                    self.lost(now);
                }
            }
        }
    }
}
