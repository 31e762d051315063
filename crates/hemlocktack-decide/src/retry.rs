//! Retries: bounded for a request over its whole call chain, and as a share of
//! first tries on each edge between two services.

use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use hemlocktack_protocol::{CallFailure, Reason};

use crate::edge_budget::{EdgeRetryBudget, RetryPriority};

/// Retries that are left to one request at one node.
///
/// Load: a chain in which each hop repeats what failed below it. Harm: with
/// three tries a hop, depth 10 turns one request into 59,049 calls. The
/// allowance is granted once at the root and conserved from there on: what goes
/// away with a child call is gone here until the child gives its rest back, so
/// the sum over the chain never exceeds the grant, whatever depth and fan-out.
/// Parallel children share one counter.
///
/// Where requests enter, retries of the entry's own sends may be kept apart: a
/// child that is lost gives nothing back, and a lost first send is just what
/// the entry could repeat. Both parts are granted once, so their sum bounds the
/// chain as one grant did.
#[derive(Debug)]
pub struct RetryAllowance {
    left: AtomicU32,
    own: Option<AtomicU32>,
}

impl RetryAllowance {
    /// At the root: the caller kind's allowance; below: what came with the call.
    pub fn new(granted: u32) -> Self {
        RetryAllowance {
            left: AtomicU32::new(granted),
            own: None,
        }
    }

    /// At an entry that keeps `own` retries for its own sends and grants
    /// `for_chain` to the calls below.
    pub fn with_entry_share(own: u32, for_chain: u32) -> Self {
        RetryAllowance {
            left: AtomicU32::new(for_chain),
            own: Some(AtomicU32::new(own)),
        }
    }

    /// Retries that sends from here may still be repeated with.
    pub fn left_for_own_sends(&self) -> u32 {
        self.here().load(Ordering::Acquire)
    }

    fn here(&self) -> &AtomicU32 {
        self.own.as_ref().unwrap_or(&self.left)
    }

    /// Retries left for the calls below and, where none are kept apart, here.
    pub fn left(&self) -> u32 {
        self.left.load(Ordering::Acquire)
    }

    /// Takes up to `wanted` away from the calls below and returns how many were
    /// taken.
    pub fn take(&self, wanted: u32) -> u32 {
        take_from(&self.left, wanted)
    }

    /// Takes one retry to spend it here; false when none is left.
    pub fn try_take(&self) -> bool {
        take_from(self.here(), 1) == 1
    }

    /// The part that a retry after this end is taken from.
    ///
    /// What an upstream turned away has cost it nothing, and the parts kept
    /// apart are for sends that may have run: so it draws on the part of the
    /// calls below, which is larger.
    fn part_for(&self, unfinished: &CallFailure) -> &AtomicU32 {
        match unfinished {
            CallFailure::NotRun(refusal) if refusal.reason == Reason::UpstreamShed => &self.left,
            _ => self.here(),
        }
    }

    /// Takes the share that travels with one child call: all of it from an entry
    /// that keeps retries of its own.
    pub fn grant_to_child(&self) -> u32 {
        let left = self.left();
        let share = match self.own {
            Some(_) => left,
            None => share_for_child(left),
        };
        self.take(share)
    }

    /// Puts back what a child did not spend. `given` is what went away with
    /// the child: a child that claims more back than it got must not create
    /// retries. A lost child gives nothing back, as it may have spent all.
    pub fn return_unspent(&self, unspent: u32, given: u32) {
        self.left.fetch_add(unspent.min(given), Ordering::AcqRel);
    }
}

fn take_from(retries: &AtomicU32, wanted: u32) -> u32 {
    let fewer = |left: u32| Some(left.saturating_sub(wanted));
    let before = retries.fetch_update(Ordering::AcqRel, Ordering::Acquire, fewer);
    before.unwrap_or(0).min(wanted)
}

/// Share of `left` that travels with one child call: half, rounded up. All of
/// it would leave nothing for a parallel sibling; a fixed share would leave
/// nothing to the last hops.
pub fn share_for_child(left: u32) -> u32 {
    left.div_ceil(2)
}

