//! Parameters of the admission.

use std::time::Duration;

use crate::limit::LimitPolicy;
use crate::objective_limit::ObjectiveLimitPolicy;
use crate::quarantine::QuarantinePolicy;
use crate::retry_after::RetryAfterPolicy;
use crate::shed::ShedPolicy;

/// Parameters of [`crate::Admission`].
#[derive(Clone, Copy, Debug, Default)]
pub struct AdmissionPolicy {
    /// Concurrency limit derived from the upstream's own latency.
    pub limit: LimitPolicy,
    /// Concurrency limit derived from the operators' latency objectives. Replaces `limit` where
    /// set.
    pub objective: Option<ObjectiveLimitPolicy>,
    /// Load shedding by level.
    pub shed: ShedPolicy,
    /// Quarantine of requests that crash upstreams.
    pub quarantine: QuarantinePolicy,
    /// Retry-After of refusals.
    pub retry_after: RetryAfterPolicy,
    /// Queue bounds.
    pub queue: QueuePolicy,
}

/// Bounds of the queue in front of the upstream.
#[derive(Clone, Copy, Debug)]
pub struct QueuePolicy {
    /// Queued calls per slot. Six service times absorb a burst of three times the capacity that
    /// lasts two service times; a longer queue only delays the refusal of calls that cannot be
    /// served.
    pub calls_per_slot: f64,
    /// Minimum queue bound, for upstreams with very few slots.
    pub min_calls: usize,
    /// Maximum queue bound, set by operators, whatever the number of slots.
    pub max_calls: usize,
    /// A call is refused when its remaining time is below its expected wait plus this multiple
    /// of its expected service time, since service times vary around their mean.
    pub work_margin: f64,
    /// Maximum expected wait of a root request, as a share of its objective. A caller that
    /// cannot be served within it is refused while it still has time to retry, and the rest of
    /// the objective is left for the run and its variance.
    pub max_wait_share: f64,
    /// Interval between two sweeps that refuse expired calls in the queue; short compared with
    /// any caller timeout.
    pub sweep_interval: Duration,
    /// Interval at which a call that is expected to miss its deadline is run anyway while slots
    /// are idle: the estimate may be stale, and only finished calls correct it.
    pub probe_interval: Duration,
    /// After a call is refused because the queue is full, calls of less important classes are
    /// not queued for this long, so that they do not take the next free slots.
    pub hold_back_for: Duration,
}

impl Default for QueuePolicy {
    fn default() -> Self {
        QueuePolicy {
            calls_per_slot: 6.0,
            min_calls: 16,
            max_calls: 10_000,
            work_margin: 1.25,
            max_wait_share: 0.2,
            sweep_interval: Duration::from_millis(10),
            probe_interval: Duration::from_millis(100),
            hold_back_for: Duration::from_millis(50),
        }
    }
}
