//! A call sent to the upstream, and its outcome.

use std::time::{Duration, Instant};

use bytes::Bytes;
use hemlocktack_decide::BodyOwner;
use hemlocktack_protocol::{Call, Header, Reason};

use super::{Announcement, HeardAnswer};
use crate::calls::class_rank_of;
use crate::memory::{BodyMemory, BodyNeed, BodyPlan, CollectError, NoMemory};

/// A call to send to the upstream.
pub(crate) struct UpstreamRequest<'a> {
    pub(crate) announcement: &'a Announcement,
    pub(crate) call: &'a Call,
    /// Value of the opaque header by which the parent of a child call is found.
    pub(crate) context: &'a str,
    pub(crate) deadline: Instant,
    pub(crate) answer_limit_bytes: usize,
    /// Memory for the answer.
    pub(crate) memory: &'a BodyMemory,
}

/// How a call to the upstream ended, and what its answer said about the upstream.
pub(crate) struct UpstreamResponse {
    pub(crate) outcome: UpstreamOutcome,
    /// `None` without an answer from this start of the upstream.
    pub(crate) heard: Option<HeardAnswer>,
    /// An answer by which the call counts as not run, or as unknown although it was read.
    pub(crate) contested: Option<ContestedAnswer>,
    /// Why there was no memory for the answer.
    pub(crate) no_memory: Option<NoMemory>,
}

/// An answer that is not passed on, and how it was received. That tells whether it can belong to
/// the request: one that arrives sooner than the upstream can have read the request does not.
pub(crate) struct ContestedAnswer {
    pub(crate) claim: AnswerClaim,
    pub(crate) status: u16,
    /// Time from sending the request until its head was read.
    pub(crate) elapsed: Duration,
    pub(crate) connection_age: Duration,
    /// Requests that the connection had carried before this one.
    pub(crate) earlier_requests: usize,
}

/// What an answer that is not passed on says.
pub(crate) enum AnswerClaim {
    /// The upstream has not run the request.
    NotRun,
    /// The answer belongs to another request, or does not say to which.
    OtherRequest {
        /// Id of the request that it names.
        answered_id: Option<String>,
    },
}

impl UpstreamRequest<'_> {
    /// Returns what the answer needs. Its request has run, so it may wait for memory until the
    /// deadline.
    pub(super) fn answer_need(&self) -> BodyNeed {
        BodyNeed {
            owner: BodyOwner::Answer,
            class_rank: class_rank_of(self.call),
            refuse_at: self.deadline,
        }
    }

    /// Returns how an answer with a body of this length, if that is known, is collected.
    pub(super) fn answer_plan(&self, length_bytes: Option<u64>) -> BodyPlan {
        BodyPlan {
            length_bytes: length_bytes.map(|length| usize::try_from(length).unwrap_or(usize::MAX)),
            limit_bytes: self.answer_limit_bytes,
            may_be_displaced: false,
        }
    }
}

impl From<UpstreamOutcome> for UpstreamResponse {
    fn from(outcome: UpstreamOutcome) -> Self {
        Self {
            outcome,
            heard: None,
            contested: None,
            no_memory: None,
        }
    }
}

/// Outcome of a call that was sent to the upstream.
pub(crate) enum UpstreamOutcome {
    Answered {
        status: u16,
        headers: Vec<Header>,
        body: Bytes,
    },
    /// No byte of the call reached the upstream, or it says it shed the call.
    NotRun(Reason),
    Unknown(Reason),
}

/// Why there is no complete answer although its head was read.
pub(super) enum IncompleteAnswer {
    Failed(Reason),
    NoMemory(NoMemory),
}

impl IncompleteAnswer {
    pub(super) fn reason(&self) -> Reason {
        match self {
            IncompleteAnswer::Failed(reason) => *reason,
            IncompleteAnswer::NoMemory(_) => Reason::MemoryFull,
        }
    }

    pub(super) fn no_memory(&self) -> Option<NoMemory> {
        match self {
            IncompleteAnswer::Failed(_) => None,
            IncompleteAnswer::NoMemory(refusal) => Some(*refusal),
        }
    }
}

impl<E> From<CollectError<E>> for IncompleteAnswer {
    fn from(error: CollectError<E>) -> Self {
        match error {
            CollectError::TooLarge => Self::Failed(Reason::AnswerTooLarge),
            CollectError::NoMemory(refusal) => Self::NoMemory(refusal),
            CollectError::Standstill | CollectError::Source(_) => {
                Self::Failed(Reason::UpstreamFailed)
            }
        }
    }
}
