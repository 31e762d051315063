//! State of this node's upstream, from its announcements.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hemlocktack_protocol::UpstreamState;

/// Timing of an upstream's announcements.
#[derive(Clone, Debug)]
pub struct UpstreamSettings {
    /// Time after which an announcement expires unless it is renewed.
    pub announcement_ttl: Duration,
    /// Time after which a cold upstream counts as warm, unless it reports so earlier.
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

/// Announcement of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// Address of the upstream. Another address means that another process was started.
    pub address: SocketAddr,
    /// Number of calls that it runs concurrently.
    pub slots: u32,
    /// Whether it has only recently started.
    pub is_cold: bool,
    /// Whether it identified itself with another name than before, which means that another process
    /// was started.
    pub is_other_start: bool,
}

/// State of the upstream, from its announcements.
pub(super) struct Upstream {
    settings: UpstreamSettings,
    state: UpstreamState,
    /// Whether the upstream asked for no more calls. Kept separately from the state, because an
    /// expired announcement only means that nothing was received.
    is_leaving: bool,
    address: Option<SocketAddr>,
    pub(super) slots: u32,
    last_renewal: Instant,
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
            last_renewal: now,
            cold_since: now,
        }
    }

    pub(super) fn state(&self) -> UpstreamState {
        self.state
    }

    /// Handles an announcement or its renewal.
    ///
    /// A renewal by a leaving upstream may arrive after its drain, and even after its announcement
    /// expired because the upstream or this node was paused. Treating it as a return would send new
    /// calls to an upstream that is about to stop. A leaving upstream therefore returns only with a
    /// cold start, another name or another address, each of which indicates a new process. A new
    /// name is sufficient, because a process whose first announcement is late is no longer cold:
    /// without that rule its node would refuse all calls for as long as the process runs.
    pub(super) fn announce(
        &mut self,
        now: Instant,
        announcement: Announcement,
        ignore_late_renewals: bool,
    ) {
        self.last_renewal = now;
        let is_other = self
            .address
            .is_some_and(|known| known != announcement.address);
        let is_start = announcement.is_cold || (self.is_leaving && is_other);
        let has_returned = is_start || announcement.is_other_start;
        self.address = Some(announcement.address);
        if ignore_late_renewals && self.is_leaving && !has_returned {
            self.state = UpstreamState::Draining;
            return;
        }
        self.is_leaving = false;
        self.slots = announcement.slots;
        self.state = match (self.state, is_start) {
            (UpstreamState::Cold | UpstreamState::Ready, true) => self.state,
            (_, true) => self.begin_warm_up(now),
            (_, false) => UpstreamState::Ready,
        };
    }

    fn begin_warm_up(&mut self, now: Instant) -> UpstreamState {
        self.cold_since = now;
        UpstreamState::Cold
    }

    /// Marks the upstream as draining. An absent upstream is marked as leaving too, because it may
    /// still renew its announcement before it stops.
    pub(super) fn drain(&mut self) {
        self.is_leaving = true;
        if self.state != UpstreamState::Absent {
            self.state = UpstreamState::Draining;
        }
    }

    pub(super) fn tick(&mut self, now: Instant) {
        let silence = now.saturating_duration_since(self.last_renewal);
        if silence >= self.settings.announcement_ttl {
            self.state = UpstreamState::Absent;
        }
        let warming = now.saturating_duration_since(self.cold_since);
        if self.state == UpstreamState::Cold && warming >= self.settings.warm_up {
            self.state = UpstreamState::Ready;
        }
    }
}
