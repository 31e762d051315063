//! Tracking of the upstream's process. A start is one run of that process; its id is reported by
//! the upstream as `upstream_start`.

use std::cmp::Ordering;
use std::collections::VecDeque;

/// Number of starts remembered as gone. Their messages arrive seconds late, not dozens of starts
/// late.
const MAX_GONE_STARTS: usize = 32;

/// The start that a message is from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MessageOrigin {
    Current,
    /// A start before the current one, with the same id.
    Earlier,
    /// A start after the current one, with the same id.
    Later,
    /// A start with another id.
    Other,
}

/// The upstream's starts, as known from their messages.
#[derive(Default)]
pub(crate) struct UpstreamStarts {
    current: Option<String>,
    /// When the current start began, once it has reported that.
    started_unix_ms: Option<u64>,
    /// Number of starts that have been current so far.
    start_count: u64,
    sequence: Option<u64>,
    has_left: bool,
    gone: VecDeque<String>,
}

impl UpstreamStarts {
    /// Whether any start is known.
    pub(crate) fn has_current(&self) -> bool {
        self.current.is_some()
    }

    /// Returns which start a message is from, by its id and start time.
    ///
    /// An upstream may crash, start again with the same id and number its messages from one. If
    /// they were attributed to the earlier start, they would be ignored as out of date or as sent
    /// after it left, and the upstream would get no calls for as long as it runs. Likewise, a
    /// delayed leave of the earlier start would take the later one out of service. Start times of
    /// one machine tell them apart, however its clock is set.
    pub(crate) fn origin_of(
        &self,
        upstream_start: &str,
        started_unix_ms: Option<u64>,
    ) -> MessageOrigin {
        if self.current.as_deref() != Some(upstream_start) {
            return MessageOrigin::Other;
        }
        let (Some(known), Some(said)) = (self.started_unix_ms, started_unix_ms) else {
            return MessageOrigin::Current;
        };
        match said.cmp(&known) {
            Ordering::Less => MessageOrigin::Earlier,
            Ordering::Equal => MessageOrigin::Current,
            Ordering::Greater => MessageOrigin::Later,
        }
    }

    /// Records when the current start began.
    pub(crate) fn set_started(&mut self, started_unix_ms: u64) {
        self.started_unix_ms = Some(started_unix_ms);
    }

    /// Returns when the current start began, if it has reported that.
    pub(crate) fn started_unix_ms(&self) -> Option<u64> {
        self.started_unix_ms
    }

    /// Returns the number of the current start.
    pub(crate) fn current_number(&self) -> u64 {
        self.start_count
    }

    /// Whether the current start has announced that it accepts no more calls. Only another start
    /// resets this; late renewals do not.
    pub(crate) fn has_left(&self) -> bool {
        self.has_left
    }

    /// Whether a message of the current start is newer than those before it.
    pub(crate) fn is_newer(&mut self, sequence: u64) -> bool {
        let is_newer = self.sequence.is_none_or(|seen| seen < sequence);
        if is_newer {
            self.sequence = Some(sequence);
        }
        is_newer
    }

    /// Whether a message may make its start the current one; `listening` is the start that answers
    /// at the upstream's address, if any.
    ///
    /// A delayed message may arrive after its sender has crashed and the next start has announced
    /// itself. Calls would then be addressed to a start that is gone, and refused by the one that
    /// runs. The start that answers at the address decides; if none answers, a start that is known
    /// to be gone stays gone.
    pub(crate) fn may_become_current(&self, upstream_start: &str, listening: Option<&str>) -> bool {
        match listening {
            Some(listening) => listening == upstream_start,
            None => !self.gone.iter().any(|gone| gone == upstream_start),
        }
    }

    /// Makes another start the current one.
    pub(crate) fn set_current(&mut self, upstream_start: &str) {
        if let Some(before) = self.current.replace(upstream_start.to_owned()) {
            self.gone.push_back(before);
        }
        self.start_count += 1;
        self.started_unix_ms = None;
        if self.gone.len() > MAX_GONE_STARTS {
            self.gone.pop_front();
        }
        self.gone.retain(|gone| gone != upstream_start);
        self.sequence = None;
        self.has_left = false;
    }

    /// Records that the current start accepts no more calls.
    pub(crate) fn mark_left(&mut self) {
        self.has_left = true;
    }
}
