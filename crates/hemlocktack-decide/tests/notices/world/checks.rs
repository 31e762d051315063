//! The promises, and when a run has broken them.

use std::time::Duration;

use super::{Entry, TICK, World};

const WINDOW: Duration = Duration::from_secs(4);
const SLACK: f64 = 1.5;
const SLACK_CALLS: f64 = 5.0;
/// An entry's calls count from this long after it has passed a limit on.
const HEED_TIME: Duration = Duration::from_millis(500);
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// A change is followed within this time of the first answer that tells of it.
const FOLLOW_TIME: Duration = Duration::from_secs(1);

/// A promise that a run broke.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Broken {
    Limit {
        count: usize,
        allowed: f64,
    },
    Departure,
    /// An answer undid what a later one had said.
    Order,
    /// A new start got less because of what an earlier one had said.
    OtherStart,
    /// The value in force is not the one that answers have named for a while.
    NotFollowed,
}

impl World {
    /// Checks a call of this entry that arrives at the upstream.
    pub(super) fn check_arrival(&mut self, entry: usize) {
        let Entry {
            told_limit_at,
            told_leaving_at,
            ..
        } = self.entries[entry];
        if told_leaving_at.is_some_and(|at| self.now >= at + DRAIN_TIME) {
            self.broken.push(Broken::Departure);
        }
        if told_limit_at.is_some_and(|at| self.now >= at + HEED_TIME) {
            self.counted.push(self.now);
            self.check_window();
        }
    }

    fn check_window(&mut self) {
        let (now, from) = (self.now, self.now - WINDOW);
        self.counted.retain(|at| *at > from);
        let ticks = |time: Duration| (time.as_millis() / TICK.as_millis()) as usize;
        let follow_ticks = ticks(FOLLOW_TIME);
        let last = self.limits.len();
        let first = last.saturating_sub(ticks(now - from));
        let most_of = |tick: usize| {
            let recent = &self.limits[tick.saturating_sub(follow_ticks)..=tick];
            recent.iter().copied().fold(0.0, f64::max)
        };
        let calls: f64 = (first..last).map(most_of).sum::<f64>() * TICK.as_secs_f64();
        let allowed = SLACK * calls + SLACK_CALLS;
        let count = self.counted.len();
        if count as f64 > allowed {
            self.broken.push(Broken::Limit { count, allowed });
        }
    }

    /// Answers have agreed with the upstream for a while, so its value is in force.
    pub(super) fn check_followed(&mut self) {
        let has_agreed = self
            .agrees_since
            .is_some_and(|since| self.now >= since + FOLLOW_TIME);
        let in_force = self.admission.rate_limit_per_s();
        if has_agreed && self.discovers_at.is_none() && in_force != self.limit_per_s {
            self.broken.push(Broken::NotFollowed);
        }
    }
}
