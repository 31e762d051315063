//! Adaptive limit on the calls that run in an upstream at once.

use std::time::{Duration, Instant};

/// Parameters of [`ConcurrencyLimit`].
#[derive(Clone, Copy, Debug)]
pub struct LimitPolicy {
    /// Minimum time between two changes: several service times of the fast services, so that the
    /// effect of one change shows before the next.
    pub window: Duration,
    /// Minimum samples for a small step.
    pub window_samples: u32,
    /// Minimum samples on each side of a trial: the mean of 96 widely varying service times is
    /// accurate to a twentieth, and a trial looks for a change of a quarter.
    pub trial_samples: u32,
    /// Cut the limit when latency is above this multiple of its baseline. The baseline is the
    /// lowest of many means and so lies up to a fifth below the true value.
    pub cut_above: f64,
    /// Above this multiple of `cut_above`, a window of the minimum number of samples is enough
    /// to start a trial: random variation does not reach that far.
    pub clear_excess_factor: f64,
    /// Replaces `cut_above` while the upstream's load report claims that it is full: the report
    /// counts only if latency confirms it.
    pub cut_above_when_reported_full: f64,
    /// A cut multiplies the limit by this.
    pub cut_factor: f64,
    /// A cut helped if latency fell to this multiple of its previous value. If calls queue
    /// inside the upstream, latency falls in proportion to the limit, to 0.7.
    pub cut_helped_below: f64,
    /// A raise above the announced slots multiplies the limit by this.
    pub raise_factor: f64,
    /// A raise failed if latency rose above this multiple of its previous value. If calls queue
    /// inside the upstream, latency rises in proportion to the limit, to 1.25.
    pub raise_failed_above: f64,
    /// Size of a small step, as a share of the limit.
    pub step_share: f64,
    /// While latency is above this multiple of its baseline, step down towards the slots from
    /// above, and do not step up to them from below.
    pub step_back_above: f64,
    /// Time between two trials while calls wait. Each trial lowers the limit for a few service
    /// times, and almost no capacity may be lost to them.
    pub trial_interval: Duration,
    /// Maximum time between two raises; each failed raise doubles the interval.
    pub max_raise_interval: Duration,
    /// Initial share of the slots of a cold upstream: its caches and pools are empty, and under
    /// full load at once all calls would time out.
    pub cold_share: f64,
    /// Growth per window while cold: from a fifth to full in 8 windows.
    pub cold_growth: f64,
    /// Minimum share of the slots. Below it too few calls finish to notice that the upstream has
    /// recovered.
    pub min_share: f64,
}

