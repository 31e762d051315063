//! Present slowness of the upstream's machine, from the upstream's load reports.

mod check;
mod history;

pub(crate) use check::SlownessCheck;

use std::time::{Duration, Instant};

use hemlocktack_protocol::LoadReport;

use crate::WorkKind;
use history::SlownessHistory;

/// Age at which a report no longer counts. Slow periods last some tenths of a second and begin and
/// end within milliseconds.
pub(crate) const REPORT_LIFETIME: Duration = Duration::from_millis(300);
/// Bounds of the factor that is taken from a report, which is only a hint.
const MIN_FACTOR: f64 = 0.5;
const MAX_FACTOR: f64 = 4.0;
/// Time over which reports are averaged: a value that changes with each report says nothing about
/// the next call, and the average still follows a slow period within a few calls.
const AVERAGING: Duration = Duration::from_millis(20);

/// Returns the factor that a slowness in per cent stands for, within its bounds.
pub(crate) fn factor_of(percent: u32) -> f64 {
    (f64::from(percent) / 100.0).clamp(MIN_FACTOR, MAX_FACTOR)
}

#[derive(Clone, Copy, Debug)]
struct ReportedFactor {
    factor: f64,
    read_at: Instant,
}

/// The slowness of the current start of the upstream: 1 means that work takes as long as usual.
///
/// An upstream whose machine is used by others takes several times as long for some tenths of a
/// second. A mean over its calls notices that late and forgets it late, so calls would keep going
/// to a slow upstream and then keep avoiding a fast one.
#[derive(Debug, Default)]
pub(crate) struct Slowness {
    report: Option<ReportedFactor>,
    history: SlownessHistory,
    check: SlownessCheck,
}

impl Slowness {
    /// Applies a report of the current start that was read at this time. One without a slowness
    /// ends the previous one. Answers are read out of order, and an earlier report changes nothing.
    pub(crate) fn hear(&mut self, report: &LoadReport, now: Instant) {
        if self.report.is_some_and(|known| now < known.read_at) {
            return;
        }
        let Some(percent) = report.slowness_percent else {
            self.report = None;
            return;
        };
        let factor = self.averaged(factor_of(percent), now);
        self.report = Some(ReportedFactor {
            factor,
            read_at: now,
        });
        self.history.record(factor, now);
    }

    /// Returns the present factor and the age of its report; `None` without a report that counts.
    pub(crate) fn present(&self, now: Instant) -> Option<(f64, Duration)> {
        let report = self.report.filter(|_| !self.check.is_ignored())?;
        let age = now.saturating_duration_since(report.read_at);
        (age < REPORT_LIFETIME).then_some((report.factor, age))
    }

    /// Returns the present factor, 1 without a report that counts.
    pub(crate) fn factor(&self, now: Instant) -> f64 {
        self.present(now).map_or(1.0, |(factor, _)| factor)
    }

    /// Returns the share of the time since `started` that work at the usual speed would have
    /// taken, according to the reports.
    pub(crate) fn usual_share(&self, started: Instant, now: Instant) -> f64 {
        match self.check.is_ignored() {
            true => 1.0,
            false => self.history.usual_share(started, now),
        }
    }

    /// Compares the time that a call took, without its child calls, with the reports.
    pub(crate) fn compare(
        &mut self,
        kind: WorkKind,
        own: Duration,
        started: Instant,
        now: Instant,
    ) {
        if self.history.is_empty() {
            return;
        }
        let reported = 1.0 / self.history.usual_share(started, now);
        self.check.observe(kind, reported, own, now);
    }

    fn averaged(&self, factor: f64, now: Instant) -> f64 {
        let Some(before) = self.report else {
            return factor;
        };
        let age = now.saturating_duration_since(before.read_at);
        let kept = (-age.as_secs_f64() / AVERAGING.as_secs_f64()).exp();
        factor + (before.factor - factor) * kept
    }
}
