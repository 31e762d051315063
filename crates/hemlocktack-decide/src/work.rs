//! What a call of each kind of work takes, learnt from finished calls.

use std::time::{Duration, Instant};

use crate::WorkKind;
use crate::mix::mix;

/// Kinds told apart at one upstream. Kinds that fall on the same entry share
/// its estimates, which then lie between theirs; 32 leaves that rare for the
/// few request rules of one service.
const KINDS: usize = 32;
/// Weight of one sample: the mean follows the last 32 or so calls, which damps
/// the spread of single calls to a fifth.
const SAMPLE_WEIGHT: f64 = 1.0 / 32.0;
/// Samples before a mean may become the floor.
const SAMPLES_BEFORE_FLOOR: u32 = 32;
/// Age at which a floor is dropped: an upstream that has become slower for good
/// is measured against its new self after at most twice this. Longer than the
/// time between two trials of the limit, so that each floor is from a time
/// without a queue inside the upstream.
const FLOOR_EPOCH: Duration = Duration::from_secs(15);

/// Time without a finished call after which what the last ones waited for deeper
/// calls says nothing any more: as long as a shed level is remembered.
///
/// Load: an overload of a deeper service. Harm: calls of a kind take longer than
/// their callers wait, so that all are refused; none finishes that could show
/// that the way is free again, and they are refused for as long as the node
/// lives. What the upstream itself takes does not depend on others and is kept.
const WAIT_BELOW_FORGOTTEN_AFTER: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug)]
struct KindWork {
    samples: u32,
    /// When the last call of the kind finished.
    seen_at: Option<Instant>,
    total_secs: f64,
    own_secs: f64,
    floor_secs: f64,
    previous_floor_secs: f64,
}

const UNKNOWN: KindWork = KindWork {
    samples: 0,
    seen_at: None,
    total_secs: 0.0,
    own_secs: 0.0,
    floor_secs: f64::INFINITY,
    previous_floor_secs: f64::INFINITY,
};

/// Estimates for each kind and over all kinds.
#[derive(Debug)]
pub(crate) struct WorkTable {
    kinds: [KindWork; KINDS],
    all: KindWork,
    epoch_began: Instant,
}

impl WorkTable {
    pub(crate) fn new(now: Instant) -> Self {
        WorkTable {
            kinds: [UNKNOWN; KINDS],
            all: UNKNOWN,
            epoch_began: now,
        }
    }

    /// Takes in a finished call: its whole time and the part without deeper
    /// calls. Returns its own time as a multiple of its kind's floor.
    pub(crate) fn observe(
        &mut self,
        kind: WorkKind,
        total: Duration,
        own: Duration,
        now: Instant,
    ) -> f64 {
        self.drop_old_floors(now);
        self.all.observe(total, own, now);
        let entry = &mut self.kinds[slot(kind)];
        entry.observe(total, own, now);
        let floor = entry.floor();
        if floor.is_finite() && floor > 0.0 {
            own.as_secs_f64() / floor
        } else {
            1.0
        }
    }

    /// Mean time of a call of the kind with its deeper calls; of any call while
    /// the kind is not known.
    pub(crate) fn expected(&self, kind: WorkKind, now: Instant) -> Duration {
        let entry = &self.kinds[slot(kind)];
        let known = if entry.samples > 0 { entry } else { &self.all };
        Duration::from_secs_f64(known.expected_secs(now))
    }

    /// Mean time of a call of any kind.
    pub(crate) fn expected_any(&self) -> Duration {
        Duration::from_secs_f64(self.all.total_secs)
    }

    /// Takes today's own times as the floors.
    pub(crate) fn adopt_floors(&mut self) {
        for entry in &mut self.kinds {
            if entry.floor().is_finite() {
                entry.floor_secs = entry.own_secs;
                entry.previous_floor_secs = f64::INFINITY;
            }
        }
    }

    fn drop_old_floors(&mut self, now: Instant) {
        if now.saturating_duration_since(self.epoch_began) < FLOOR_EPOCH {
            return;
        }
        self.epoch_began = now;
        for entry in &mut self.kinds {
            entry.previous_floor_secs = entry.floor_secs;
            entry.floor_secs = f64::INFINITY;
        }
    }
}

impl KindWork {
    fn observe(&mut self, total: Duration, own: Duration, now: Instant) {
        self.seen_at = Some(now);
        self.samples = self.samples.saturating_add(1);
        // The first samples weigh as in a plain mean, so that the estimate does
        // not start from an arbitrary value.
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples));
        self.total_secs += (total.as_secs_f64() - self.total_secs) * weight;
        self.own_secs += (own.as_secs_f64() - self.own_secs) * weight;
        if self.samples >= SAMPLES_BEFORE_FLOOR {
            self.floor_secs = self.floor_secs.min(self.own_secs);
        }
    }

    /// A call that was let in now shows what it takes only after that time, so
    /// that the wait below begins to be forgotten then.
    fn expected_secs(&self, now: Instant) -> f64 {
        let age = self.seen_at.map_or(Duration::ZERO, |seen_at| {
            now.saturating_duration_since(seen_at)
        });
        let unseen_secs = (age.as_secs_f64() - self.total_secs).max(0.0);
        let forgotten = (unseen_secs / WAIT_BELOW_FORGOTTEN_AFTER.as_secs_f64()).min(1.0);
        let below_secs = (self.total_secs - self.own_secs).max(0.0);
        self.total_secs - below_secs * forgotten
    }

    fn floor(&self) -> f64 {
        self.floor_secs.min(self.previous_floor_secs)
    }
}

fn slot(kind: WorkKind) -> usize {
    mix(kind) as usize % KINDS
}
