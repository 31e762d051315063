//! The sends of one call: where it may go next, and what ends them.

use std::time::Duration;

use hemlocktack_protocol::{CallFailure, Reason};
use strum::{EnumCount, EnumIter, IntoStaticStr};

use crate::moves::Moves;
use crate::retry::RetryDecision;

/// Pause before a call goes again to upstreams that have turned it away, for each
/// time but the first: a quarter of what today's shortest calls take. An upstream
/// that turns a share of its calls away takes the next one as soon as any; one
/// that is full is not asked hundreds of times a second.
const PAUSE_A_TURN: Duration = Duration::from_millis(4);

/// What follows a send that ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EnumCount, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum NextStep {
    /// Another node gets the call. It was not handed to an upstream, so this is
    /// no retry.
    Moved,
    /// It is sent again, and a retry was taken for it.
    Retried,
    /// Its caller is told: as many upstreams may have run it as its route allows.
    UpstreamsUsedUp,
    /// Its caller is told: no node is left that may get it.
    NoNodeLeft,
    /// Its caller is told: it may not run twice, or another node would refuse it
    /// as well.
    PassedUp,
    /// Its caller is told: no further run could end in the time left.
    TooLate,
    /// Its caller is told: the request has no retry left for it.
    AllowanceUsedUp,
    /// Its caller is told: the share of retries to its service is used up, or kept
    /// for more important requests.
    EdgeUsedUp,
}

impl NextStep {
    /// Whether the call is sent once more.
    pub fn sends_again(self) -> bool {
        matches!(self, NextStep::Moved | NextStep::Retried)
    }
}

impl From<RetryDecision> for NextStep {
    fn from(verdict: RetryDecision) -> NextStep {
        match verdict {
            RetryDecision::Retry => NextStep::Retried,
            RetryDecision::PassUp => NextStep::PassedUp,
            RetryDecision::TooLate => NextStep::TooLate,
            RetryDecision::AllowanceSpent => NextStep::AllowanceUsedUp,
            RetryDecision::EdgeSpent => NextStep::EdgeUsedUp,
        }
    }
}

/// The sends of one call so far. Nodes are known by their index in the view that
/// the call is placed by.
///
/// Load: upstreams that run calls and lose the answers. Harm: the allowance of a
/// whole chain may hold more retries than one call's route has upstreams for, so a
/// call that draws on it alone runs on one upstream after the other. Each call
/// keeps count of its own, wherever in the chain it is made, and the allowance and
/// the edge's share only lower what its route allows.
#[derive(Debug)]
pub struct CallSends {
    upstreams_most: usize,
    /// The node that ended the last one.
    last: Option<usize>,
    /// Nodes whose upstreams the call was handed to, or may have been.
    reached: Vec<usize>,
    /// Sends after which it may have run.
    may_have_run: usize,
    /// Times that an upstream has turned it away.
    turned_away: u32,
    moves: Moves,
}

impl CallSends {
    /// No send yet of a call that `upstreams_most` upstreams may get.
    pub fn new(upstreams_most: usize) -> Self {
        CallSends {
            upstreams_most,
            last: None,
            reached: Vec::new(),
            may_have_run: 0,
            turned_away: 0,
            moves: Moves::default(),
        }
    }

    /// Whether the next send may go to this node: another than the last one, and
    /// one that has turned the call away may be asked again.
    pub fn may_send_to(&self, node: usize) -> bool {
        let may_be_new = self.reached.len() < self.upstreams_most;
        self.last != Some(node) && (may_be_new || self.reached.contains(&node))
    }

    /// The node that gets it again where [`CallSends::may_send_to`] leaves none.
    pub fn resend_target(&self) -> Option<usize> {
        self.last.filter(|_| self.turned_away > 0)
    }

    /// Whether the next send comes after one that an upstream got.
    pub fn is_repeat(&self) -> bool {
        !self.reached.is_empty()
    }

    /// Upstreams that got the call, or may have.
    pub fn upstreams_reached(&self) -> usize {
        self.reached.len()
    }

    /// How long to wait before the next send, if at all: a timer costs each call
    /// up to a millisecond.
    pub fn resend_delay(&self) -> Option<Duration> {
        let turns = self.turned_away.saturating_sub(1);
        (turns > 0).then(|| PAUSE_A_TURN * turns)
    }

    /// Counts the end of a send to this node.
    pub fn send_ended(&mut self, node: usize, unfinished: &CallFailure) {
        self.last = Some(node);
        let may_have_run = matches!(unfinished, CallFailure::Unknown(_));
        let is_turned_away = unfinished.reason() == Reason::UpstreamShed;
        self.may_have_run += usize::from(may_have_run);
        self.turned_away += u32::from(is_turned_away);
        let was_handed_over = may_have_run || is_turned_away;
        if was_handed_over && !self.reached.contains(&node) {
            self.reached.push(node);
        }
    }

    /// What follows the end that was counted last. `retry` takes a retry if there is
    /// one; it is asked only where the call would be sent again with it.
    pub fn next_step(
        &mut self,
        unfinished: &CallFailure,
        has_node_left: bool,
        retry: impl FnOnce() -> RetryDecision,
    ) -> NextStep {
        match unfinished {
            CallFailure::Unknown(_) if self.may_have_run >= self.upstreams_most => {
                NextStep::UpstreamsUsedUp
            }
            _ if !has_node_left => NextStep::NoNodeLeft,
            CallFailure::NotRun(refusal) if self.moves.take(refusal) => NextStep::Moved,
            _ => retry().into(),
        }
    }
}
