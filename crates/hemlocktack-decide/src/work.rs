//! Estimates of how long calls of each kind take, learnt from finished calls.

use std::time::{Duration, Instant};

use crate::WorkKind;
use crate::mix::mix;

/// Entries of the table of estimates for one upstream. Kinds that hash to the same entry share
/// an estimate between theirs; with 32 entries this is rare for the few request rules of one
/// service.
const TRACKED_KINDS: usize = 32;
/// Weight of one sample: the mean covers about the last 32 calls, which reduces the variation of
/// single calls to a fifth.
const SAMPLE_WEIGHT: f64 = 1.0 / 32.0;
/// Samples before a mean may become the baseline.
const MIN_BASELINE_SAMPLES: u32 = 32;
/// Period after which a baseline is dropped: an upstream that has become slower for good is
/// measured against its new latency after at most twice this time. It is longer than the time
/// between two trials of the limit, so that each baseline includes a time without a queue inside
/// the upstream.
const BASELINE_PERIOD: Duration = Duration::from_secs(15);

/// Time without finished calls over which the estimate of the wait for child calls decays to
/// zero: as long as a shed level is kept.
///
/// When a child service is overloaded, calls of a kind may take longer than their callers'
/// timeout, so that all of them are refused. No call then finishes to show that the child
/// service has recovered, and without the decay they would be refused for the lifetime of the
/// node. The upstream's own service time does not depend on other services and is kept.
const CHILD_WAIT_LIFETIME: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug)]
struct KindEstimate {
    samples: u32,
    /// When the last call of the kind finished.
    last_finished_at: Option<Instant>,
    total_secs: f64,
    own_secs: f64,
    baseline_secs: f64,
    previous_baseline_secs: f64,
}

const NO_SAMPLES: KindEstimate = KindEstimate {
    samples: 0,
    last_finished_at: None,
    total_secs: 0.0,
    own_secs: 0.0,
    baseline_secs: f64::INFINITY,
    previous_baseline_secs: f64::INFINITY,
};

/// Estimates per kind and over all kinds.
#[derive(Debug)]
pub(crate) struct WorkEstimates {
    kinds: [KindEstimate; TRACKED_KINDS],
    all: KindEstimate,
    period_began: Instant,
}

impl WorkEstimates {
    pub(crate) fn new(now: Instant) -> Self {
        WorkEstimates {
            kinds: [NO_SAMPLES; TRACKED_KINDS],
            all: NO_SAMPLES,
            period_began: now,
        }
    }

    /// Records a finished call: its total time and the part not spent waiting for child calls.
    /// Returns the latter as a multiple of the baseline of its kind.
    pub(crate) fn observe(
        &mut self,
        kind: WorkKind,
        total: Duration,
        own: Duration,
        now: Instant,
    ) -> f64 {
        self.expire_baselines(now);
        self.all.observe(total, own, now);
        let entry = &mut self.kinds[entry_index(kind)];
        entry.observe(total, own, now);
        let baseline = entry.baseline();
        if baseline.is_finite() && baseline > 0.0 {
            own.as_secs_f64() / baseline
        } else {
            1.0
        }
    }

    /// Returns the mean time of a call of the kind, including its child calls, if its own work
    /// takes `slowness` times as long as usual; the mean over all kinds if the kind is unknown.
    pub(crate) fn expected(&self, kind: WorkKind, slowness: f64, now: Instant) -> Duration {
        let entry = &self.kinds[entry_index(kind)];
        let known = if entry.samples > 0 { entry } else { &self.all };
        let extra_secs = known.own_secs * (slowness - 1.0);
        Duration::from_secs_f64((known.expected_secs(now) + extra_secs).max(0.0))
    }

    /// Returns the mean time of a call over all kinds at the upstream's usual speed.
    pub(crate) fn expected_any(&self) -> Duration {
        Duration::from_secs_f64(self.all.total_secs)
    }

    /// Returns by which factor a call takes longer if its own work takes `slowness` times as long
    /// as usual. The wait for child calls does not depend on the upstream's speed.
    pub(crate) fn slowed(&self, slowness: f64) -> f64 {
        if self.all.total_secs > 0.0 {
            1.0 + self.all.own_secs / self.all.total_secs * (slowness - 1.0)
        } else {
            slowness
        }
    }

    /// Sets the baselines to the current mean service times.
    pub(crate) fn adopt_baselines(&mut self) {
        for entry in &mut self.kinds {
            if entry.baseline().is_finite() {
                entry.baseline_secs = entry.own_secs;
                entry.previous_baseline_secs = f64::INFINITY;
            }
        }
    }

    fn expire_baselines(&mut self, now: Instant) {
        if now.saturating_duration_since(self.period_began) < BASELINE_PERIOD {
            return;
        }
        self.period_began = now;
        for entry in &mut self.kinds {
            entry.previous_baseline_secs = entry.baseline_secs;
            entry.baseline_secs = f64::INFINITY;
        }
    }
}

impl KindEstimate {
    fn observe(&mut self, total: Duration, own: Duration, now: Instant) {
        self.last_finished_at = Some(now);
        self.samples = self.samples.saturating_add(1);
        // The first samples form a plain mean, so that the estimate does not start from an
        // arbitrary value.
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples));
        self.total_secs += (total.as_secs_f64() - self.total_secs) * weight;
        self.own_secs += (own.as_secs_f64() - self.own_secs) * weight;
        if self.samples >= MIN_BASELINE_SAMPLES {
            self.baseline_secs = self.baseline_secs.min(self.own_secs);
        }
    }

    /// Returns the expected time of a call. The wait for child calls starts to decay only after
    /// the expected duration of a call, because a call admitted now reports its time no sooner.
    fn expected_secs(&self, now: Instant) -> f64 {
        let age = self
            .last_finished_at
            .map_or(Duration::ZERO, |last_finished_at| {
                now.saturating_duration_since(last_finished_at)
            });
        let idle_secs = (age.as_secs_f64() - self.total_secs).max(0.0);
        let forgotten = (idle_secs / CHILD_WAIT_LIFETIME.as_secs_f64()).min(1.0);
        let child_wait_secs = (self.total_secs - self.own_secs).max(0.0);
        self.total_secs - child_wait_secs * forgotten
    }

    fn baseline(&self) -> f64 {
        self.baseline_secs.min(self.previous_baseline_secs)
    }
}

fn entry_index(kind: WorkKind) -> usize {
    mix(kind) as usize % TRACKED_KINDS
}
