//! What goes into the admission and what comes out of it.

use std::time::{Duration, Instant};

use hemlocktack_protocol::{CallId, ClassRank, Fingerprint, Refusal, RootRequestId};

/// Kind of work: any stable number for the request rule that a call matched.
/// Calls of one kind are expected to take about equally long.
pub type WorkKind = u64;

/// A call that asks for a slot.
#[derive(Clone, Copy, Debug)]
pub struct OfferedCall {
    /// Number that this node gave the call. Senders' own numbers clash.
    pub call_id: CallId,
    /// Class of the root request.
    pub class_rank: ClassRank,
    /// When the caller gives up.
    pub deadline: Instant,
    /// Until when an answer is worth most to the caller of a root request;
    /// `None` for deeper calls and where operators do not say.
    pub objective: Option<Instant>,
    /// The caller was refused before and has come back: part of its objective
    /// had passed before it came.
    pub has_returned: bool,
    /// The root request.
    pub root_request_id: RootRequestId,
    /// Work that the chain has already spent on the root request.
    pub work_spent: Duration,
    /// Same for equal requests.
    pub fingerprint: Fingerprint,
    /// Kind of work.
    pub kind: WorkKind,
}

/// What becomes of an offered call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// Hand it to the upstream now.
    Run,
    /// It waits; [`crate::Admission::take_decisions`] tells what becomes of it.
    Queued,
    /// It was not run and will not be.
    Refused(Refusal),
}

/// What has become of a queued call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueDecision {
    /// Hand it to the upstream now.
    Run(CallId),
    /// It was not run and will not be.
    Refuse(CallId, Refusal),
}

/// How a call ended in the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunResult {
    /// With a whole answer.
    Answered,
    /// With a whole answer that reports a failure: its time says nothing.
    AnsweredWithFailure,
    /// With a failure, after a deeper call found no room.
    ChildLackedCapacity,
    /// Without one: connection lost, short answer, timeout.
    Failed,
    /// The upstream itself refused it unstarted.
    ShedByUpstream,
    /// It was cancelled, and the connection is closed.
    Cancelled,
}

/// What [`crate::Admission::cancel`] found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelResult {
    /// It waited; it was not run and will not be.
    Dequeued,
    /// It runs: close its connection, then report [`RunResult::Cancelled`].
    Running,
    /// It has ended or was never offered.
    UnknownCall,
}
