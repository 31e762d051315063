//! Adaptive limit on the calls that run in an upstream at once, derived from the operators'
//! latency objectives.

use std::time::{Duration, Instant};

/// Parameters of [`ObjectiveLimit`].
#[derive(Clone, Copy, Debug)]
pub struct ObjectiveLimitPolicy {
    /// Minimum time between two changes.
    pub window: Duration,
    /// Minimum samples for a change.
    pub window_samples: u32,
    /// Share of the announced slots that is used: some upstreams slow down by more than the
    /// remainder when they are nearly full.
    pub usable_slot_share: f64,
    /// Share of the objective that must be spent waiting for child calls before the limit is
    /// cut: a chain without queues spends about this much.
    pub min_child_share: f64,
    /// Target share of the objective for a run. The rest covers transport, queueing in front of
    /// the upstream and the variance of single runs.
    pub target: f64,
    /// The target is at least this multiple of an unloaded run (one measured while no call waits
    /// or while the limit is near its minimum): a chain may need half of its objective by
    /// itself, and no limit makes it faster.
    pub unloaded_run_factor: f64,
    /// Maximum target share allowed by `unloaded_run_factor`: the rest covers the variance of
    /// single runs.
    pub max_target_share: f64,
    /// The limit grows while calls wait for it and runs take less than this share of the target:
    /// low enough that the variance of eight runs does not cross both thresholds.
    pub grow_below: f64,
    /// Minimum growth in one window.
    pub min_growth: f64,
    /// Maximum growth in one window, used when runs are correspondingly shorter than the target:
    /// a window lasts as long as a run, and a limit briefly cut to its minimum must not hold
    /// callers back for long.
    pub max_growth: f64,
    /// Minimum factor of a cut in one window: an excessive cut refuses calls for which there was
    /// capacity.
    pub min_cut_factor: f64,
    /// Minimum share of the slots. Below it too few calls finish to notice that the chain has
    /// recovered.
    pub min_share: f64,
}

impl Default for ObjectiveLimitPolicy {
    fn default() -> Self {
        ObjectiveLimitPolicy {
            window: Duration::from_millis(100),
            window_samples: 8,
            usable_slot_share: 0.94,
            min_child_share: 0.2,
            target: 0.5,
            unloaded_run_factor: 1.25,
            max_target_share: 0.85,
            grow_below: 0.84,
            min_growth: 1.15,
            max_growth: 1.5,
            min_cut_factor: 0.4,
            min_share: 0.1,
        }
    }
}

/// A concurrency limit that keeps the runs of root requests within their objectives.
///
/// If many calls of one request go to the same deep service in sequence and it is full, each
/// waits there a little. Ten such waits add up, the slots of the upstream above fill with
/// waiting requests, and all of them are answered late although the deep service could answer
/// most in time. By Little's law, run time is concurrency divided by throughput, so the limit
/// for the wanted run time follows in one step. Only the time spent in child calls falls with
/// the limit: an upstream that is slow itself is just as slow with fewer calls and would lose
/// slots for nothing.
#[derive(Debug)]
pub(crate) struct ObjectiveLimit {
    policy: ObjectiveLimitPolicy,
    slots: f64,
    limit: f64,
    /// Runs that end after this time reflect the last change.
    measured_from: Instant,
    run_secs_sum: f64,
    own_sum: f64,
    child_sum: f64,
    samples: u32,
    max_running: usize,
    is_saturated: bool,
    /// Share of the objective taken by a run while the limit delays no calls or is near its
    /// minimum; zero while unknown.
    unloaded_run: f64,
}

/// The limit counts as near its minimum up to this multiple of the minimum.
const NEAR_MIN_FACTOR: f64 = 1.5;
/// Weight of one window in the estimate of an unloaded run.
const UNLOADED_RUN_WEIGHT: f64 = 0.25;

