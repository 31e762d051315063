//! Calls and requests in progress.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use hemlocktack_decide::RetryAllowance;
use hemlocktack_protocol::Refusal;

pub(crate) type CallKey = u64;
pub(crate) type RequestKey = u64;

/// How a call ended, as seen by the side that made it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallEnd {
    /// Complete answer.
    Answered,
    /// Refused; it did not run.
    Refused(Refusal),
    /// It ran, but a child call was not answered.
    ChildFailed,
    /// The upstream crashed while it ran.
    Crashed,
}

/// Where a call currently is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallLocation {
    /// Between nodes, in either direction.
    InTransit,
    /// Queued at the upstream's node.
    Queued,
    /// In the upstream, running or waiting.
    InUpstream,
}

#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) request: RequestKey,
    pub(crate) attempt: u32,
    pub(crate) step: usize,
    pub(crate) parent: Option<CallKey>,
    /// Root call of the attempt.
    pub(crate) root: CallKey,
    pub(crate) deadline: Duration,
    /// Node that makes the call.
    pub(crate) from: usize,
    /// Upstream the call was placed on.
    pub(crate) upstream: usize,
    pub(crate) location: CallLocation,
    /// Number of the send; messages of earlier sends are ignored.
    pub(crate) send: u32,
    pub(crate) moved: bool,
    /// A send of the call was lost in a crash, so its outcome is unknown.
    pub(crate) may_have_run: bool,
    /// Work that the chain had done when this call was made.
    pub(crate) work_before: Duration,
    pub(crate) own_done: Duration,
    pub(crate) child_wait: Duration,
    pub(crate) children_done: usize,
    pub(crate) child_call: Option<CallKey>,
    pub(crate) child_since: Duration,
    /// Current phase of work; events of earlier phases are ignored.
    pub(crate) phase: u32,
    pub(crate) phase_work: Duration,
    pub(crate) phase_since: Duration,
    /// Allowance shared by this call and its siblings, on the node that makes them.
    pub(crate) allowance: Arc<RetryAllowance>,
    /// Retries sent with this call.
    pub(crate) granted: u32,
    /// Allowance for child calls, on the upstream's node.
    pub(crate) child_allowance: Arc<RetryAllowance>,
    /// Work of the whole attempt; kept in its root call.
    pub(crate) attempt_work: Duration,
    pub(crate) is_long: bool,
}

#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) kind: usize,
    pub(crate) first_sent: Duration,
    pub(crate) sends: u32,
    pub(crate) answered: bool,
    pub(crate) root_call: Option<CallKey>,
    pub(crate) retries: u32,
    pub(crate) runs: u32,
    pub(crate) crashes_upstreams: bool,
    pub(crate) root_request_id: u64,
}

#[derive(Debug, Default)]
pub(crate) struct Arena {
    pub(crate) calls: HashMap<CallKey, Call>,
    pub(crate) requests: HashMap<RequestKey, Request>,
    last_key: u64,
}

impl Arena {
    pub(crate) fn next_key(&mut self) -> u64 {
        self.last_key += 1;
        self.last_key
    }
}
