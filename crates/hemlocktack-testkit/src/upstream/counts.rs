//! What an upstream has done, by request marker.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};

use crate::upstream::Shared;

/// What an upstream has done so far.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Calls that were started, by marker; the unmarked under `""`.
    pub starts: BTreeMap<String, u64>,
    /// Calls that were worked to their end.
    pub finished: u64,
    /// Calls answered 503 not-run.
    pub shed: u64,
    /// Calls whose time was over before they started.
    pub too_late: u64,
    /// Running and waiting now.
    pub in_flight: u64,
    /// Announcements that the node accepted.
    pub announcements: u64,
    /// Load reports that were asked for.
    pub load_reports: u64,
}

impl Counts {
    /// Starts of the calls with that marker.
    pub fn starts_of(&self, marker: &str) -> u64 {
        self.starts.get(marker).copied().unwrap_or_default()
    }

    /// Starts of all calls.
    pub fn all_starts(&self) -> u64 {
        self.starts.values().sum()
    }
}

#[derive(Debug, Default)]
pub(crate) struct Counters {
    starts: Mutex<BTreeMap<String, u64>>,
    pub(crate) finished: AtomicU64,
    pub(crate) shed: AtomicU64,
    pub(crate) too_late: AtomicU64,
    pub(crate) announcements: AtomicU64,
    pub(crate) load_reports: AtomicU64,
}

impl Counters {
    pub(crate) fn start(&self, marker: &str) {
        *self.starts().entry(marker.to_owned()).or_default() += 1;
    }

    fn starts(&self) -> MutexGuard<'_, BTreeMap<String, u64>> {
        self.starts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Shared {
    pub(crate) fn counts(&self) -> Counts {
        let read = |count: &AtomicU64| count.load(Ordering::Relaxed);
        Counts {
            starts: self.counters.starts().clone(),
            finished: read(&self.counters.finished),
            shed: read(&self.counters.shed),
            too_late: read(&self.counters.too_late),
            in_flight: read(&self.in_flight),
            announcements: read(&self.counters.announcements),
            load_reports: read(&self.counters.load_reports),
        }
    }
}
