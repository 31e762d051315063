//! A call sent to the upstream, and its outcome.

use std::time::Instant;

use bytes::Bytes;
use hemlocktack_protocol::{Call, Header, Reason};

use super::{Announcement, HeardAnswer};

/// A call to send to the upstream.
pub(crate) struct UpstreamRequest<'a> {
    pub(crate) announcement: &'a Announcement,
    pub(crate) call: &'a Call,
    /// Value of the opaque header by which the parent of a child call is found.
    pub(crate) context: &'a str,
    pub(crate) deadline: Instant,
    pub(crate) answer_limit_bytes: usize,
}

/// How a call to the upstream ended, and what its answer said about the upstream.
pub(crate) struct UpstreamResponse {
    pub(crate) outcome: UpstreamOutcome,
    /// `None` without an answer from this start of the upstream.
    pub(crate) heard: Option<HeardAnswer>,
    /// An answer to another request that came in place of the expected one.
    pub(crate) foreign: Option<ForeignAnswer>,
}

/// An answer that belongs to another request, or does not say to which.
pub(crate) struct ForeignAnswer {
    pub(crate) status: u16,
    /// Id of the request that it names.
    pub(crate) answered_id: Option<String>,
}

impl From<UpstreamOutcome> for UpstreamResponse {
    fn from(outcome: UpstreamOutcome) -> Self {
        Self {
            outcome,
            heard: None,
            foreign: None,
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
