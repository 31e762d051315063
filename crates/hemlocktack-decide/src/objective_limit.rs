//! How many calls may run in an upstream at once, by the time that operators
//! want answers in.

use std::time::{Duration, Instant};

/// Numbers of [`ObjectiveLimit`].
#[derive(Clone, Copy, Debug)]
pub struct ObjectiveLimitPolicy {
    /// Shortest time between two changes.
    pub window: Duration,
    /// Fewest samples that a change may rest on.
    pub window_samples: u32,
    /// Share of the announced slots that are filled: some upstreams slow down by
    /// more than this once they are nearly full.
    pub filled_share: f64,
    /// Share of the objective that must be spent below before the limit is cut:
    /// a chain without a queue spends about this much.
    pub least_below: f64,
    /// Share of the objective that a run may take. The rest is for the way, for
    /// the wait in front of the upstream and for the spread of single runs.
    pub target: f64,
    /// The same as a multiple of what a run takes while nobody waits or next to
    /// nothing is let in, where that is more: such a chain needs half of its
    /// objective by itself, and no limit makes it shorter.
    pub target_of_free_run: f64,
    /// Largest share that a run is let take for that reason: the rest is for the
    /// spread of single runs.
    pub most_target: f64,
    /// Below this share of the target the limit grows while calls wait for it:
    /// far enough from it that the spread of eight runs does not cross both.
    pub grow_below: f64,
    /// Least growth in one window.
    pub growth: f64,
    /// Largest growth in one window, where runs are as much shorter than wanted:
    /// a window lasts as long as a run, and a limit that was cut to its least for
    /// a moment must not hold callers back for long.
    pub most_growth: f64,
    /// Largest cut in one window: what is cut too far costs calls that had room.
    pub least_cut: f64,
    /// Least share of the slots. Below it too few calls finish to notice that
    /// the chain is well again.
    pub least_share: f64,
}

impl Default for ObjectiveLimitPolicy {
    fn default() -> Self {
        ObjectiveLimitPolicy {
            window: Duration::from_millis(100),
            window_samples: 8,
            filled_share: 0.94,
            least_below: 0.2,
            target: 0.5,
            target_of_free_run: 1.25,
            most_target: 0.85,
            grow_below: 0.84,
            growth: 1.15,
            most_growth: 1.5,
            least_cut: 0.4,
            least_share: 0.1,
        }
    }
}

/// A concurrency limit that keeps the runs of root requests within their
/// objectives.
///
/// Load: a deep service that many calls of one request need one after the
/// other. Harm: each call of an upstream above it waits there a little, ten of
/// them add up, the upstream's own slots fill with requests that wait, and all
/// of them are answered late, though the deep service could answer most in
/// time. What runs side by side over what is finished a second is the time that
/// a run takes, so the limit that gives the time wanted is known in one step.
/// Only time spent below falls with the limit: an upstream that is slow itself
/// is as slow with fewer calls, and would lose its slots for nothing.
#[derive(Debug)]
pub(crate) struct ObjectiveLimit {
    policy: ObjectiveLimitPolicy,
    slots: f64,
    limit: f64,
    /// Runs that end from here on have met the last change.
    counted_from: Instant,
    run_secs_sum: f64,
    own_sum: f64,
    below_sum: f64,
    samples: u32,
    most_running: usize,
    is_saturated: bool,
    /// Share of the objective that a run takes while the limit holds nobody up
    /// or next to nothing is let in; zero while that is not known.
    free_run: f64,
}

/// Multiple of the least limit up to which next to nothing is let in.
const NEARLY_LEAST: f64 = 1.5;
/// One window moves what a free run takes by this part of the way.
const FREE_RUN_STEP: f64 = 0.25;

impl ObjectiveLimit {
    pub(crate) fn new(policy: ObjectiveLimitPolicy, slots: u32, now: Instant) -> Self {
        let slots = (f64::from(slots) * policy.filled_share).max(1.0);
        ObjectiveLimit {
            policy,
            slots,
            limit: slots,
            counted_from: now,
            run_secs_sum: 0.0,
            own_sum: 0.0,
            below_sum: 0.0,
            samples: 0,
            most_running: 0,
            is_saturated: false,
            free_run: 0.0,
        }
    }

    pub(crate) fn current(&self) -> u32 {
        self.limit as u32
    }

    /// Calls wait because the limit is reached.
    pub(crate) fn note_saturated(&mut self) {
        self.is_saturated = true;
    }

    /// Calls run side by side.
    pub(crate) fn note_running(&mut self, running: usize) {
        self.most_running = self.most_running.max(running);
    }

    /// Takes in a root request's run that ends now: how long it took, and the
    /// shares of its objective that it took itself and waited for deeper calls.
    ///
    /// After a change one run's time passes before runs count again. To count
    /// those that began after it would count the quick ones first: eight of
    /// ninety that end within a third of the usual time look as if all was well.
    pub(crate) fn observe(&mut self, run: Duration, own: f64, below: f64, now: Instant) {
        if now < self.counted_from {
            return;
        }
        self.run_secs_sum += run.as_secs_f64();
        self.own_sum += own;
        self.below_sum += below;
        self.samples += 1;
        let age = now.saturating_duration_since(self.counted_from);
        if self.samples >= self.policy.window_samples && age >= self.policy.window {
            self.end_window(now);
        }
    }

    /// By how much waits below may grow until they take the share that is left
    /// for them; what runs side by side may grow as much.
    fn growth(&self, left_for_below: f64, below: f64) -> f64 {
        let room = left_for_below / below.max(self.policy.least_below);
        room.clamp(self.policy.growth, self.policy.most_growth)
    }

    fn note_free_run(&mut self, share: f64) {
        let step = if self.free_run > 0.0 {
            FREE_RUN_STEP
        } else {
            1.0
        };
        self.free_run += (share - self.free_run) * step;
    }

    /// Share of the objective that a run may take.
    ///
    /// Load: an overload of a chain that takes more than half of its objective
    /// when nothing waits. Harm: held to half, the limit falls to its least and
    /// stays there, and three of four requests that the chain could serve are
    /// refused for as long as callers press.
    fn target(&self) -> f64 {
        let by_free_run = self.free_run * self.policy.target_of_free_run;
        by_free_run
            .max(self.policy.target)
            .min(self.policy.most_target)
    }

    fn end_window(&mut self, now: Instant) {
        let samples = f64::from(self.samples);
        let (own, below) = (self.own_sum / samples, self.below_sum / samples);
        let least = (self.slots * self.policy.least_share).max(1.0);
        if !self.is_saturated || self.limit <= least * NEARLY_LEAST {
            self.note_free_run(own + below);
        }
        let running = (self.most_running as f64).min(self.limit);
        let waits_below = below > self.policy.least_below;
        let target = self.target();
        let is_short = own + below < target * self.policy.grow_below;
        let limit = if waits_below && own + below > target {
            let wanted_below = (target - own).max(self.policy.least_below);
            running * (wanted_below / below).max(self.policy.least_cut)
        } else if self.is_saturated && (is_short || !waits_below) {
            self.limit * self.growth(target - own, below) + 1.0
        } else {
            self.limit
        };
        let limit = limit.max(least).min(self.slots);
        self.counted_from = now;
        if limit != self.limit {
            self.counted_from += Duration::from_secs_f64(self.run_secs_sum / samples);
        }
        self.limit = limit;
        self.run_secs_sum = 0.0;
        self.own_sum = 0.0;
        self.below_sum = 0.0;
        self.samples = 0;
        self.most_running = 0;
        self.is_saturated = false;
    }
}
