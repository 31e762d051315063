//! Requests to the upstream beside the node.

use std::time::Duration;

use hemlocktack_protocol::Reason;
use http::{HeaderMap, response};

/// How upstreams encode requests and answers.
#[derive(Clone, Copy)]
pub struct UpstreamCodec {
    /// Sets the headers of the system on a request: the time left, and the
    /// start of the upstream that alone is to run it.
    pub write_headers: fn(&mut HeaderMap, time_left: Duration, upstream_start: Option<&str>),
    /// What the head of an answer says of the request that was sent with this id.
    pub check_answer: fn(&response::Parts, request_id: &str) -> AnswerCheck,
    /// Reads an answer to a question for the upstream's health.
    pub read_health: fn(&response::Parts) -> Option<Health>,
    /// Path of that question before a configuration names one.
    pub health_path: &'static str,
}

/// What the head of an upstream's answer says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerCheck {
    /// It is the answer to this request.
    Answer,
    /// The upstream says that it has not run the request.
    NotRun(Reason),
    /// Another start of an upstream listens there now; it has not run the request.
    OtherInstance,
    /// It answers another request, which says nothing of this one.
    OtherRequest,
    /// It is an answer of this request with a status that promises that it has
    /// not run, without the upstream's word for it.
    UnconfirmedNotRun,
}

/// What an upstream says of itself when it is asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Health {
    /// Names this start of the upstream.
    pub upstream_start: String,
    /// It takes work, as far as it knows.
    pub is_healthy: bool,
    /// Requests that it works on at once, where it says so.
    pub slots: Option<u32>,
}
