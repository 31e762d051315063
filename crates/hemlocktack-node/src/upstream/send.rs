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
}

impl From<UpstreamOutcome> for UpstreamResponse {
    fn from(outcome: UpstreamOutcome) -> Self {
        Self {
            outcome,
            heard: None,
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
