//! Time of the last activity of a link's peer.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use hemlocktack_protocol::whole_micros;

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
        let since_us = whole_micros(self.opened.elapsed());
        self.last_us.store(since_us, Ordering::Release);
    }

    pub(super) fn get(&self) -> Instant {
        self.opened + Duration::from_micros(self.last_us.load(Ordering::Acquire))
    }
}
