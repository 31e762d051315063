//! Time of the last activity of a link's peer.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Time of the last activity of a link's peer. Bytes count rather than whole frames, because a
/// large answer over a slow network takes long although the peer is active.
#[derive(Clone)]
pub(super) struct LastReceived {
    opened: Instant,
    last_us: Arc<AtomicU64>,
}

impl LastReceived {
    pub(super) fn new() -> Self {
        Self {
            opened: Instant::now(),
            last_us: Arc::default(),
        }
    }

    pub(super) fn update(&self) {
        let since_us = self.opened.elapsed().as_micros();
        let since_us = u64::try_from(since_us).unwrap_or(u64::MAX);
        self.last_us.store(since_us, Ordering::Release);
    }

    pub(super) fn get(&self) -> Instant {
        self.opened + Duration::from_micros(self.last_us.load(Ordering::Acquire))
    }
}
