//! Call counters, updated without locks on the request path.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use hemlocktack_decide::NextStep;
use hemlocktack_protocol::{Outcome, Reason, RefusalCount};
use strum::{EnumCount, IntoEnumIterator};

/// Larger than any number of a `Reason` in the schema.
const REASON_SLOTS: usize = 64;

/// Counts since the node started.
pub(crate) struct Counters {
    in_flight: Arc<AtomicU64>,
    demand: AtomicU64,
    admitted: AtomicU64,
    late_starts: AtomicU64,
    early_starts: AtomicU64,
    early_discards: AtomicU64,
    quota_waits: AtomicU64,
    quota_waits_served: AtomicU64,
    returned_requests: AtomicU64,
    returned_requests_refused: AtomicU64,
    ended_sends: [AtomicU64; NextStep::COUNT],
    refused: [AtomicU64; REASON_SLOTS],
}

/// Counts one call as in flight until it is dropped. It travels with the call's answer.
pub(crate) struct InFlightGuard {
    in_flight: Arc<AtomicU64>,
}

impl Default for Counters {
    fn default() -> Self {
        Self {
            in_flight: Arc::default(),
            demand: AtomicU64::new(0),
            admitted: AtomicU64::new(0),
            late_starts: AtomicU64::new(0),
            early_starts: AtomicU64::new(0),
            early_discards: AtomicU64::new(0),
            quota_waits: AtomicU64::new(0),
            quota_waits_served: AtomicU64::new(0),
            returned_requests: AtomicU64::new(0),
            returned_requests_refused: AtomicU64::new(0),
            ended_sends: std::array::from_fn(|_| AtomicU64::new(0)),
            refused: std::array::from_fn(|_| AtomicU64::new(0)),
        }
    }
}

impl Counters {
    /// Counts a call as in flight until the guard is dropped. A planned stop waits until
    /// no guard is left.
    pub(crate) fn track_call(&self) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        InFlightGuard {
            in_flight: self.in_flight.clone(),
        }
    }

    pub(crate) fn in_flight(&self) -> u64 {
        self.in_flight.load(Ordering::Acquire)
    }

    /// Counts a call that reached the upstream side.
    pub(crate) fn record_demand(&self) {
        self.demand.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn demand_count(&self) -> u64 {
        self.demand.load(Ordering::Relaxed)
    }

    /// Counts a call that got a slot of the upstream.
    pub(crate) fn record_admitted(&self) {
        self.admitted.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn admitted_count(&self) -> u64 {
        self.admitted.load(Ordering::Relaxed)
    }

    /// Counts a call that was started after its caller had left.
    pub(crate) fn record_late_start(&self) {
        self.late_starts.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn late_starts_count(&self) -> u64 {
        self.late_starts.load(Ordering::Relaxed)
    }

    /// Counts a pipelined request that was started before the response to an earlier one.
    pub(crate) fn record_early_start(&self) {
        self.early_starts.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn early_starts_count(&self) -> u64 {
        self.early_starts.load(Ordering::Relaxed)
    }

    /// Counts a request that was started early and whose response was not used.
    pub(crate) fn record_early_discard(&self) {
        self.early_discards.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn early_discards_count(&self) -> u64 {
        self.early_discards.load(Ordering::Relaxed)
    }

    /// Counts a request that waits for a token of its quota because there was none.
    pub(crate) fn record_quota_wait(&self) {
        self.quota_waits.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn quota_waits_count(&self) -> u64 {
        self.quota_waits.load(Ordering::Relaxed)
    }

    /// Counts a request that got a token after such a wait.
    pub(crate) fn record_quota_wait_served(&self) {
        self.quota_waits_served.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn quota_waits_served_count(&self) -> u64 {
        self.quota_waits_served.load(Ordering::Relaxed)
    }

    /// Counts a request of a caller that returned on time after a refusal.
    pub(crate) fn record_returned_request(&self, outcome: Outcome) {
        self.returned_requests.fetch_add(1, Ordering::Relaxed);
        if outcome == Outcome::NotRun {
            self.returned_requests_refused
                .fetch_add(1, Ordering::Relaxed);
        }
    }

    pub(crate) fn returned_requests_count(&self) -> u64 {
        self.returned_requests.load(Ordering::Relaxed)
    }

    pub(crate) fn returned_requests_refused_count(&self) -> u64 {
        self.returned_requests_refused.load(Ordering::Relaxed)
    }

    /// Counts a send that ended without an answer, by the step that followed it.
    pub(crate) fn record_send_end(&self, next: NextStep) {
        self.ended_sends[next as usize].fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn ended_sends_count(&self, next: NextStep) -> u64 {
        self.ended_sends[next as usize].load(Ordering::Relaxed)
    }

    pub(crate) fn retried_count(&self) -> u64 {
        self.ended_sends_count(NextStep::Retried)
    }

    /// Counts a call that the upstream side refused.
    pub(crate) fn record_refusal(&self, reason: Reason) {
        if let Some(count) = self.refused.get(reason as usize) {
            count.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns the non-zero refusal counts by reason.
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
