//! When anything came over a link last.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Moment of the last sign of life of a link's far end. Bytes count, not whole
/// frames: a large answer over a narrow way takes long and is no silence.
#[derive(Clone)]
pub(super) struct Heard {
    opened: Instant,
    last_us: Arc<AtomicU64>,
}

impl Heard {
    pub(super) fn new() -> Self {
        Self {
            opened: Instant::now(),
            last_us: Arc::default(),
        }
    }

    pub(super) fn note(&self) {
        let since_us = self.opened.elapsed().as_micros();
        let since_us = u64::try_from(since_us).unwrap_or(u64::MAX);
        self.last_us.store(since_us, Ordering::Release);
    }

    pub(super) fn last(&self) -> Instant {
        self.opened + Duration::from_micros(self.last_us.load(Ordering::Acquire))
    }
}
