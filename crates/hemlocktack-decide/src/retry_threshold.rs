//! Threshold of the priorities that get retries while an edge cannot give all of them.

use std::collections::VecDeque;

/// Ticks over which the wish for retries is measured: four seconds. At a node that makes a few
/// retries per second, the threshold of a shorter measurement is mostly noise: it gives single
/// retries to requests of every priority, most of which then fail.
const MEASURED_TICKS: u64 = 16;
/// Ticks that a wish which has just begun is taken to last: fewer would hold back the first
/// retries of a fault that the share covers.
const MIN_MEASURED_TICKS: u64 = 2;
/// Part of the share that is given to all requests before any is held back, so that a fault of a
/// moment, such as a lost link with many calls on it, gets all the retries it needs.
const FREE_SHARE: f64 = 0.18;
/// Wishes stored per tick; further ones are only counted.
const MAX_STORED_PER_TICK: usize = 128;

/// When the threshold was set before this part of all recorded wishes, and before this many, it is
/// lowered within the tick: a service that begins to reject calls is asked for a fifth of the share
/// in a quarter of a second.
const SURGE_SHARE: f64 = 0.5;
const MIN_SURGE: f64 = 8.0;

/// A request that needs a retry.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Wish {
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

/// Priority up to which requests get retries, measured by what requests wish for.
///
/// All wishes are recorded, granted or not. The threshold is the priority below which the wishes
/// of the last seconds are as many as the edge may spend in that time.
#[derive(Debug)]
pub(crate) struct RetryThreshold {
    ticks: VecDeque<WishedTick>,
    threshold: f64,
    set_at_tick: u64,
    wished_since_set: f64,
}

#[derive(Debug, Default)]
struct WishedTick {
    tick: u64,
    count: u32,
    wishes: Vec<Wish>,
}

impl Default for RetryThreshold {
    fn default() -> Self {
        RetryThreshold {
            ticks: VecDeque::new(),
            threshold: 1.0,
            set_at_tick: 0,
            wished_since_set: 0.0,
        }
    }
}

impl RetryThreshold {
    /// Records that a request wishes for a retry. A refused wish stands for all the retries that
    /// the request would have wished for.
    pub(crate) fn record(&mut self, wish: Wish, tick: u64) {
        self.forget(tick);
        if self.ticks.back().is_none_or(|last| last.tick < tick) {
            self.ticks.push_back(WishedTick {
                tick,
                ..WishedTick::default()
            });
        }
        let Some(last) = self.ticks.back_mut() else {
            return;
        };
        last.count += 1;
        self.wished_since_set += 1.0;
        if last.wishes.len() < MAX_STORED_PER_TICK {
            last.wishes.push(wish);
        }
    }

    /// Returns the threshold at this tick.
    pub(crate) fn at(&mut self, tick: u64, spendable: Spendable) -> f64 {
        self.forget(tick);
        let wished = self.wished();
        let is_surge = self.wished_since_set >= (wished * SURGE_SHARE).max(MIN_SURGE);
        if wished <= spendable.max * FREE_SHARE {
            self.threshold = 1.0;
        } else if self.set_at_tick != tick {
            self.threshold = self.measured(tick, spendable);
        } else if self.threshold >= 1.0 || is_surge {
            self.threshold = self.measured(tick, spendable).min(self.threshold);
        } else {
            return self.threshold;
        }
        self.wished_since_set = 0.0;
        self.set_at_tick = tick;
        self.threshold
    }

    fn forget(&mut self, tick: u64) {
        let is_old = |first: &WishedTick| first.tick + MEASURED_TICKS <= tick;
        while self.ticks.front().is_some_and(is_old) {
            self.ticks.pop_front();
        }
    }

    fn wished(&self) -> f64 {
        self.ticks.iter().map(|tick| f64::from(tick.count)).sum()
    }

    fn measured(&self, tick: u64, spendable: Spendable) -> f64 {
        let first = self.ticks.front().map_or(tick, |first| first.tick);
        let ticks = (tick + 1 - first).max(MIN_MEASURED_TICKS);
        let mut left = spendable.per_tick * ticks as f64;
        let mut wishes: Vec<Wish> = self.ticks.iter().flat_map(weighted).collect();
        wishes.sort_by(|one, other| one.priority.total_cmp(&other.priority));
        for wish in wishes {
            left -= wish.retries;
            if left < 0.0 {
                return wish.priority;
            }
        }
        1.0
    }
}

fn weighted(tick: &WishedTick) -> impl Iterator<Item = Wish> {
    let weight = f64::from(tick.count) / tick.wishes.len().max(1) as f64;
    tick.wishes.iter().map(move |wish| Wish {
        retries: wish.retries * weight,
        ..*wish
    })
}
