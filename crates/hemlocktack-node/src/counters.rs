//! Counts of calls, kept without locks on the request path.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use hemlocktack_decide::NextStep;
use hemlocktack_protocol::{Reason, RefusalCount};
use strum::{EnumCount, IntoEnumIterator};

/// Larger than any number of a `Reason` in the schema.
const REASON_NUMBERS: usize = 64;

/// Counts since the node's start.
pub(crate) struct Counters {
    in_flight: Arc<AtomicU64>,
    demand: AtomicU64,
    admitted: AtomicU64,
    ended_sends: [AtomicU64; NextStep::COUNT],
    refused: [AtomicU64; REASON_NUMBERS],
}

/// One call in flight; goes wherever its answer goes.
pub(crate) struct InFlightGuard {
    in_flight: Arc<AtomicU64>,
}

impl Default for Counters {
    fn default() -> Self {
        Self {
            in_flight: Arc::default(),
            demand: AtomicU64::new(0),
            admitted: AtomicU64::new(0),
            ended_sends: std::array::from_fn(|_| AtomicU64::new(0)),
            refused: std::array::from_fn(|_| AtomicU64::new(0)),
        }
    }
}

impl Counters {
    /// Counts a call until the guard goes; a planned stop waits for all guards.
    pub(crate) fn track_call(&self) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        InFlightGuard {
            in_flight: self.in_flight.clone(),
        }
    }

    pub(crate) fn in_flight(&self) -> u64 {
        self.in_flight.load(Ordering::Acquire)
    }

    /// A call reached the upstream side.
    pub(crate) fn record_demand(&self) {
        self.demand.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn demand_count(&self) -> u64 {
        self.demand.load(Ordering::Relaxed)
    }

    /// A call got a slot of the upstream.
    pub(crate) fn record_admitted(&self) {
        self.admitted.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn admitted_count(&self) -> u64 {
        self.admitted.load(Ordering::Relaxed)
    }

    /// A send ended without an answer, and this followed.
    pub(crate) fn record_send_end(&self, next: NextStep) {
        self.ended_sends[next as usize].fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn ended_sends_count(&self, next: NextStep) -> u64 {
        self.ended_sends[next as usize].load(Ordering::Relaxed)
    }

    pub(crate) fn retried_count(&self) -> u64 {
        self.ended_sends_count(NextStep::Retried)
    }

    /// The upstream side refused a call.
    pub(crate) fn record_refusal(&self, reason: Reason) {
        if let Some(count) = self.refused.get(reason as usize) {
            count.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Refusals by reason, those that happened.
    pub(crate) fn refusals(&self) -> Vec<RefusalCount> {
        let mut refusals = Vec::new();
        for reason in Reason::iter() {
            let count = self
                .refused
                .get(reason as usize)
                .map_or(0, |count| count.load(Ordering::Relaxed));
            if count > 0 {
                refusals.push(RefusalCount {
                    reason: reason.into(),
                    count,
                });
            }
        }
        refusals
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}
