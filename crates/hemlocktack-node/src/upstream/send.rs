//! A call sent to the upstream, and its outcome.

use std::time::{Duration, Instant};

use bytes::Bytes;
use hemlocktack_protocol::{Call, Header, Reason};

use super::{Announcement, HeardAnswer};
use crate::memory::HeldMemory;

/// A call to send to the upstream.
pub(crate) struct UpstreamRequest<'a> {
    pub(crate) announcement: &'a Announcement,
    pub(crate) call: &'a Call,
    /// Value of the opaque header by which the parent of a child call is found.
    pub(crate) context: &'a str,
    pub(crate) deadline: Instant,
    pub(crate) answer_limit_bytes: usize,
    /// Counts what is held for the answer.
    pub(crate) memory: &'a HeldMemory,
}

/// How a call to the upstream ended, and what its answer said about the upstream.
pub(crate) struct UpstreamResponse {
    pub(crate) outcome: UpstreamOutcome,
    /// `None` without an answer from this start of the upstream.
    pub(crate) heard: Option<HeardAnswer>,
    /// An answer by which the call counts as not run, or as unknown although it was read.
    pub(crate) contested: Option<ContestedAnswer>,
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

impl From<UpstreamOutcome> for UpstreamResponse {
    fn from(outcome: UpstreamOutcome) -> Self {
        Self {
            outcome,
            heard: None,
            contested: None,
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