/// Most of [`RetryPolicy::least_retries`]: about as many calls of one node to one
/// service are cut off at once by a restart.
pub(crate) const LEAST_RETRIES_MAX: u32 = 8;

/// Numbers of [`EdgeRetryBudget`].
#[derive(Clone, Copy, Debug)]
pub struct RetryPolicy {
    /// Retries per thousand first tries that an edge may carry. At 100, retries
    /// add a tenth to the load at worst: too little to hold an overload up.
    pub share_per_mille: u32,
    /// Retries that an edge may make in any window, however quiet it is: it can
    /// still repeat the few calls that a restart cut off. Every node has such an
    /// edge, so in a fleet it is this node's part of what all may make
    /// ([`crate::EdgeRetryBudgets`]).
    pub least_retries: u32,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        RetryPolicy {
            share_per_mille: 100,
            least_retries: LEAST_RETRIES_MAX,
        }
    }
}

/// What the retry of one call is taken from.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget<'a> {
    /// Of the request.
    pub allowance: &'a RetryAllowance,
    /// Of the edge to the service that is called.
    pub edge: &'a EdgeRetryBudget,
    /// Where the request stands among those that draw on the edge.
    pub priority: RetryPriority,
}

/// What to do about a call that ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Send it again; one retry is taken from allowance and edge.
    Retry,
    /// Pass the end up as it is.
    PassUp,
    /// Pass it up: another try could not end in the time left.
    TooLate,
    /// Pass it up: another try could help, but the request's allowance is used up.
    AllowanceSpent,
    /// Pass it up: another try could help, but the edge's share is used up, or kept
    /// for requests before this one.
    EdgeSpent,
}

/// Whether a call that ended without an answer is sent again.
///
/// Load: any fault below. Harm: a refusal for overload that is retried adds to
/// the very load it was refused for, at every hop above; so such refusals are
/// passed up with their Retry-After. One of the upstream itself is another
/// matter: its node had counted a free slot for the call, so load is not the
/// cause, and a share of all calls is turned away whatever their number. A
/// request that needs eight answers of such a service gets none without
/// retries. An unknown outcome is repeated only where the operators declared the
/// request idempotent. A retry that cannot finish in the time left would be work
/// for nobody.
pub fn decide_retry(
    unfinished: &CallFailure,
    idempotent: bool,
    time_left: Duration,
    expected: Duration,
    budget: &RetryBudget<'_>,
    now: Instant,
) -> RetryDecision {
    let safe = match unfinished {
        CallFailure::NotRun(refusal) => is_passing_fault(refusal.reason),
        CallFailure::Unknown(reason) => idempotent && is_passing_fault(*reason),
    };
    if !safe {
        return RetryDecision::PassUp;
    }
    if time_left < expected {
        return RetryDecision::TooLate;
    }
    let part = budget.allowance.part_for(unfinished);
    if take_from(part, 1) == 0 {
        return RetryDecision::AllowanceSpent;
    }
    if !budget.edge.try_take(budget.priority, now) {
        part.fetch_add(1, Ordering::AcqRel);
        return RetryDecision::EdgeSpent;
    }
    RetryDecision::Retry
}

/// End of a call that was sent several times, as the caller is told it.
///
/// Load: a retry after an unknown outcome is refused. Harm: "not run" would be
/// a lie, as the first send may have run, and the caller would send it again as
/// if nothing had happened. Unknown once is unknown in the end, unless a later
/// send is answered.
pub fn combined_outcome(earlier: Option<CallFailure>, last: CallFailure) -> CallFailure {
    match earlier {
        Some(CallFailure::Unknown(reason)) => CallFailure::Unknown(reason),
        Some(CallFailure::NotRun(_)) | None => last,
    }
}

/// Faults of one node, link or upstream that another node need not share.
fn is_passing_fault(reason: Reason) -> bool {
    matches!(
        reason,
        Reason::LinkLost
            | Reason::HomeGone
            | Reason::UpstreamFailed
            | Reason::UpstreamUnreachable
            | Reason::UpstreamShed
            | Reason::Starting
            | Reason::Draining
            | Reason::UpstreamDraining
            | Reason::Fenced
    )
}
