//! Counts of the calls that an upstream received.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};

use crate::upstream::Shared;

/// Counts of one upstream since it was spawned.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Calls that were started, by marker; calls without a marker are under `""`.
    pub starts: BTreeMap<String, u64>,
    /// Calls that ran to completion.
    pub finished: u64,
    /// Calls answered with 503 and `hemlocktack-outcome: not-run`.
    pub shed: u64,
    /// Calls whose deadline passed before they started.
    pub too_late: u64,
    /// Calls that are running or waiting for a slot.
    pub in_flight: u64,
    /// Announcements that the node accepted.
    pub announcements: u64,
    /// Load reports that were requested.
    pub load_reports: u64,
}

impl Counts {
    /// Returns how many calls with this marker were started.
    pub fn starts_of(&self, marker: &str) -> u64 {
        self.starts.get(marker).copied().unwrap_or_default()
    }

    /// Returns how many calls were started.
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
