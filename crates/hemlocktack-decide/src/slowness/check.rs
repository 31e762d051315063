//! Checks whether measured times follow the slowness that an upstream reports.

use std::time::{Duration, Instant};

use crate::WorkKind;
use crate::mix::mix;

/// Time over which earlier calls lose their weight.
const MEMORY: Duration = Duration::from_secs(10);
/// Minimum evidence for a verdict: the sum of the squared deviations of the logarithm of the
/// reported factor. With 40, the error of the measured exponent is a fifth for service times that
/// vary as much as their mean.
const MIN_EVIDENCE: f64 = 40.0;
/// Reports are ignored while times grow with less than this power of the reported factor, which
/// is 1 for an exact report.
const IGNORED_BELOW: f64 = 0.3;
/// Reports count again once times grow with more than this power of the reported factor.
const HEEDED_ABOVE: f64 = 0.6;
/// Kinds of work told apart; the usual time of those that share an entry is their common mean.
const TRACKED_KINDS: usize = 32;
/// Minimum weight of a call in the usual time of its kind: lower than that of a slow period of
/// some tenths of a second, which would otherwise pass for the usual time.
const MIN_USUAL_WEIGHT: f64 = 1.0 / 4_096.0;

#[derive(Clone, Copy, Debug, Default)]
struct UsualTime {
    calls: u32,
    log_secs: f64,
}

/// A running regression of the logarithm of the measured time on that of the reported factor.
///
/// A report that does not reflect the upstream's speed would send calls away from an upstream that
/// is as fast as ever, and skew the estimates that are corrected by it.
#[derive(Debug, Default)]
pub(crate) struct SlownessCheck {
    usual: [UsualTime; TRACKED_KINDS],
    weight: f64,
    mean_report: f64,
    mean_time: f64,
    report_squares: f64,
    products: f64,
    observed_at: Option<Instant>,
    is_ignored: bool,
}

impl SlownessCheck {
    /// Returns whether the reports are to be ignored because times do not follow them.
    pub(crate) fn is_ignored(&self) -> bool {
        self.is_ignored
    }

    /// Records a finished call: the mean factor reported during its run and the time it took.
    pub(crate) fn observe(&mut self, kind: WorkKind, factor: f64, own: Duration, now: Instant) {
        if own.is_zero() || factor <= 0.0 {
            return;
        }
        let time = self.unusual_log_time(kind, own.as_secs_f64().ln());
        let report = factor.ln();
        self.decay(now);
        self.weight += 1.0;
        let deviation = report - self.mean_report;
        self.mean_report += deviation / self.weight;
        self.mean_time += (time - self.mean_time) / self.weight;
        self.report_squares += deviation * (report - self.mean_report);
        self.products += deviation * (time - self.mean_time);
        self.judge();
    }

    fn unusual_log_time(&mut self, kind: WorkKind, log_secs: f64) -> f64 {
        let usual = &mut self.usual[mix(kind) as usize % TRACKED_KINDS];
        usual.calls = usual.calls.saturating_add(1);
        let weight = MIN_USUAL_WEIGHT.max(1.0 / f64::from(usual.calls));
        usual.log_secs += (log_secs - usual.log_secs) * weight;
        log_secs - usual.log_secs
    }

    fn decay(&mut self, now: Instant) {
        let age = self.observed_at.map_or(Duration::ZERO, |observed_at| {
            now.saturating_duration_since(observed_at)
        });
        self.observed_at = Some(now);
        let kept = (-age.as_secs_f64() / MEMORY.as_secs_f64()).exp();
        self.weight *= kept;
        self.report_squares *= kept;
        self.products *= kept;
    }

    fn judge(&mut self) {
        if self.report_squares < MIN_EVIDENCE {
            return;
        }
        let exponent = self.products / self.report_squares;
        self.is_ignored = match self.is_ignored {
            true => exponent <= HEEDED_ABOVE,
            false => exponent < IGNORED_BELOW,
        };
    }
}
