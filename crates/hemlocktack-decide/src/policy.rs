//! Numbers of the admission.

use std::time::Duration;

use crate::limit::LimitPolicy;
use crate::objective_limit::ObjectiveLimitPolicy;
use crate::quarantine::QuarantinePolicy;
use crate::retry_after::RetryAfterPolicy;
use crate::shed::ShedPolicy;

/// Numbers of [`crate::Admission`].
#[derive(Clone, Copy, Debug, Default)]
pub struct AdmissionPolicy {
    /// Concurrency limit by the upstream's own latency.
    pub limit: LimitPolicy,
    /// Concurrency limit by operators' objectives, used instead where they
    /// state them.
    pub objective: Option<ObjectiveLimitPolicy>,
    /// Shed level.
    pub shed: ShedPolicy,
    /// Crash quarantine.
    pub quarantine: QuarantinePolicy,
    /// When refused callers may come back.
    pub retry_after: RetryAfterPolicy,
    /// Queue bounds.
    pub queue: QueuePolicy,
}

/// Bounds of the queue in front of the upstream.
#[derive(Clone, Copy, Debug)]
pub struct QueuePolicy {
    /// Calls that may wait for each slot. Six service times absorb a burst of
    /// three times the capacity that lasts two of them; a longer queue only
    /// delays the refusal of what cannot be served.
    pub per_slot: f64,
    /// Queue that an upstream with very few slots still has.
    pub least: usize,
    /// Operators' bound on the queue, whatever the slots.
    pub most: usize,
    /// A call is refused when its time left is below its expected wait and this
    /// multiple of its expected work: service times spread around their mean.
    pub work_margin: f64,
    /// Longest wait of a root request as a share of its objective. Who cannot be
    /// served within it is told so while there is time to come back, and the
    /// rest of the objective is left for the run and its spread.
    pub wait_share: f64,
    /// Time between two looks for calls in the queue that cannot make it any
    /// more: small against any caller's patience.
    pub sweep_every: Duration,
    /// One call that looks hopeless is run this often while slots are idle: the
    /// estimate may be out of date, and only finished calls correct it.
    pub probe_every: Duration,
    /// After a call was refused for load, calls of less important classes are
    /// not queued for this long: slots that free up must not go to them.
    pub strict_for: Duration,
}

impl Default for QueuePolicy {
    fn default() -> Self {
        QueuePolicy {
            per_slot: 6.0,
            least: 16,
            most: 10_000,
            work_margin: 1.25,
            wait_share: 0.2,
            sweep_every: Duration::from_millis(10),
            probe_every: Duration::from_millis(100),
            strict_for: Duration::from_millis(50),
        }
    }
}
