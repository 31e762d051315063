//! What the platform answers, and when it is asked again.

use std::time::{Duration, Instant};

use hemlocktack_protocol::ConfigurationDocument;
use rand::{Rng, RngExt};

use super::settings::ConfigurationSafeguard;
use super::state::{ConfigurationAction, ConfigurationState, PeerView};

/// Longest pause before a watch that follows a refused one: a change is still
/// in force within seconds.
const REWATCH_PAUSE: Duration = Duration::from_secs(2);

impl ConfigurationState {
    /// The platform answered: with a document, or with nothing above what is
    /// in force.
    pub fn platform_answered(
        &mut self,
        now: Instant,
        document: Option<ConfigurationDocument>,
        view: &PeerView,
        rng: &mut impl Rng,
    ) -> Vec<ConfigurationAction> {
        let mut actions = Vec::new();
        if let Some(document) = document {
            self.take(document, &mut actions);
        }
        let pause = self.pause_after_answer(view, rng);
        self.platform.succeed(now, pause);
        self.is_revision_gone = false;
        if self.current.is_some() && !self.is_behind() {
            self.catch_up(&mut actions);
        }
        actions
    }

    /// The platform no longer knows the revision that was watched from: a read
    /// follows at once, and a pause before the next watch.
    pub fn revision_gone(&mut self, now: Instant) {
        self.platform.succeed(now, Duration::ZERO);
        self.is_revision_gone = true;
    }

    /// The platform refused, was out, or its answer was lost.
    pub fn platform_failed(&mut self, now: Instant, rng: &mut impl Rng) {
        self.platform.fail(now, &self.settings, rng);
        let keeps = self.settings.keeps(ConfigurationSafeguard::FailStatic);
        if !keeps {
            self.caught_up = false;
        }
    }

    pub(super) fn ask_platform(
        &mut self,
        now: Instant,
        view: &PeerView,
        actions: &mut Vec<ConfigurationAction>,
    ) {
        let watches = self.watches(view);
        if watches && !self.was_watcher {
            self.platform.hurry(now);
        }
        self.was_watcher = watches;
        if !self.platform.is_due(now) {
            return;
        }
        let wait = watches && self.caught_up && !self.is_revision_gone;
        let timeout = match wait {
            true => self.settings.watch_timeout,
            false => self.settings.read_timeout,
        };
        self.platform.begin(now, timeout);
        let above = self.generation();
        actions.push(ConfigurationAction::ReadPlatform { above, wait });
    }

    fn watches(&self, view: &PeerView) -> bool {
        view.is_watcher && self.settings.keeps(ConfigurationSafeguard::Watchers)
    }

    /// A watcher asks again at once; a starting fleet without any document
    /// asks soon; all others seldom, at times drawn apart. A node that cannot
    /// read the document hears of a newer one from peers as well, and a whole
    /// fleet of an older version must not use up the platform's rates.
    fn pause_after_answer(&self, view: &PeerView, rng: &mut impl Rng) -> Duration {
        if self.is_revision_gone {
            // Where the store forgets faster than a watch follows, reads and
            // refused watches without a pause would use up the node's budget.
            return REWATCH_PAUSE.mul_f64(rng.random_range(0.5..1.0));
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
        let backstop = self.settings.backstop_period;
        backstop.mul_f64(rng.random_range(0.5..1.5))
    }
}