impl ObjectiveLimit {
    pub(crate) fn new(policy: ObjectiveLimitPolicy, slots: u32, now: Instant) -> Self {
        let slots = (f64::from(slots) * policy.usable_slot_share).max(1.0);
        ObjectiveLimit {
            policy,
            slots,
            limit: slots,
            measured_from: now,
            run_secs_sum: 0.0,
            own_sum: 0.0,
            child_sum: 0.0,
            samples: 0,
            max_running: 0,
            is_saturated: false,
            unloaded_run: 0.0,
        }
    }

    pub(crate) fn current(&self) -> u32 {
        self.limit as u32
    }

    /// Records that calls wait because the limit is reached.
    pub(crate) fn mark_saturated(&mut self) {
        self.is_saturated = true;
    }

    /// Records the current number of running calls.
    pub(crate) fn note_running(&mut self, running: usize) {
        self.max_running = self.max_running.max(running);
    }

    /// Records a finished run of a root request: its duration and the shares of its objective
    /// spent on its own work and waiting for child calls.
    ///
    /// After a change, samples are taken only once the mean duration of a run has passed.
    /// Counting the runs that started after the change would count the short ones first: eight
    /// of ninety that end within a third of the usual time look as if there were no problem.
    pub(crate) fn observe(&mut self, run: Duration, own: f64, child: f64, now: Instant) {
        if now < self.measured_from {
            return;
        }
        self.run_secs_sum += run.as_secs_f64();
        self.own_sum += own;
        self.child_sum += child;
        self.samples += 1;
        let age = now.saturating_duration_since(self.measured_from);
        if self.samples >= self.policy.window_samples && age >= self.policy.window {
            self.end_window(now);
        }
    }

    /// Returns the factor by which the waits for child calls may grow until they use up
    /// `child_allowance`; concurrency may grow by the same factor.
    fn growth_factor(&self, child_allowance: f64, child: f64) -> f64 {
        let room = child_allowance / child.max(self.policy.min_child_share);
        room.clamp(self.policy.min_growth, self.policy.max_growth)
    }

    fn update_unloaded_run(&mut self, share: f64) {
        let step = if self.unloaded_run > 0.0 {
            UNLOADED_RUN_WEIGHT
        } else {
            1.0
        };
        self.unloaded_run += (share - self.unloaded_run) * step;
    }

    /// Returns the share of the objective that a run may take.
    ///
    /// A chain may take more than half of its objective even when no call waits. If it were held
    /// to half, in an overload the limit would fall to its minimum and stay there, and three of
    /// four requests that the chain could serve would be refused for as long as the demand
    /// lasts.
    fn target(&self) -> f64 {
        let by_unloaded_run = self.unloaded_run * self.policy.unloaded_run_factor;
        by_unloaded_run
            .max(self.policy.target)
            .min(self.policy.max_target_share)
    }

    fn end_window(&mut self, now: Instant) {
        let samples = f64::from(self.samples);
        let (own, child) = (self.own_sum / samples, self.child_sum / samples);
        let min_limit = (self.slots * self.policy.min_share).max(1.0);
        if !self.is_saturated || self.limit <= min_limit * NEAR_MIN_FACTOR {
            self.update_unloaded_run(own + child);
        }
        let running = (self.max_running as f64).min(self.limit);
        let waits_for_children = child > self.policy.min_child_share;
        let target = self.target();
        let is_short = own + child < target * self.policy.grow_below;
        let limit = if waits_for_children && own + child > target {
            let wanted_child = (target - own).max(self.policy.min_child_share);
            running * (wanted_child / child).max(self.policy.min_cut_factor)
        } else if self.is_saturated && (is_short || !waits_for_children) {
            self.limit * self.growth_factor(target - own, child) + 1.0
        } else {
            self.limit
        };
        let limit = limit.max(min_limit).min(self.slots);
        self.measured_from = now;
        if limit != self.limit {
            self.measured_from += Duration::from_secs_f64(self.run_secs_sum / samples);
        }
        self.limit = limit;
        self.run_secs_sum = 0.0;
        self.own_sum = 0.0;
        self.child_sum = 0.0;
        self.samples = 0;
        self.max_running = 0;
        self.is_saturated = false;
    }
}
