//! Faults that a test can switch on.

use serde::{Deserialize, Serialize};

/// All faults; the default is none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Switches {
    /// Every call is answered 503 and has no effect; waiting watches end.
    pub down: bool,
    /// Waits this long before a call is looked at.
    pub slow_ms: u64,
    /// So many writes take effect and their answers are cut; counts down.
    pub lose_answers: u32,
    /// Watches are cut, the waiting ones too.
    pub drop_watches: bool,
    /// Only the newest revision is known: watches after an older one are 410.
    pub forgets_revisions: bool,
    /// Answers are not what the interface says.
    pub malformed: bool,
}