impl Default for LimitPolicy {
    fn default() -> Self {
        LimitPolicy {
            window: Duration::from_millis(50),
            window_samples: 24,
            trial_samples: 96,
            cut_above: 1.5,
            clear_excess_factor: 1.3,
            cut_above_when_reported_full: 1.3,
            cut_factor: 0.7,
            cut_helped_below: 0.85,
            raise_factor: 1.25,
            raise_failed_above: 1.1,
            step_share: 0.05,
            step_back_above: 1.25,
            trial_interval: Duration::from_secs(10),
            max_raise_interval: Duration::from_secs(320),
            cold_share: 0.2,
            cold_growth: 1.25,
            min_share: 0.1,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    Cut,
    Raise,
}

/// A change of the limit that is kept or reverted depending on the resulting latency.
#[derive(Clone, Copy, Debug)]
struct Trial {
    direction: Direction,
    limit_before: f64,
    ratio_before: f64,
}

/// Action required of the owner of the limit after a window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WindowOutcome {
    Nothing,
    /// Latency did not follow the limit: the work itself has become slower, and the current
    /// latency is the new baseline.
    BaselineIsStale,
}

/// The concurrency limit of one upstream.
///
/// An upstream may handle less than it announced, become slower, or handle more. With more calls
/// than it has capacity for, calls queue inside it, where they cannot be ordered, refused or
/// cancelled, and important calls wait behind unimportant ones. The limit starts from the
/// announced slots, which are assumed correct until measured otherwise. Latency alone does not
/// distinguish a queue inside the upstream from slower work, but its response to a change of the
/// limit does: queueing latency follows the limit, service time does not, and a lower limit
/// would then only waste slots. Each large change is therefore a trial. Trials are repeated
/// occasionally while calls wait, because a baseline measured while calls were queued inside
/// would hide the queue.
#[derive(Debug)]
pub struct ConcurrencyLimit {
    policy: LimitPolicy,
    slots: f64,
    connections: f64,
    limit: f64,
    cold: bool,
    reported_full: bool,
    trial: Option<Trial>,
    last_trial_at: Instant,
    last_raise_at: Instant,
    raise_interval: Duration,
    changed_at: Instant,
    ratio_sum: f64,
    samples: u32,
    saturated: bool,
}

impl ConcurrencyLimit {
    /// Creates a limit for an upstream that announced these numbers.
    pub fn new(
        policy: LimitPolicy,
        slots: u32,
        connections: u32,
        cold: bool,
        now: Instant,
    ) -> Self {
        let slots = f64::from(slots.max(1));
        let limit = if cold {
            slots * policy.cold_share
        } else {
            slots
        };
        ConcurrencyLimit {
            policy,
            slots,
            connections: f64::from(connections).max(slots),
            limit: limit.max(1.0),
            cold,
            reported_full: false,
            trial: None,
            last_trial_at: now,
            last_raise_at: now,
            raise_interval: policy.trial_interval,
            changed_at: now,
            ratio_sum: 0.0,
            samples: 0,
            saturated: false,
        }
    }

    /// Returns how many calls may run at once.
    pub fn current(&self) -> u32 {
        self.limit as u32
    }

    /// Returns whether the upstream is still in slow start.
    pub fn is_cold(&self) -> bool {
        self.cold
    }

    /// Takes a load report into account. Reports may be late or wrong, so a report only makes
    /// the limit more sensitive to latency and never changes it directly.
    pub fn report_load(&mut self, in_flight: u32, slots: u32) {
        self.reported_full = in_flight >= slots;
    }

    /// Records that the upstream itself shed a call, which shows a shortage that latency does
    /// not. Cuts the limit at most once per window.
    pub fn upstream_shed(&mut self, now: Instant) {
        if now.saturating_duration_since(self.changed_at) >= self.policy.window {
            self.change(self.limit * self.policy.cut_factor, now);
        }
    }

    /// Records that calls wait because the limit is reached. Good latency proves nothing while
    /// the limit restricts no calls.
    pub(crate) fn mark_saturated(&mut self) {
        self.saturated = true;
    }

    /// Records one finished call: its start time and its own time as a multiple of its baseline.
    /// Calls that started before the last change are ignored, since they do not show its effect.
    pub(crate) fn observe(&mut self, ratio: f64, started: Instant, now: Instant) -> WindowOutcome {
        if started < self.changed_at {
            return WindowOutcome::Nothing;
        }
        self.ratio_sum += ratio;
        self.samples += 1;
        let age = now.saturating_duration_since(self.changed_at);
        if self.samples < self.policy.window_samples || age < self.policy.window {
            return WindowOutcome::Nothing;
        }
        let ratio = self.ratio_sum / f64::from(self.samples);
        self.end_window(ratio, now)
    }

    fn end_window(&mut self, ratio: f64, now: Instant) -> WindowOutcome {
        let settled = self.samples >= self.policy.trial_samples;
        if let Some(trial) = self.trial {
            return if settled || self.is_conclusive(trial, ratio) {
                self.end_trial(trial, ratio, now)
            } else {
                WindowOutcome::Nothing
            };
        }
        if self.cold {
            self.grow_cold(now);
            return WindowOutcome::Nothing;
        }
        let Some(direction) = self.next_trial(ratio, now) else {
            self.adjust_by_step(ratio, now);
            return WindowOutcome::Nothing;
        };
        // Otherwise the window continues until its mean is accurate enough to compare with.
        let is_clear_excess = ratio > self.cut_above() * self.policy.clear_excess_factor;
        if settled || is_clear_excess {
            self.begin_trial(direction, ratio, now);
        }
        WindowOutcome::Nothing
    }

