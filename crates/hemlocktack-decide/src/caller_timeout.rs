//! Estimates how long a caller has already waited from the timeout it sends.

use std::time::Duration;

/// Timeouts tracked per kind of request. Each calling program uses one or two; the others are
/// the remaining times of callers that retry.
const MAX_CANDIDATES: usize = 4;
/// Requests with the same timeout before it counts as typical.
const MIN_COUNT_OF_TYPICAL: u32 = 4;
/// Counts are halved at this value, so that a new release of the calling programs with another
/// timeout is noticed.
const MAX_COUNT: u32 = 1_000;
/// Smaller differences are attributed to rounding by the caller.
const ROUNDING_TOLERANCE: Duration = Duration::from_millis(10);

/// Learns the timeout that callers of one kind of request start with.
///
/// During an overload, refused callers retry. Without this estimate a retried request looks like
/// a new one and is assumed to have its whole objective left: it takes a slot, its answer comes
/// late, and a new request that could have been answered in time is refused instead. A caller
/// that retries sends only its remaining time, and most requests are first attempts, so the most
/// frequent timeout is the full one (Misra-Gries counts).
#[derive(Clone, Debug, Default)]
pub struct CallerTimeoutEstimator {
    candidates: [Candidate; MAX_CANDIDATES],
}

#[derive(Clone, Copy, Debug, Default)]
struct Candidate {
    timeout: Duration,
    count: u32,
}

impl CallerTimeoutEstimator {
    /// Records the timeout that a caller sent and returns the estimated time it has already
    /// waited.
    pub fn estimate_waited(&mut self, timeout: Duration) -> Duration {
        self.count(timeout);
        let typical = self
            .candidates
            .iter()
            .max_by_key(|candidate| candidate.count);
        let typical = typical.filter(|typical| typical.count >= MIN_COUNT_OF_TYPICAL);
        let waited = typical.map_or(Duration::ZERO, |typical| {
            typical.timeout.saturating_sub(timeout)
        });
        if waited < ROUNDING_TOLERANCE {
            Duration::ZERO
        } else {
            waited
        }
    }

    fn count(&mut self, timeout: Duration) {
        let known = self.candidates.iter_mut();
        let mut known = known.filter(|candidate| candidate.count > 0);
        if let Some(same) = known.find(|candidate| candidate.timeout == timeout) {
            same.count += 1;
            if same.count >= MAX_COUNT {
                self.candidates
                    .iter_mut()
                    .for_each(|candidate| candidate.count /= 2);
            }
            return;
        }
        match self
            .candidates
            .iter_mut()
            .find(|candidate| candidate.count == 0)
        {
            Some(free) => *free = Candidate { timeout, count: 1 },
            None => self
                .candidates
                .iter_mut()
                .for_each(|candidate| candidate.count -= 1),
        }
    }
}
