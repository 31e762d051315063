//! Inputs and results of the admission.

use std::time::{Duration, Instant};

use hemlocktack_protocol::{CallId, ClassRank, Fingerprint, Refusal, RootRequestId};

/// Kind of work: a stable number of the request rule that a call matched. Calls of one kind are
/// expected to take about equally long.
pub type WorkKind = u64;

/// A call that requests a slot.
#[derive(Clone, Copy, Debug)]
pub struct OfferedCall {
    /// Id assigned by this node; ids assigned by different senders may collide.
    pub call_id: CallId,
    /// Class of the root request.
    pub class_rank: ClassRank,
    /// When the caller times out.
    pub deadline: Instant,
    /// Time by which the caller of a root request wants its answer; `None` for child calls and
    /// where operators set no objective.
    pub objective: Option<Instant>,
    /// The caller was refused before and has retried, so part of its objective had passed before
    /// this attempt.
    pub has_returned: bool,
    /// The root request.
    pub root_request_id: RootRequestId,
    /// Work that the call chain has already done for the root request.
    pub work_spent: Duration,
    /// Equal for equal requests.
    pub fingerprint: Fingerprint,
    /// Kind of work.
    pub kind: WorkKind,
}

impl OfferedCall {
    pub(crate) fn has_prior_work(&self) -> bool {
        self.work_spent > Duration::ZERO
    }
}

/// Immediate decision on an offered call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// Send it to the upstream now.
    Run,
    /// It waits; [`crate::Admission::take_decisions`] returns the later decision.
    Queued,
    /// It has not run and will not run.
    Refused(Refusal),
}

/// Decision on a queued call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueDecision {
    /// Send it to the upstream now.
    Run(CallId),
    /// It has not run and will not run.
    Refuse(CallId, Refusal),
}

/// How the run of a call in the upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunResult {
    /// Complete answer.
    Answered,
    /// Complete answer that reports a failure. Its duration is not used for estimates.
    AnsweredWithFailure,
    /// Failure after a child call was refused for lack of capacity.
    ChildLackedCapacity,
    /// No complete answer: connection lost, truncated answer or timeout.
    Failed,
    /// The upstream itself refused the call before starting it.
    ShedByUpstream,
    /// Cancelled, with its connection closed.
    Cancelled,
}

/// Result of [`crate::Admission::cancel`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelResult {
    /// It was queued; it has not run and will not run.
    Dequeued,
    /// It is running: close its connection, then report [`RunResult::Cancelled`].
    Running,
    /// It has ended or was never offered.
    UnknownCall,
}
