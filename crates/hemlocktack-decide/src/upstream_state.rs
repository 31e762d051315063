//! Synchronizes the admission with the state of its upstream.

use std::time::Instant;

use hemlocktack_protocol::{Reason, UpstreamState};

use crate::Admission;

impl Admission {
    /// Sets the admission to the current state of the upstream, whatever events led to it.
    ///
    /// An announcement and a drain may arrive at the same time. If each read the state and then
    /// applied its own event, the announcement could be applied after the drain, and an upstream
    /// that is leaving would get new calls. The caller therefore reads the state under the lock
    /// that orders these events and holds that lock during this call, so that the admission ends
    /// in the latest state.
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
