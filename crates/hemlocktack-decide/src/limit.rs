//! How many calls may run in an upstream at once.

use std::time::{Duration, Instant};

/// Numbers of [`ConcurrencyLimit`].
#[derive(Clone, Copy, Debug)]
pub struct LimitPolicy {
    /// Shortest time between two changes: several service times of the fast
    /// services, so that a change shows before the next one.
    pub window: Duration,
    /// Fewest samples that a small step may rest on.
    pub window_samples: u32,
    /// Fewest samples on each side of a trial: the mean of 96 spread-out
    /// service times is good to a twentieth, and a trial looks for a quarter.
    pub trial_samples: u32,
    /// Cut when latency is above this multiple of its floor. The floor is the
    /// least of many means and so lies up to a fifth below the true one.
    pub cut_above: f64,
    /// Beyond this multiple of `cut_above` a window of the fewest samples is
    /// enough to begin with: chance does not reach so far.
    pub far_off: f64,
    /// The same while the upstream's load report claims that it is full: the
    /// report is believed only where latency bears it out.
    pub cut_above_reported: f64,
    /// A cut multiplies the limit by this.
    pub cut_factor: f64,
    /// A cut helped when latency fell to this multiple of what it was. If the
    /// upstream queues inside, latency falls with the limit, to 0.7.
    pub helped_below: f64,
    /// A raise above the announced slots multiplies the limit by this.
    pub raise_factor: f64,
    /// A raise failed when latency rose beyond this multiple of what it was. If
    /// the upstream queues inside, latency rises with the limit, to 1.25.
    pub failed_above: f64,
    /// Small step: share of the limit.
    pub step: f64,
    /// Step back towards the slots from above, and do not step up to them from
    /// below, while latency is above this multiple of its floor.
    pub step_back_above: f64,
    /// Time between two trials while calls wait. Each lowers the limit for a few
    /// service times, and next to no capacity may go into them.
    pub trial_every: Duration,
    /// Longest time between two raises; each one that fails doubles it.
    pub raise_at_least_every: Duration,
    /// Share of the slots that an upstream starts with when cold: caches and
    /// pools are empty, and a full load at once would time out as a whole.
    pub cold_share: f64,
    /// Growth per window while cold: from a fifth to full in 8 windows.
    pub cold_growth: f64,
    /// Least share of the slots. Below it too few calls finish to notice that
    /// the upstream is well again.
    pub least_share: f64,
}

