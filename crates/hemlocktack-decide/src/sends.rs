//! The sends of one call: where it may go next, and when it ends.

use std::time::Duration;

use hemlocktack_protocol::{CallFailure, Reason};
use strum::{EnumCount, EnumIter, IntoStaticStr};

use crate::moves::MoveCounter;
use crate::retry::RetryDecision;

/// Delay before a call is sent again to upstreams that have rejected it, multiplied by the
/// rejections after the first: a quarter of the shortest call durations. An upstream that
/// rejects a share of its calls may accept the next one immediately; a full one is not asked
/// hundreds of times a second.
const RESEND_DELAY_STEP: Duration = Duration::from_millis(4);

/// What follows a send that ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EnumCount, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum NextStep {
    /// The call goes to another node. It was not handed to an upstream, so this is not a retry.
    Moved,
    /// The call is sent again, and a retry was taken for it.
    Retried,
    /// Returned to the caller: as many upstreams may have run the call as its route allows.
    UpstreamsUsedUp,
    /// Returned to the caller: no other node may get the call.
    NoNodeLeft,
    /// Returned to the caller: the call must not run twice, or another node would refuse it as
    /// well.
    PassedUp,
    /// Returned to the caller: another run could not finish in the time left.
    TooLate,
    /// Returned to the caller: the request has no retries left.
    AllowanceUsedUp,
    /// Returned to the caller: the share of retries to the service is used up or reserved for
    /// more important requests.
    EdgeUsedUp,
}

impl NextStep {
    /// Returns whether the call is sent again.
    pub fn sends_again(self) -> bool {
        matches!(self, NextStep::Moved | NextStep::Retried)
    }
}

impl From<RetryDecision> for NextStep {
    fn from(decision: RetryDecision) -> NextStep {
        match decision {
            RetryDecision::Retry => NextStep::Retried,
            RetryDecision::PassUp => NextStep::PassedUp,
            RetryDecision::TooLate => NextStep::TooLate,
            RetryDecision::AllowanceSpent => NextStep::AllowanceUsedUp,
            RetryDecision::EdgeSpent => NextStep::EdgeUsedUp,
        }
    }
}

/// The sends of one call so far. Nodes are identified by their index in the view used for
/// placement.
///
/// If upstreams run calls and lose the answers, a call limited only by the allowance of its
/// chain could run on one upstream after another, because that allowance may hold more retries
/// than the call's route allows upstreams. Each call therefore counts its own sends, wherever in
/// the chain it is made, and the allowance and the edge's share only reduce what its route
/// allows.
#[derive(Debug)]
pub struct CallSends {
    max_upstreams: usize,
    /// Node of the last send that ended.
    last_node: Option<usize>,
    /// Nodes whose upstreams got the call or may have got it.
    reached: Vec<usize>,
    /// Sends after which the call may have run.
    may_have_run: usize,
    /// How often an upstream has rejected the call.
    rejections: u32,
    moves: MoveCounter,
}

impl CallSends {
    /// Creates the record of a call that may reach `max_upstreams` upstreams, without any sends.
    pub fn new(max_upstreams: usize) -> Self {
        CallSends {
            max_upstreams,
            last_node: None,
            reached: Vec::new(),
            may_have_run: 0,
            rejections: 0,
            moves: MoveCounter::default(),
        }
    }

    /// Returns whether the next send may go to this node: any but the last one. Once the limit
    /// of upstreams is reached, only nodes that already got the call.
    pub fn may_send_to(&self, node: usize) -> bool {
        let may_be_new = self.reached.len() < self.max_upstreams;
        self.last_node != Some(node) && (may_be_new || self.reached.contains(&node))
    }

    /// Returns the node that gets the call again if [`CallSends::may_send_to`] allows none.
    pub fn resend_target(&self) -> Option<usize> {
        self.last_node.filter(|_| self.rejections > 0)
    }

    /// Returns whether an earlier send reached an upstream.
    pub fn is_repeat(&self) -> bool {
        !self.reached.is_empty()
    }

    /// Returns how many upstreams got the call or may have got it.
    pub fn upstreams_reached(&self) -> usize {
        self.reached.len()
    }

    /// Returns the delay before the next send. `None` avoids a timer, which would cost each call
    /// up to a millisecond.
    pub fn resend_delay(&self) -> Option<Duration> {
        let turns = self.rejections.saturating_sub(1);
        (turns > 0).then(|| RESEND_DELAY_STEP * turns)
    }

    /// Records the end of a send to this node.
    pub fn send_ended(&mut self, node: usize, unfinished: &CallFailure) {
        self.last_node = Some(node);
        let may_have_run = matches!(unfinished, CallFailure::Unknown(_));
        let is_rejected = unfinished.reason() == Reason::UpstreamShed;
        self.may_have_run += usize::from(may_have_run);
        self.rejections += u32::from(is_rejected);
        let reached_upstream = may_have_run || is_rejected;
        if reached_upstream && !self.reached.contains(&node) {
            self.reached.push(node);
        }
    }

    /// Decides what follows the outcome recorded last. `retry` takes a retry if there is one; it
    /// is called only if the call would then be sent again.
    pub fn next_step(
        &mut self,
        unfinished: &CallFailure,
        has_node_left: bool,
        retry: impl FnOnce() -> RetryDecision,
    ) -> NextStep {
        match unfinished {
            CallFailure::Unknown(_) if self.may_have_run >= self.max_upstreams => {
                NextStep::UpstreamsUsedUp
            }
            _ if !has_node_left => NextStep::NoNodeLeft,
            CallFailure::NotRun(refusal) if self.moves.try_move(refusal) => NextStep::Moved,
            _ => retry().into(),
        }
    }
}
