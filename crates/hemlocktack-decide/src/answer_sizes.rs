//! Mean size of the answers to each kind of work.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::WorkKind;
use crate::mix::mix;

/// Entries of the table. Kinds that share an entry share a mean; this is rare for the few dozen
/// request rules of one deployment.
const TRACKED_KINDS: usize = 256;
/// Each answer moves the mean by one part in this many.
const AVERAGING_ANSWERS: u64 = 16;
/// Fixed-point fraction, so that small differences are not lost to rounding.
const FRACTION_BITS: u32 = 8;
/// Largest size that is recorded, which keeps the fixed-point numbers in range.
const MAX_BYTES: u64 = 1 << 40;

/// Mean answer sizes, shared between threads. Of two updates at the same time one may be lost,
/// which a mean tolerates.
#[derive(Debug)]
pub struct AnswerSizes {
    /// Fixed-point means plus one; zero while unknown.
    means: [AtomicU64; TRACKED_KINDS],
}

impl Default for AnswerSizes {
    fn default() -> Self {
        AnswerSizes {
            means: [const { AtomicU64::new(0) }; TRACKED_KINDS],
        }
    }
}

impl AnswerSizes {
    /// Records the size of an answer to a call of this kind.
    pub fn record(&self, kind: WorkKind, bytes: usize) {
        let entry = self.entry(kind);
        let size = (bytes as u64).min(MAX_BYTES) << FRACTION_BITS;
        let mean = match entry.load(Ordering::Relaxed) {
            0 => size,
            known => {
                let mean = known - 1;
                mean - mean / AVERAGING_ANSWERS + size / AVERAGING_ANSWERS
            }
        };
        entry.store(mean + 1, Ordering::Relaxed);
    }

    /// Returns the mean size of answers to calls of this kind in bytes, 0 while it is unknown.
    pub fn mean_bytes(&self, kind: WorkKind) -> f64 {
        let mean = self.entry(kind).load(Ordering::Relaxed).saturating_sub(1);
        mean as f64 / f64::from(1_u32 << FRACTION_BITS)
    }

    fn entry(&self, kind: WorkKind) -> &AtomicU64 {
        &self.means[mix(kind) as usize % TRACKED_KINDS]
    }
}
