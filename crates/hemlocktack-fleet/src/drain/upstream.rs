//! What the upstream beside this node last said of itself.

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
    /// Calls that it runs side by side.
    pub slots: u32,
    /// It has started a short while ago.
    pub is_cold: bool,
}

/// State of the upstream, by its announcements.
pub(super) struct Upstream {
    settings: UpstreamSettings,
    state: UpstreamState,
    pub(super) slots: u32,
    renewed: Instant,
    cold_since: Instant,
}

impl Upstream {
    pub(super) fn new(settings: UpstreamSettings, now: Instant) -> Self {
        Self {
            settings,
            state: UpstreamState::Absent,
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
    /// A draining upstream's last renewal may come after its drain; were it
    /// taken for a return, new work would go to an upstream that is about to
    /// stop. So only a cold start ends a drain, or a lapse.
    pub(super) fn announce(&mut self, now: Instant, announcement: Announcement, guards: bool) {
        self.renewed = now;
        if guards && self.state == UpstreamState::Draining && !announcement.is_cold {
            return;
        }
        self.slots = announcement.slots;
        self.state = match (self.state, announcement.is_cold) {
            (UpstreamState::Cold | UpstreamState::Ready, true) => self.state,
            (_, true) => self.begin_cold(now),
            (_, false) => UpstreamState::Ready,
        };
    }

    fn begin_cold(&mut self, now: Instant) -> UpstreamState {
        self.cold_since = now;
        UpstreamState::Cold
    }

    pub(super) fn drain(&mut self) {
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
