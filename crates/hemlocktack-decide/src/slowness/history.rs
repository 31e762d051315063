//! Slowness over the last second, to tell how much of a call's time it explains.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::{MAX_FACTOR, MIN_FACTOR, REPORT_LIFETIME};

/// Reports closer together than this share a point.
const POINT_SPACING: Duration = Duration::from_millis(5);
/// Points kept, which cover at least a second. The runs of longer calls are attributed to the part
/// that is covered.
const MAX_POINTS: usize = 256;

#[derive(Clone, Copy, Debug)]
struct Point {
    at: Instant,
    factor: f64,
    /// Time until `at` that the same work would have taken at the usual speed.
    usual_secs: f64,
}

/// The integral of the usual speed over time. Memory is bounded for any number of reports.
#[derive(Debug, Default)]
pub(super) struct SlownessHistory {
    points: VecDeque<Point>,
}

impl SlownessHistory {
    pub(super) fn is_empty(&self) -> bool {
        self.points.is_empty()
    }

    /// Records a report. Of the time since the previous one, the first half counts as slow as that
    /// one says and the second half as slow as this one says.
    pub(super) fn record(&mut self, factor: f64, now: Instant) {
        let usual_secs = self.points.back().map_or(0.0, |last| {
            let gap = now.saturating_duration_since(last.at);
            let near = gap.min(REPORT_LIFETIME) / 2;
            let near_secs = near.as_secs_f64();
            last.usual_secs
                + near_secs / last.factor
                + near_secs / factor
                + (gap - near * 2).as_secs_f64()
        });
        let is_close = self.points.len() >= 2
            && now.saturating_duration_since(self.points[self.points.len() - 2].at) < POINT_SPACING;
        if is_close || self.points.len() >= MAX_POINTS {
            match is_close {
                true => self.points.pop_back(),
                false => self.points.pop_front(),
            };
        }
        self.points.push_back(Point {
            at: now,
            factor,
            usual_secs,
        });
    }

    /// Returns the share of the time from `from` to `to` that the same work would have taken at the
    /// usual speed. After months, rounding errors of the integral exceed a run of nanoseconds, so
    /// the share is kept within the bounds of the factor: a zero has no inverse, and a negative
    /// duration panics.
    pub(super) fn usual_share(&self, from: Instant, to: Instant) -> f64 {
        let Some(first) = self.points.front() else {
            return 1.0;
        };
        // The first report of a start, and what has left the history, count for the time before.
        let reach = (REPORT_LIFETIME / 2).min(first.at.saturating_duration_since(from));
        let lead_secs = reach.as_secs_f64() / first.factor;
        let covered_from = from.max(first.at);
        if to <= first.at {
            return 1.0;
        }
        let covered_secs = to.saturating_duration_since(covered_from).as_secs_f64();
        let usual_secs = self.usual_secs_at(to) - self.usual_secs_at(covered_from) + lead_secs;
        let secs = covered_secs + reach.as_secs_f64();
        if secs <= 0.0 {
            return 1.0;
        }
        (usual_secs / secs).clamp(1.0 / MAX_FACTOR, 1.0 / MIN_FACTOR)
    }

    fn usual_secs_at(&self, at: Instant) -> f64 {
        let after = self.points.partition_point(|point| point.at <= at);
        let Some(before) = after.checked_sub(1).map(|index| self.points[index]) else {
            return 0.0;
        };
        let since_secs = at.saturating_duration_since(before.at).as_secs_f64();
        match self.points.get(after) {
            Some(next) => {
                let gap_secs = next.at.saturating_duration_since(before.at).as_secs_f64();
                let share = since_secs / gap_secs.max(f64::MIN_POSITIVE);
                before.usual_secs + (next.usual_secs - before.usual_secs) * share
            }
            None => {
                let near_secs = since_secs.min(REPORT_LIFETIME.as_secs_f64() / 2.0);
                before.usual_secs + near_secs / before.factor + (since_secs - near_secs)
            }
        }
    }
}
