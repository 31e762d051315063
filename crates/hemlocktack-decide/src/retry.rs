//! Retries, bounded per request over its whole call chain and, on each edge between two
//! services, as a share of first attempts.

use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use hemlocktack_protocol::{CallFailure, Reason};

use crate::edge_budget::{EdgeRetryBudget, RetryPriority};

/// Retries left to one request at one node.
///
/// If each hop retried what failed below it with three attempts, at depth 10 one request would
/// turn into 59,049 calls. The allowance is granted once at the root and conserved from there:
/// what is passed to a child call is not available here until the child returns its rest, so the
/// total over the chain never exceeds the grant, whatever its depth and fan-out. Parallel
/// children share one counter.
///
/// At the entry, the retries of the entry's own sends may be kept separately: a lost child
/// returns nothing, and a lost first send is exactly what the entry could retry. Both parts are
/// granted once, so that their sum bounds the chain as a single grant would.
#[derive(Debug)]
pub struct RetryAllowance {
    shared: AtomicU32,
    entry_own: Option<AtomicU32>,
}

impl RetryAllowance {
    /// Creates an allowance: at the root, the one of the caller kind; below it, the one that
    /// came with the call.
    pub fn new(granted: u32) -> Self {
        RetryAllowance {
            shared: AtomicU32::new(granted),
            entry_own: None,
        }
    }

    /// Creates the allowance of an entry that keeps `entry_own` retries for its own sends and
    /// grants `for_chain` to child calls.
    pub fn with_entry_share(entry_own: u32, for_chain: u32) -> Self {
        RetryAllowance {
            shared: AtomicU32::new(for_chain),
            entry_own: Some(AtomicU32::new(entry_own)),
        }
    }

    /// Returns the retries left for sends from this node.
    pub fn left_for_own_sends(&self) -> u32 {
        self.here().load(Ordering::Acquire)
    }

    fn here(&self) -> &AtomicU32 {
        self.entry_own.as_ref().unwrap_or(&self.shared)
    }

    /// Returns the retries left for child calls and, if none are kept separately, for sends from
    /// this node.
    pub fn left(&self) -> u32 {
        self.shared.load(Ordering::Acquire)
    }

    /// Takes up to `wanted` retries from the part for child calls and returns how many were
    /// taken.
    pub fn take(&self, wanted: u32) -> u32 {
        take_from(&self.shared, wanted)
    }

    /// Takes one retry for a send from this node; returns false if none is left.
    pub fn try_take(&self) -> bool {
        take_from(self.here(), 1) == 1
    }

    /// Returns the part that a retry after this outcome is taken from.
    ///
    /// A call rejected by an upstream has cost it nothing, and the separate part of the entry is
    /// meant for sends that may have run. Such a retry therefore uses the larger part for child
    /// calls.
    fn pool_for(&self, unfinished: &CallFailure) -> &AtomicU32 {
        match unfinished {
            CallFailure::NotRun(refusal) if refusal.reason == Reason::UpstreamShed => &self.shared,
            _ => self.here(),
        }
    }

    /// Takes the share that is sent with one child call; at an entry with separate retries, all
    /// of the part for child calls.
    pub fn grant_to_child(&self) -> u32 {
        let left = self.left();
        let share = match self.entry_own {
            Some(_) => left,
            None => share_for_child(left),
        };
        self.take(share)
    }

    /// Returns what a child did not spend. `given` is what was sent with the child: a child that
    /// claims to return more must not create retries. A lost child returns nothing, as it may
    /// have spent everything.
    pub fn return_unspent(&self, unspent: u32, given: u32) {
        self.shared.fetch_add(unspent.min(given), Ordering::AcqRel);
    }
}

fn take_from(retries: &AtomicU32, wanted: u32) -> u32 {
    let fewer = |left: u32| Some(left.saturating_sub(wanted));
    let before = retries.fetch_update(Ordering::AcqRel, Ordering::Acquire, fewer);
    before.unwrap_or(0).min(wanted)
}