    /// Returns whether a cut has shown its effect before all samples are in. The mean of n
    /// service times is accurate to about half of 1/sqrt(n); twice that margin is required.
    /// Otherwise a trial on an upstream with few slots would take seconds.
    fn is_conclusive(&self, trial: Trial, ratio: f64) -> bool {
        let error = 1.0 / f64::from(self.samples).sqrt();
        let change = ratio / trial.ratio_before;
        trial.direction == Direction::Cut && (change - self.policy.cut_helped_below).abs() > error
    }

    fn next_trial(&self, ratio: f64, now: Instant) -> Option<Direction> {
        if ratio > self.cut_above() {
            return Some(Direction::Cut);
        }
        let since = |at: Instant| now.saturating_duration_since(at);
        if !self.saturated || since(self.last_trial_at) < self.policy.trial_interval {
            return None;
        }
        let may_raise = self.limit >= self.slots && ratio < self.policy.step_back_above;
        if may_raise && since(self.last_raise_at) >= self.raise_interval {
            Some(Direction::Raise)
        } else {
            Some(Direction::Cut)
        }
    }

    fn cut_above(&self) -> f64 {
        if self.reported_full {
            self.policy.cut_above_when_reported_full
        } else {
            self.policy.cut_above
        }
    }

    fn begin_trial(&mut self, direction: Direction, ratio: f64, now: Instant) {
        self.last_trial_at = now;
        self.trial = Some(Trial {
            direction,
            limit_before: self.limit,
            ratio_before: ratio,
        });
        let factor = match direction {
            Direction::Cut => self.policy.cut_factor,
            Direction::Raise => {
                self.last_raise_at = now;
                self.policy.raise_factor
            }
        };
        self.change(self.limit * factor, now);
    }

    fn end_trial(&mut self, trial: Trial, ratio: f64, now: Instant) -> WindowOutcome {
        self.trial = None;
        let change = ratio / trial.ratio_before;
        let is_kept = match trial.direction {
            Direction::Cut => change <= self.policy.cut_helped_below,
            Direction::Raise => change <= self.policy.raise_failed_above,
        };
        if trial.direction == Direction::Raise {
            self.raise_interval = if is_kept {
                self.policy.trial_interval
            } else {
                (self.raise_interval * 2).min(self.policy.max_raise_interval)
            };
        }
        if is_kept {
            self.change(self.limit, now);
            return WindowOutcome::Nothing;
        }
        let was_high = trial.ratio_before > self.cut_above();
        self.change(trial.limit_before, now);
        if trial.direction == Direction::Cut && was_high {
            WindowOutcome::BaselineIsStale
        } else {
            WindowOutcome::Nothing
        }
    }

    /// Adjusts the limit by one small step if latency allows: up to the slots after a cut, or
    /// down to them after a raise.
    fn adjust_by_step(&mut self, ratio: f64, now: Instant) {
        let step = (self.limit * self.policy.step_share).max(1.0);
        let is_slow = ratio > self.policy.step_back_above;
        let limit = if self.limit < self.slots && self.saturated && !is_slow {
            (self.limit + step).min(self.slots)
        } else if self.limit > self.slots && is_slow {
            (self.limit - step).max(self.slots)
        } else {
            self.limit
        };
        self.change(limit, now);
    }

    fn grow_cold(&mut self, now: Instant) {
        let limit = self.limit * self.policy.cold_growth;
        self.cold = limit < self.slots;
        self.change(limit.min(self.slots), now);
    }

    fn change(&mut self, limit: f64, now: Instant) {
        let min_limit = (self.slots * self.policy.min_share).max(1.0);
        self.limit = limit.max(min_limit).min(self.connections);
        self.changed_at = now;
        self.ratio_sum = 0.0;
        self.samples = 0;
        self.saturated = false;
    }
}
