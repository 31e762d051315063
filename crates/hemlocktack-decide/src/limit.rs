//! How many calls may run in an upstream at once.

use std::time::{Duration, Instant};

/// Numbers of [`ConcurrencyLimit`].
#[derive(Clone, Copy, Debug)]
pub struct LimitPolicy {
    /// Shortest time between two changes: several service times of the fast
    /// services, so that a change shows before the next one.
    pub window: Duration,
    /// Fewest samples that a change may rest on; the mean of 24 spread-out
    /// service times is good to about a tenth.
    pub window_samples: u32,
    /// Raise above the announced slots only while latency is within this
    /// multiple of its floor: no queue inside the upstream yet.
    pub raise_below: f64,
    /// Cut when latency is above this multiple of its floor. Noise of the mean
    /// and of the floor reaches about 1.3.
    pub cut_above: f64,
    /// The same while the upstream's load report claims that it is full: the
    /// report is believed only where latency bears it out.
    pub cut_above_reported: f64,
    /// A cut multiplies the limit by this.
    pub cut_factor: f64,
    /// A cut helped when latency fell to this multiple of what it was. If the
    /// upstream queues inside, latency falls with the limit, to 0.7.
    pub helped_below: f64,
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
            raise_below: 1.1,
            cut_above: 1.6,
            cut_above_reported: 1.35,
            cut_factor: 0.7,
            helped_below: 0.85,
            cold_share: 0.2,
            cold_growth: 1.25,
            least_share: 0.1,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Cut {
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
/// nobody can order, refuse or cancel them. The limit starts from the announced
/// slots, which is right unless measured otherwise, and follows latency against
/// its own floor: latency above the floor that falls with the limit is a queue
/// inside the upstream; latency that stays when the limit is cut is slower
/// work, for which a lower limit would only waste slots.
#[derive(Debug)]
pub struct ConcurrencyLimit {
    policy: LimitPolicy,
    slots: f64,
    connections: f64,
    limit: f64,
    cold: bool,
    reported_full: bool,
    cut: Option<Cut>,
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
            cut: None,
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
            let limit = self.limit * self.policy.cut_factor;
            self.change(limit, now);
        }
    }

    /// Notes that calls wait because the limit is reached.
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
        if let Some(cut) = self.cut.take()
            && ratio > cut.ratio_before * self.policy.helped_below
        {
            self.change(cut.limit_before, now);
            return WindowEnd::FloorIsStale;
        }
        if self.cold {
            self.grow_cold(now);
            return WindowEnd::Nothing;
        }
        let cut_above = if self.reported_full {
            self.policy.cut_above_reported
        } else {
            self.policy.cut_above
        };
        if ratio > cut_above {
            self.cut = Some(Cut {
                limit_before: self.limit,
                ratio_before: ratio,
            });
            self.change(self.limit * self.policy.cut_factor, now);
        } else {
            self.raise(ratio, now);
        }
        WindowEnd::Nothing
    }

    /// A limit that does not hold anybody back proves nothing when latency is
    /// good, so it rises only when calls waited for it.
    fn raise(&mut self, ratio: f64, now: Instant) {
        let may_raise = self.limit < self.slots || ratio < self.policy.raise_below;
        let step = if self.saturated && may_raise {
            (self.limit * 0.05).max(1.0)
        } else {
            0.0
        };
        let top = if self.limit < self.slots {
            self.slots
        } else {
            self.connections
        };
        self.change((self.limit + step).min(top), now);
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
