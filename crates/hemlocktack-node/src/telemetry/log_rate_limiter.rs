//! Limits the rate of log lines about single calls.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Log lines about single calls per second. At 300 bytes per line that is 60 KB/s: enough to
/// log every refused request under normal load, and about 1% of a core in an overload in
/// which all requests are refused.
const LINES_PER_SECOND: u32 = 200;
const SECOND: Duration = Duration::from_secs(1);

/// Allows a fixed number of log lines in each second.
#[derive(Debug)]
pub(crate) struct LogRateLimiter {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    second_began: Instant,
    written: u32,
    suppressed: u64,
}

impl Default for LogRateLimiter {
    fn default() -> Self {
        let state = State {
            second_began: Instant::now(),
            written: 0,
            suppressed: 0,
        };
        Self {
            state: Mutex::new(state),
        }
    }
}

impl LogRateLimiter {
    /// Returns the number of lines suppressed since the last one, if a line may be written.
    pub(crate) fn try_acquire(&self) -> Option<u64> {
        let now = Instant::now();
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if now.saturating_duration_since(state.second_began) >= SECOND {
            state.second_began = now;
            state.written = 0;
        }
        if state.written >= LINES_PER_SECOND {
            state.suppressed += 1;
            return None;
        }
        state.written += 1;
        Some(std::mem::take(&mut state.suppressed))
    }
}
