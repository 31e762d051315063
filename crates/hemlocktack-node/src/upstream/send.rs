//! One send of a call to the upstream, and how it ended.

use std::time::Instant;

use bytes::Bytes;
use hemlocktack_protocol::{Call, Header, Reason};

use super::Announcement;

/// One send of a call to the upstream.
pub(crate) struct UpstreamRequest<'a> {
    pub(crate) announcement: &'a Announcement,
    pub(crate) call: &'a Call,
    /// Opaque header by which deeper calls find their parent.
    pub(crate) context: &'a str,
    pub(crate) deadline: Instant,
    pub(crate) answer_limit_bytes: usize,
}

/// How one send to the upstream ended.
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
