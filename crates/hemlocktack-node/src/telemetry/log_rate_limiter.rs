//! Bounds the log lines about single calls.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Lines about single calls in a second. At 300 bytes a line, 60 KB: enough to
/// follow any refused request on a calm day, and a hundredth of a core in an
/// overload that refuses everybody.
const LINES_PER_SECOND: u32 = 200;
const SECOND: Duration = Duration::from_secs(1);

/// Lines that may still be written in the current second.
#[derive(Debug)]
pub(crate) struct LogRateLimiter {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    second_began: Instant,
    written: u32,
    left_out: u64,
}

impl Default for LogRateLimiter {
    fn default() -> Self {
        let state = State {
            second_began: Instant::now(),
            written: 0,
            left_out: 0,
        };
        Self {
            state: Mutex::new(state),
        }
    }
}

impl LogRateLimiter {
    /// If a line may be written, how many were left out before it.
    pub(crate) fn try_acquire(&self) -> Option<u64> {
        let now = Instant::now();
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if now.saturating_duration_since(state.second_began) >= SECOND {
            state.second_began = now;
            state.written = 0;
        }
        if state.written >= LINES_PER_SECOND {
            state.left_out += 1;
            return None;
        }
        state.written += 1;
        Some(std::mem::take(&mut state.left_out))
    }
}