/// Returns the share of `left` that is sent with one child call: half, rounded up. Sending all
/// of it would leave nothing for a parallel sibling; a fixed share would leave nothing for the
/// last hops.
pub fn share_for_child(left: u32) -> u32 {
    left.div_ceil(2)
}

/// Maximum of [`RetryPolicy::min_retries`]: about the number of calls from one node to one
/// service that a restart interrupts at once.
pub(crate) const MAX_MIN_RETRIES: u32 = 8;

/// Parameters of [`EdgeRetryBudget`].
#[derive(Clone, Copy, Debug)]
pub struct RetryPolicy {
    /// Retries per thousand first attempts that an edge may carry. At 100, retries add at most a
    /// tenth to the load, which is too little to sustain an overload.
    pub share_per_mille: u32,
    /// Retries that an edge may make in any window, however few calls it carries, so that it can
    /// repeat the few calls interrupted by a restart. Every node has such an edge, so this is
    /// the node's part of a limit on the whole fleet ([`crate::EdgeRetryBudgets`]).
    pub min_retries: u32,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        RetryPolicy {
            share_per_mille: 100,
            min_retries: MAX_MIN_RETRIES,
        }
    }
}

/// Budgets that the retry of one call is taken from.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget<'a> {
    /// Allowance of the request.
    pub allowance: &'a RetryAllowance,
    /// Budget of the edge to the called service.
    pub edge: &'a EdgeRetryBudget,
    /// Priority of the request among those that use the edge.
    pub priority: RetryPriority,
}

/// Decision on a call that ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Send it again; one retry was taken from the allowance and from the edge.
    Retry,
    /// Return the outcome to the caller.
    PassUp,
    /// Return the outcome: another attempt could not finish in the time left.
    TooLate,
    /// Return the outcome: another attempt could help, but the allowance of the request is used
    /// up.
    AllowanceSpent,
    /// Return the outcome: another attempt could help, but the edge's share is used up or
    /// reserved for requests with a higher priority.
    EdgeSpent,
}

/// Decides whether a call that ended without an answer is sent again.
///
/// Retrying a refusal for overload at every hop would add to the very load that caused it, so
/// such refusals are returned to the caller with their Retry-After. A refusal by the upstream
/// itself is different: its node had counted a free slot for the call, so load is not the cause,
/// and a share of all calls is rejected whatever their number. A request that needs eight
/// answers from such a service gets none without retries. A call with an unknown outcome is
/// repeated only if the operators declared the request idempotent. A retry that cannot finish in
/// the time left would be wasted work.
pub fn decide_retry(
    unfinished: &CallFailure,
    idempotent: bool,
    time_left: Duration,
    expected: Duration,
    budget: &RetryBudget<'_>,
    now: Instant,
) -> RetryDecision {
    let safe = match unfinished {
        CallFailure::NotRun(refusal) => is_transient_fault(refusal.reason),
        CallFailure::Unknown(reason) => idempotent && is_transient_fault(*reason),
    };
    if !safe {
        return RetryDecision::PassUp;
    }
    if time_left < expected {
        return RetryDecision::TooLate;
    }
    let pool = budget.allowance.pool_for(unfinished);
    if take_from(pool, 1) == 0 {
        return RetryDecision::AllowanceSpent;
    }
    if !budget.edge.try_take(budget.priority, now) {
        pool.fetch_add(1, Ordering::AcqRel);
        return RetryDecision::EdgeSpent;
    }
    RetryDecision::Retry
}

/// Returns the outcome reported to the caller of a call that was sent several times.
///
/// When a retry after an unknown outcome is refused, reporting "not run" would be wrong: the
/// first send may have run, and the caller would repeat it as if nothing had happened. An
/// unknown outcome therefore stays unknown unless a later send is answered.
pub fn combined_outcome(earlier: Option<CallFailure>, last: CallFailure) -> CallFailure {
    match earlier {
        Some(CallFailure::Unknown(reason)) => CallFailure::Unknown(reason),
        Some(CallFailure::NotRun(_)) | None => last,
    }
}

/// Returns whether the reason is a fault of one node, link or upstream that other nodes need not
/// share.
fn is_transient_fault(reason: Reason) -> bool {
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
