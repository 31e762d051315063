//! Histograms of the times that calls wait.

use super::histogram::DurationHistogram;

/// Wait times since the node started.
#[derive(Debug, Default)]
pub(crate) struct Waits {
    /// From a caller's request until its answer is sent.
    pub(crate) entry: DurationHistogram,
    /// Waiting for another node's reply.
    pub(crate) link: DurationHistogram,
    /// Waiting for a slot of the upstream, including waits that end in a refusal.
    pub(crate) queue: DurationHistogram,
    /// Waiting for the upstream's answer.
    pub(crate) upstream: DurationHistogram,
}
