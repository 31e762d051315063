//! What the upstream beside this node last said of itself.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hemlocktack_protocol::UpstreamState;

/// Periods of an upstream's announcements.
#[derive(Clone, Debug)]
pub struct UpstreamSettings {
    /// An announcement that is not renewed for so long has lapsed.
    pub announcement_ttl: Duration,
    /// A cold upstream counts as warm after this time, if it does not say so
    /// itself before.
    pub warm_up: Duration,
}

impl Default for UpstreamSettings {
    fn default() -> Self {
        Self {
            announcement_ttl: Duration::from_secs(3),
            warm_up: Duration::from_secs(30),
        }
    }
}

/// What an upstream announces of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// Where it is reached; another one is another start.
    pub address: SocketAddr,
    /// Calls that it runs side by side.
    pub slots: u32,
    /// It has started a short while ago.
    pub is_cold: bool,
    /// It has named itself, and by another name than before: another start.
    pub is_other_start: bool,
}

/// State of the upstream, by its announcements.
pub(super) struct Upstream {
    settings: UpstreamSettings,
    state: UpstreamState,
    /// It said that it takes no more work. Kept apart from the state: a lapse
    /// says only that nothing was heard.
    is_leaving: bool,
    address: Option<SocketAddr>,
    pub(super) slots: u32,
    renewed: Instant,
    cold_since: Instant,
}

impl Upstream {
    pub(super) fn new(settings: UpstreamSettings, now: Instant) -> Self {
        Self {
            settings,
            state: UpstreamState::Absent,
            is_leaving: false,
            address: None,
            slots: 0,
            renewed: now,
            cold_since: now,
        }
    }

    pub(super) fn state(&self) -> UpstreamState {
        self.state
    }

    /// Takes an announcement or its renewal.
    ///
    /// A leaving upstream's renewal may come after its drain, and after a lapse
    /// when it or the node was paused; were it taken for a return, new work
    /// would go to an upstream that is about to stop. So only a cold start,
    /// another name or another address, which is another start whatever it
    /// says, ends leaving. Names count on their own: a start that is heard of
    /// late is no longer cold, and without them its node would refuse all calls
    /// for as long as it lives.
    pub(super) fn announce(&mut self, now: Instant, announcement: Announcement, guards: bool) {
        self.renewed = now;
        let is_other = self
            .address
            .is_some_and(|known| known != announcement.address);
        let is_start = announcement.is_cold || (self.is_leaving && is_other);
        let has_returned = is_start || announcement.is_other_start;
        self.address = Some(announcement.address);
        if guards && self.is_leaving && !has_returned {
            self.state = UpstreamState::Draining;
            return;
        }
        self.is_leaving = false;
        self.slots = announcement.slots;
        self.state = match (self.state, is_start) {
            (UpstreamState::Cold | UpstreamState::Ready, true) => self.state,
            (_, true) => self.begin_cold(now),
            (_, false) => UpstreamState::Ready,
        };
    }

    fn begin_cold(&mut self, now: Instant) -> UpstreamState {
        self.cold_since = now;
        UpstreamState::Cold
    }

    /// Also one that is absent now may be heard of again before it has stopped.
    pub(super) fn drain(&mut self) {
        self.is_leaving = true;
        if self.state != UpstreamState::Absent {
            self.state = UpstreamState::Draining;
        }
    }

    pub(super) fn tick(&mut self, now: Instant) {
        let silence = now.saturating_duration_since(self.renewed);
        if silence >= self.settings.announcement_ttl {
            self.state = UpstreamState::Absent;
        }
        let warming = now.saturating_duration_since(self.cold_since);
        if self.state == UpstreamState::Cold && warming >= self.settings.warm_up {
            self.state = UpstreamState::Ready;
        }
    }
}
