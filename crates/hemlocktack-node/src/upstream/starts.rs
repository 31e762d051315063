//! Which start of the upstream the node has beside it.

use std::cmp::Ordering;
use std::collections::VecDeque;

/// Starts that are remembered as gone; a word of theirs comes seconds late, not
/// dozens of starts late.
const GONE_LIMIT: usize = 32;

/// Which start a message is from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MessageOrigin {
    Current,
    /// One of the current start's name, before it.
    Earlier,
    /// One of the current start's name, after it.
    Later,
    /// One of another name.
    Other,
}

/// The upstream's starts, by what they said.
#[derive(Default)]
pub(crate) struct UpstreamStarts {
    current: Option<String>,
    /// When the current one started, once it has said so.
    started_unix_ms: Option<u64>,
    /// Starts that were followed so far.
    followed: u64,
    sequence: Option<u64>,
    has_left: bool,
    gone: VecDeque<String>,
}

impl UpstreamStarts {
    /// Whether a start is known at all.
    pub(crate) fn has_current(&self) -> bool {
        self.current.is_some()
    }

    /// Whose word one of this name is that says when it started.
    ///
    /// Failure: an upstream crashes and starts again under its name, and counts
    /// its messages from one. Taken for the earlier start's, they are passed
    /// over as overtaken, or as late words of one that has left, and the
    /// upstream gets nothing for as long as it lives; or a leave that was held
    /// up takes the later start out. Times of one machine's starts tell them
    /// apart, whatever its clock.
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

    /// The current start has said when it started.
    pub(crate) fn set_started(&mut self, started_unix_ms: Option<u64>) {
        self.started_unix_ms = started_unix_ms.or(self.started_unix_ms);
    }

    /// Number of the current start.
    pub(crate) fn current_number(&self) -> u64 {
        self.followed
    }

    /// Whether the current start has said that it takes no more work. Only
    /// another start ends that: its late renewals do not.
    pub(crate) fn has_left(&self) -> bool {
        self.has_left
    }

    /// Whether a message of the current start is later than those before it.
    pub(crate) fn is_newer(&mut self, sequence: u64) -> bool {
        let is_newer = self.sequence.is_none_or(|seen| seen < sequence);
        if is_newer {
            self.sequence = Some(sequence);
        }
        is_newer
    }

    /// Whether another start's word is to be taken; `listens` is the start that
    /// answers at the upstream's address, if one does.
    ///
    /// Failure: a message that was held up on the way arrives after its sender
    /// has crashed and the next start has announced itself; calls would be sent
    /// to a start that is gone, and refused by the one that is there. Who
    /// listens settles it; where nobody answers, a start that is known to be
    /// gone stays gone.
    pub(crate) fn may_become_current(&self, upstream_start: &str, listens: Option<&str>) -> bool {
        match listens {
            Some(listens) => listens == upstream_start,
            None => !self.gone.iter().any(|gone| gone == upstream_start),
        }
    }

    /// Another start is the current one from now on.
    pub(crate) fn set_current(&mut self, upstream_start: &str) {
        if let Some(before) = self.current.replace(upstream_start.to_owned()) {
            self.gone.push_back(before);
        }
        self.followed += 1;
        self.started_unix_ms = None;
        if self.gone.len() > GONE_LIMIT {
            self.gone.pop_front();
        }
        self.gone.retain(|gone| gone != upstream_start);
        self.sequence = None;
        self.has_left = false;
    }

    /// The current start takes no more work.
    pub(crate) fn mark_left(&mut self) {
        self.has_left = true;
    }
}
