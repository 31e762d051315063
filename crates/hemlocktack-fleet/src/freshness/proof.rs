//! A proof, and its form in messages between nodes.

use std::time::Duration;

use hemlocktack_protocol::{BootTime, FreshnessReport, Generation, whole_micros};

/// Proof that `generation` was the newest one in the store at `proven_at`, together with what the
/// store held then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshnessProof {
    /// The newest generation at that moment.
    pub generation: Generation,
    /// The moment, on this node's own clock.
    pub proven_at: BootTime,
    /// Number of node records in the store at that moment.
    pub recorded_nodes: u32,
    /// The record of this start of this node was among them.
    pub is_recorded: bool,
}

impl FreshnessProof {
    /// Returns the time since the moment that the proof is about.
    pub fn age(&self, now: BootTime) -> Duration {
        now.saturating_since(self.proven_at)
    }

    /// Returns the report of this proof for another node.
    pub fn report(&self, asker_is_recorded: bool, now: BootTime) -> FreshnessReport {
        FreshnessReport {
            generation: self.generation,
            age_us: whole_micros(self.age(now)),
            recorded_nodes: self.recorded_nodes,
            asker_is_recorded,
        }
    }

    /// Returns the proof that follows from another node's report, if this node asked for it at
    /// `asked_at`.
    ///
    /// The report was made after that, so the moment that it proves lies no earlier than its age
    /// before the question.
    pub fn from_report(report: &FreshnessReport, asked_at: BootTime) -> Self {
        FreshnessProof {
            generation: report.generation,
            proven_at: asked_at.minus(Duration::from_micros(report.age_us)),
            recorded_nodes: report.recorded_nodes,
            is_recorded: report.asker_is_recorded,
        }
    }
}
