//! How long calls wait, and for what.

use super::histogram::DurationHistogram;

/// Waits since the node's start.
#[derive(Debug, Default)]
pub(crate) struct Waits {
    /// From a caller's request until its answer leaves.
    pub(crate) entry: DurationHistogram,
    /// For another node's reply.
    pub(crate) link: DurationHistogram,
    /// For a slot of the upstream; also where it ends in a refusal.
    pub(crate) queue: DurationHistogram,
    /// For the upstream's answer.
    pub(crate) upstream: DurationHistogram,
}
