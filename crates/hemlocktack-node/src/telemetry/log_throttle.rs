//! Limits the rate of log lines that remote parties can trigger at will.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Interval between lines, so that an attacker who tries tokens or keys cannot fill the log.
const INTERVAL: Duration = Duration::from_secs(1);

/// Counts occurrences, and allows one log line per interval.
#[derive(Debug, Default)]
pub(crate) struct LogThrottle {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    logged: Option<Instant>,
    since_logged: u64,
    total: u64,
}

impl LogThrottle {
    /// Counts one occurrence; returns the occurrences since the last line if a line is due.
    pub(crate) fn record(&self) -> Option<u64> {
        let now = Instant::now();
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.total += 1;
        state.since_logged += 1;
        let is_recent = |logged: Instant| now.saturating_duration_since(logged) < INTERVAL;
        if state.logged.is_some_and(is_recent) {
            return None;
        }
        state.logged = Some(now);
        Some(std::mem::take(&mut state.since_logged))
    }

    /// Returns the number of all occurrences.
    pub(crate) fn total(&self) -> u64 {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.total
    }
}