impl Default for LimitPolicy {
    fn default() -> Self {
        LimitPolicy {
            window: Duration::from_millis(50),
            window_samples: 24,
            trial_samples: 96,
            cut_above: 1.5,
            far_off: 1.3,
            cut_above_reported: 1.3,
            cut_factor: 0.7,
            helped_below: 0.85,
            raise_factor: 1.25,
            failed_above: 1.1,
            step: 0.05,
            step_back_above: 1.25,
            trial_every: Duration::from_secs(10),
            raise_at_least_every: Duration::from_secs(320),
            cold_share: 0.2,
            cold_growth: 1.25,
            least_share: 0.1,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    Cut,
    Raise,
}

/// A change that is kept or taken back by what latency does.
#[derive(Clone, Copy, Debug)]
struct Trial {
    direction: Direction,
    limit_before: f64,
    ratio_before: f64,
}

/// What the limit's owner has to do after a window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WindowEnd {
    Nothing,
    /// Latency did not follow the limit: the work itself became slower, and
    /// today's latency is the new floor.
    FloorIsStale,
}

/// The concurrency limit of one upstream.
///
/// Load: an upstream that can do less than it announced, has become slower, or
/// can do more. Harm: more calls than it has slots queue up inside it, where
/// nobody can order, refuse or cancel them, so important calls wait behind
/// unimportant ones. The limit starts from the announced slots, which is right
/// unless measured otherwise. Latency alone cannot tell a queue inside from
/// slower work, but its answer to a change of the limit can: the former follows
/// the limit, the latter does not, and a lower limit would only waste slots. So
/// each large change is a trial, and is repeated now and then while calls wait,
/// since a floor that was measured under a queue would hide it.
#[derive(Debug)]
pub struct ConcurrencyLimit {
    policy: LimitPolicy,
    slots: f64,
    connections: f64,
    limit: f64,
    cold: bool,
    reported_full: bool,
    trial: Option<Trial>,
    tried_at: Instant,
    raised_at: Instant,
    raise_every: Duration,
    changed_at: Instant,
    ratio_sum: f64,
    samples: u32,
    saturated: bool,
}

impl ConcurrencyLimit {
    /// A limit for an upstream with these announced numbers.
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
            tried_at: now,
            raised_at: now,
            raise_every: policy.trial_every,
            changed_at: now,
            ratio_sum: 0.0,
            samples: 0,
            saturated: false,
        }
    }

    /// Calls that may run at once.
    pub fn current(&self) -> u32 {
        self.limit as u32
    }

    /// Whether the slow start is still on.
    pub fn is_cold(&self) -> bool {
        self.cold
    }

    /// Takes in a load report. It lags or lies: it only makes the limit look
    /// harder at latency and never moves it alone, up or down.
    pub fn report_load(&mut self, in_flight: u32, slots: u32) {
        self.reported_full = in_flight >= slots;
    }

    /// The upstream itself shed a call: it knows of a shortage that latency
    /// does not show. One step down a window.
    pub fn upstream_shed(&mut self, now: Instant) {
        if now.saturating_duration_since(self.changed_at) >= self.policy.window {
            self.change(self.limit * self.policy.cut_factor, now);
        }
    }

    /// Notes that calls wait because the limit is reached. A limit that holds
    /// nobody back proves nothing when latency is good.
    pub(crate) fn note_saturated(&mut self) {
        self.saturated = true;
    }

    /// Takes in one finished call: when it started and its own time as a
    /// multiple of its floor. Calls from before the last change say nothing
    /// about it.
    pub(crate) fn observe(&mut self, ratio: f64, started: Instant, now: Instant) -> WindowEnd {
        if started < self.changed_at {
            return WindowEnd::Nothing;
        }
        self.ratio_sum += ratio;
        self.samples += 1;
        let age = now.saturating_duration_since(self.changed_at);
        if self.samples < self.policy.window_samples || age < self.policy.window {
            return WindowEnd::Nothing;
        }
        let ratio = self.ratio_sum / f64::from(self.samples);
        self.end_window(ratio, now)
    }

    fn end_window(&mut self, ratio: f64, now: Instant) -> WindowEnd {
        let settled = self.samples >= self.policy.trial_samples;
        if let Some(trial) = self.trial {
            return if settled || self.is_clear(trial, ratio) {
                self.end_trial(trial, ratio, now)
            } else {
                WindowEnd::Nothing
            };
        }
        if self.cold {
            self.grow_cold(now);
            return WindowEnd::Nothing;
        }
        let Some(direction) = self.wanted_trial(ratio, now) else {
            self.step(ratio, now);
            return WindowEnd::Nothing;
        };
        // The window goes on until the mean is good enough to compare with.
        let is_far_off = ratio > self.cut_above() * self.policy.far_off;
        if settled || is_far_off {
            self.begin_trial(direction, ratio, now);
        }
        WindowEnd::Nothing
    }

    /// Whether a cut has shown what it does before all samples are in. The mean
    /// of n service times is good to about half of 1/sqrt(n); twice that is
    /// asked for. An upstream with few slots would else take seconds.
    fn is_clear(&self, trial: Trial, ratio: f64) -> bool {
        let error = 1.0 / f64::from(self.samples).sqrt();
        let change = ratio / trial.ratio_before;
        trial.direction == Direction::Cut && (change - self.policy.helped_below).abs() > error
    }

    fn wanted_trial(&self, ratio: f64, now: Instant) -> Option<Direction> {
        if ratio > self.cut_above() {
            return Some(Direction::Cut);
        }
        let since = |at: Instant| now.saturating_duration_since(at);
        if !self.saturated || since(self.tried_at) < self.policy.trial_every {
            return None;
        }
        let may_raise = self.limit >= self.slots && ratio < self.policy.step_back_above;
        if may_raise && since(self.raised_at) >= self.raise_every {
            Some(Direction::Raise)
        } else {
            Some(Direction::Cut)
        }
    }

    fn cut_above(&self) -> f64 {
        if self.reported_full {
            self.policy.cut_above_reported
        } else {
            self.policy.cut_above
        }
    }

    fn begin_trial(&mut self, direction: Direction, ratio: f64, now: Instant) {
        self.tried_at = now;
        self.trial = Some(Trial {
            direction,
            limit_before: self.limit,
            ratio_before: ratio,
        });
        let factor = match direction {
            Direction::Cut => self.policy.cut_factor,
            Direction::Raise => {
                self.raised_at = now;
                self.policy.raise_factor
            }
        };
        self.change(self.limit * factor, now);
    }

    fn end_trial(&mut self, trial: Trial, ratio: f64, now: Instant) -> WindowEnd {
        self.trial = None;
        let change = ratio / trial.ratio_before;
        let is_kept = match trial.direction {
            Direction::Cut => change <= self.policy.helped_below,
            Direction::Raise => change <= self.policy.failed_above,
        };
        if trial.direction == Direction::Raise {
            self.raise_every = if is_kept {
                self.policy.trial_every
            } else {
                (self.raise_every * 2).min(self.policy.raise_at_least_every)
            };
        }
        if is_kept {
            self.change(self.limit, now);
            return WindowEnd::Nothing;
        }
        let was_high = trial.ratio_before > self.cut_above();
        self.change(trial.limit_before, now);
        if trial.direction == Direction::Cut && was_high {
            WindowEnd::FloorIsStale
        } else {
            WindowEnd::Nothing
        }
    }

    /// Small steps: back up to the slots after a cut, back down to them after a
    /// raise, as long as latency agrees.
    fn step(&mut self, ratio: f64, now: Instant) {
        let step = (self.limit * self.policy.step).max(1.0);
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
        let least = (self.slots * self.policy.least_share).max(1.0);
        self.limit = limit.max(least).min(self.connections);
        self.changed_at = now;
        self.ratio_sum = 0.0;
        self.samples = 0;
        self.saturated = false;
    }
}
