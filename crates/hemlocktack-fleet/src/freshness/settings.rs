//! Settings of the freshness proof.

use std::time::Duration;

use strum::{Display, EnumIter, EnumString};

/// A safeguard that a mutation test disables, to show that the randomised runs detect its absence.
/// A node never disables one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum FreshnessSafeguard {
    /// A proof is dated by the moment of the question, not by that of the answer.
    DatedByQuestion,
    /// The age that another node reports is subtracted.
    ReportedAge,
    /// The clock counts while the machine is suspended.
    SuspendedTime,
    /// A proof of a higher generation than the active one admits nothing.
    ProofOfActiveGeneration,
    /// A proof expires.
    Expiry,
}

/// Intervals and limits of the freshness proof.
#[derive(Clone, Copy, Debug)]
pub struct FreshnessSettings {
    /// Nodes of a data centre for which one of them asks the store.
    pub nodes_per_source: usize,
    /// Minimum number of nodes of a data centre that ask the store.
    pub min_sources: usize,
    /// Interval at which a source asks the store, and any other node a source.
    pub ask_interval: Duration,
    /// The same while the proof is older than `overdue_age`, for sources.
    pub overdue_interval: Duration,
    /// Age at which a proof is overdue.
    pub overdue_age: Duration,
    /// Mean interval of additional questions while the proof is overdue: a source asks another
    /// node, any other node asks the store.
    pub other_ask_interval: Duration,
    /// Time after which a question counts as lost.
    pub ask_timeout: Duration,
    /// Questions that may be unanswered at the same time, so that one lost question does not delay
    /// the next.
    pub max_unanswered: usize,
}

impl Default for FreshnessSettings {
    fn default() -> Self {
        FreshnessSettings {
            nodes_per_source: 24,
            min_sources: 1,
            ask_interval: Duration::from_millis(250),
            overdue_interval: Duration::from_millis(100),
            overdue_age: Duration::from_millis(1_000),
            other_ask_interval: Duration::from_millis(1_000),
            ask_timeout: Duration::from_millis(700),
            max_unanswered: 4,
        }
    }
}
