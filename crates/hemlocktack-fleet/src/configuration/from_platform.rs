//! Answers of the platform, and the delay before the next call.

use std::time::{Duration, Instant};

use hemlocktack_protocol::ConfigurationDocument;
use rand::{Rng, RngExt};

use super::settings::ConfigurationSafeguard;
use super::state::{ConfigurationAction, ConfigurationState, PeerView};

/// Delay before the next watch after two in a row were refused or broke; doubles with each further
/// one.
const FIRST_REWATCH_DELAY: Duration = Duration::from_millis(250);
/// Maximum of that delay. Half of the time within which a change becomes active.
const MAX_REWATCH_DELAY: Duration = Duration::from_secs(1);
/// Minimum time between reads because of a new era, in case each answer names another one.
const MIN_RETURN_INTERVAL: Duration = Duration::from_secs(1);

impl ConfigurationState {
    /// Handles an answer of the platform: a document, or `None` if nothing is newer than the active
    /// generation.
    pub fn platform_answered(
        &mut self,
        now: Instant,
        document: Option<ConfigurationDocument>,
        view: &PeerView,
        rng: &mut impl Rng,
    ) -> Vec<ConfigurationAction> {
        let mut actions = Vec::new();
        if let Some(document) = document {
            self.apply_if_newer(document, &mut actions);
        }
        if std::mem::take(&mut self.is_watch_outstanding) {
            self.broken_watches = 0;
        }
        let delay = self.delay_after_answer(view, rng);
        self.platform.record_success(now, delay);
        self.must_read = false;
        if self.current.is_some() && !self.is_behind() {
            self.catch_up(&mut actions);
        }
        actions
    }

    /// Handles that the platform no longer knows the revision that the watch started from. A read
    /// follows at once.
    pub fn revision_gone(&mut self, now: Instant) {
        self.record_broken_watch();
        self.platform.record_success(now, Duration::ZERO);
    }

    /// Handles that the outstanding watch was given up because its answer may be lost. A read
    /// follows at once.
    pub fn watch_given_up(&mut self, now: Instant) {
        self.is_watch_outstanding = false;
        self.must_read = true;
        self.platform.record_success(now, Duration::ZERO);
    }

    /// Handles that the platform's store has come back from a copy, as the answer to any call of
    /// this node says. A read follows, also while a call is outstanding, whose answer then counts
    /// no longer.
    pub fn store_returned(&mut self, now: Instant) {
        let earliest = self.last_return.map(|last| last + MIN_RETURN_INTERVAL);
        let next = earliest.map_or(now, |earliest| earliest.max(now));
        let pending_read = self.platform.planned().filter(|_| self.must_read);
        let next = pending_read.map_or(next, |planned| planned.min(next));
        self.last_return = Some(next);
        self.platform.reschedule(next);
        self.is_watch_outstanding = false;
        self.must_read = true;
        self.broken_watches = 0;
    }

    /// Records the end of a watch without an answer.
    ///
    /// What the failure was is not known for certain: the store may have been replaced by a copy
    /// that gives the revision of the watch to another content, so a read precedes the next watch.
    pub(super) fn record_broken_watch(&mut self) {
        if std::mem::take(&mut self.is_watch_outstanding) {
            self.must_read = true;
            self.broken_watches = self.broken_watches.saturating_add(1);
        }
    }

    /// Handles a failed platform call: refused, unavailable, or its answer lost.
    pub fn platform_failed(&mut self, now: Instant, rng: &mut impl Rng) {
        self.record_platform_failure(now, rng);
        let keeps_configuration = self.settings.is_enabled(ConfigurationSafeguard::FailStatic);
        if !keeps_configuration {
            self.caught_up = false;
        }
    }

    pub(super) fn record_platform_failure(&mut self, now: Instant, rng: &mut impl Rng) {
        self.record_broken_watch();
        self.platform.record_failure(now, &self.settings, rng);
        if self.caught_up && !self.was_watcher {
            self.poll_later(now, rng);
        }
    }

    pub(super) fn read_platform(
        &mut self,
        now: Instant,
        view: &PeerView,
        actions: &mut Vec<ConfigurationAction>,
        rng: &mut impl Rng,
    ) {
        let watches = self.watches(view);
        if watches && !self.was_watcher {
            self.platform.schedule_now(now);
            self.must_read = true;
        }
        if !watches && self.was_watcher && self.caught_up {
            self.poll_later(now, rng);
        }
        self.was_watcher = watches;
        if !self.platform.is_due(now) {
            return;
        }
        let wait = watches && self.caught_up && !self.must_read;
        let timeout = match wait {
            true => self.settings.watch_timeout,
            false => self.settings.read_timeout,
        };
        self.platform.record_start(now, timeout);
        self.is_watch_outstanding = wait;
        let above = self.generation();
        actions.push(ConfigurationAction::ReadPlatform { above, wait });
    }

    /// Makes the next call as late as the polls of a node that does not watch. Without this, each
    /// node that the store has refused would go on calling it, although others watch.
    fn poll_later(&mut self, now: Instant, rng: &mut impl Rng) {
        let delay = self.poll_delay(rng);
        self.platform.schedule_not_before(now + delay);
    }

    fn poll_delay(&self, rng: &mut impl Rng) -> Duration {
        let interval = self.settings.poll_interval;
        interval.mul_f64(rng.random_range(0.5..1.5))
    }

    fn watches(&self, view: &PeerView) -> bool {
        view.is_watcher && self.settings.is_enabled(ConfigurationSafeguard::Watchers)
    }

    /// Returns the delay before the next platform call after an answer.
    ///
    /// A watcher calls again at once. A starting node calls again soon as long as there is no
    /// document at all. All others poll seldom, at randomised times. A node that cannot read the
    /// newest document polls slowly as well: it also learns of a newer one from its peers, and a
    /// whole fleet of an older version must not use up the platform's rate limit.
    fn delay_after_answer(&self, view: &PeerView, rng: &mut impl Rng) -> Duration {
        if self.must_read && self.broken_watches > 1 {
            return rewatch_delay(self.broken_watches, rng);
        }
        if self.watches(view) && self.caught_up {
            return Duration::ZERO;
        }
        if !self.caught_up && self.is_behind() {
            return self
                .settings
                .backoff_limit
                .mul_f64(rng.random_range(0.5..1.0));
        }
        if !self.caught_up {
            return self.settings.backoff_base;
        }
        self.poll_delay(rng)
    }
}

/// Returns the delay before a watch that follows on several broken ones.
///
/// If the store discards revisions faster than watches follow, or breaks each watch, reads and
/// watches without a delay would use up the node's budget of platform calls.
fn rewatch_delay(broken_watches: u32, rng: &mut impl Rng) -> Duration {
    const MAX_DOUBLINGS: u32 = 8;
    let doublings = broken_watches.saturating_sub(2).min(MAX_DOUBLINGS);
    let delay = FIRST_REWATCH_DELAY * 2u32.pow(doublings);
    delay
        .min(MAX_REWATCH_DELAY)
        .mul_f64(rng.random_range(0.5..1.0))
}
