//! Counts of calls by kind. A watch counts once, however long it waits.

use std::sync::atomic::{AtomicU64, Ordering};

use serde::{Deserialize, Serialize};

/// Counts of calls received so far, including refused ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Reads of one object.
    pub gets: u64,
    /// Lists of a prefix.
    pub lists: u64,
    /// Watches, waiting or ended.
    pub watches: u64,
    /// Conditional writes.
    pub puts: u64,
    /// Conditional deletes.
    pub deletes: u64,
    /// Writes and deletes refused because of another version.
    pub conflicts: u64,
}

/// Kind of call, or a conflict, that is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    Get,
    List,
    Watch,
    Put,
    Delete,
    Conflict,
}

const KIND_COUNT: usize = 6;

#[derive(Debug, Default)]
pub(crate) struct Counters([AtomicU64; KIND_COUNT]);

impl Counters {
    pub(crate) fn add(&self, kind: Kind) {
        self.0[kind as usize].fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn read(&self) -> Counts {
        let count = |kind: Kind| self.0[kind as usize].load(Ordering::Relaxed);
        Counts {
            gets: count(Kind::Get),
            lists: count(Kind::List),
            watches: count(Kind::Watch),
            puts: count(Kind::Put),
            deletes: count(Kind::Delete),
            conflicts: count(Kind::Conflict),
        }
    }
}
