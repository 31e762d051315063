//! Calls and requests under way.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use hemlocktack_decide::RetryAllowance;
use hemlocktack_protocol::Refusal;

pub(crate) type CallKey = u64;
pub(crate) type RequestKey = u64;

/// How a call ended, as the side that made it sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallEnd {
    /// Answered whole.
    Answered,
    /// Refused here: it did not run.
    Refused(Refusal),
    /// It ran, but a deeper call did not come to an answer.
    FailedBelow,
    /// The upstream died while it ran.
    Crashed,
}

/// Where a call is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Place {
    /// On its way, or back.
    Travelling,
    /// Waits at the upstream's node.
    Queued,
    /// Inside the upstream.
    Inside,
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
    /// Node on whose caller side the call is made.
    pub(crate) from: usize,
    /// Upstream that it was put on.
    pub(crate) upstream: usize,
    pub(crate) place: Place,
    /// Number of the send; messages of earlier ones are void.
    pub(crate) send: u32,
    pub(crate) moved: bool,
    /// A send of it died with its upstream: its outcome is unknown.
    pub(crate) may_have_run: bool,
    /// Work that the chain had spent when this call was made.
    pub(crate) work_before: Duration,
    pub(crate) own_done: Duration,
    pub(crate) time_below: Duration,
    pub(crate) deeper_done: usize,
    pub(crate) deeper_call: Option<CallKey>,
    pub(crate) deeper_since: Duration,
    /// Phase of work that runs; events of earlier ones are void.
    pub(crate) phase: u32,
    pub(crate) phase_work: Duration,
    pub(crate) phase_since: Duration,
    /// Allowance that this call and its siblings draw from, on the node that
    /// makes them.
    pub(crate) allowance: Arc<RetryAllowance>,
    /// What went away with this call.
    pub(crate) given: u32,
    /// The same on the upstream's node, for deeper calls.
    pub(crate) inner: Arc<RetryAllowance>,
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
