//! Faults of the platform that a test can switch on.

use serde::{Deserialize, Serialize};

/// All faults; none is switched on by default.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Switches {
    /// Every call is answered with 503 and has no effect; waiting watches end.
    pub down: bool,
    /// Delay before a call is processed.
    pub slow_ms: u64,
    /// Number of further writes that take effect but whose answers are dropped; decremented by each.
    pub lose_answers: u32,
    /// Connections of watches are closed, including those of waiting ones.
    pub drop_watches: bool,
    /// Only the newest revision is known: a watch after an older one is answered with 410.
    pub forgets_revisions: bool,
    /// Answers do not conform to the interface.
    pub malformed: bool,
}
