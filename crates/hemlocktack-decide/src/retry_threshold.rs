//! Threshold of the priorities that get retries while an edge cannot give all of them.

use std::collections::VecDeque;

/// Ticks over which the demand for retries is measured: four seconds. At a node that makes a few
/// retries per second, the threshold of a shorter measurement is mostly noise: it gives single
/// retries to requests of every priority, most of which then fail.
const MEASURED_TICKS: u64 = 16;
/// Least number of ticks over which new demand is spread: fewer would hold back the first retries
/// of a fault that the share covers.
const MIN_MEASURED_TICKS: u64 = 2;
/// Part of the share that is given to all requests before any is held back, so that a fault of a
/// moment, such as a lost link with many calls on it, gets all the retries it needs.
const FREE_SHARE: f64 = 0.18;
/// Demands stored per tick; further ones are only counted.
const MAX_STORED_PER_TICK: usize = 128;

/// Share of the recorded demand that must be new before the threshold is lowered within a tick. A
/// service that begins to reject calls could use a fifth of the share in one tick.
const SURGE_SHARE: f64 = 0.5;
/// Minimum new demand for that; the threshold of fewer retries is mostly noise.
const MIN_SURGE: f64 = 8.0;

/// A request that needs a retry.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryDemand {
    pub(crate) priority: f64,
    /// Retries that it takes, or would have taken if it had been given any.
    pub(crate) retries: f64,
}

/// What an edge may spend, in retries.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Spendable {
    /// All retries of a window.
    pub(crate) max: f64,
    /// Retries per tick at the present pace.
    pub(crate) per_tick: f64,
}

/// Priority up to which requests get retries, measured by the demand for them.
///
/// All demand is recorded, granted or not. The threshold is the priority below which the demand of
/// the last seconds is as much as the edge may spend in that time.
#[derive(Debug)]
pub(crate) struct RetryThreshold {
    ticks: VecDeque<DemandTick>,
    threshold: f64,
    updated_at_tick: u64,
    demanded_since_update: f64,
}

#[derive(Debug, Default)]
struct DemandTick {
    tick: u64,
    count: u32,
    demands: Vec<RetryDemand>,
}

impl Default for RetryThreshold {
    fn default() -> Self {
        RetryThreshold {
            ticks: VecDeque::new(),
            threshold: 1.0,
            updated_at_tick: 0,
            demanded_since_update: 0.0,
        }
    }
}

impl RetryThreshold {
    /// Records that a request needs a retry. A refused one stands for all the retries that the
    /// request would have needed.
    pub(crate) fn record(&mut self, demand: RetryDemand, tick: u64) {
        self.drop_expired(tick);
        if self.ticks.back().is_none_or(|last| last.tick < tick) {
            self.ticks.push_back(DemandTick {
                tick,
                ..DemandTick::default()
            });
        }
        let Some(last) = self.ticks.back_mut() else {
            return;
        };
        last.count += 1;
        self.demanded_since_update += 1.0;
        if last.demands.len() < MAX_STORED_PER_TICK {
            last.demands.push(demand);
        }
    }

    /// Updates the threshold for this tick and returns it.
    pub(crate) fn update(&mut self, tick: u64, spendable: Spendable) -> f64 {
        self.drop_expired(tick);
        let demanded = self.demanded();
        let is_surge = self.demanded_since_update >= (demanded * SURGE_SHARE).max(MIN_SURGE);
        if demanded <= spendable.max * FREE_SHARE {
            self.threshold = 1.0;
        } else if self.updated_at_tick != tick {
            self.threshold = self.compute_threshold(tick, spendable);
        } else if self.threshold >= 1.0 || is_surge {
            self.threshold = self.compute_threshold(tick, spendable).min(self.threshold);
        } else {
            return self.threshold;
        }
        self.demanded_since_update = 0.0;
        self.updated_at_tick = tick;
        self.threshold
    }

    fn drop_expired(&mut self, tick: u64) {
        let is_old = |first: &DemandTick| first.tick + MEASURED_TICKS <= tick;
        while self.ticks.front().is_some_and(is_old) {
            self.ticks.pop_front();
        }
    }

    fn demanded(&self) -> f64 {
        self.ticks.iter().map(|tick| f64::from(tick.count)).sum()
    }

    fn compute_threshold(&self, tick: u64, spendable: Spendable) -> f64 {
        let first = self.ticks.front().map_or(tick, |first| first.tick);
        let ticks = (tick + 1 - first).max(MIN_MEASURED_TICKS);
        let mut left = spendable.per_tick * ticks as f64;
        let mut demands: Vec<RetryDemand> = self.ticks.iter().flat_map(weighted).collect();
        demands.sort_by(|one, other| one.priority.total_cmp(&other.priority));
        for demand in demands {
            left -= demand.retries;
            if left < 0.0 {
                return demand.priority;
            }
        }
        1.0
    }
}

fn weighted(tick: &DemandTick) -> impl Iterator<Item = RetryDemand> {
    let weight = f64::from(tick.count) / tick.demands.len().max(1) as f64;
    tick.demands.iter().map(move |demand| RetryDemand {
        retries: demand.retries * weight,
        ..*demand
    })
}
