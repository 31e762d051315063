//! Requests to the node's upstream and its responses.

use std::time::Duration;

use hemlocktack_protocol::{AnswerNotice, Reason};
use http::{HeaderMap, response};

/// Encodes requests to the upstream and decodes its responses.
#[derive(Clone, Copy)]
pub struct UpstreamCodec {
    /// Sets the headers of a request: the time left, and the only upstream instance that may run
    /// it.
    pub write_headers: fn(&mut HeaderMap, time_left: Duration, upstream_start: Option<&str>),
    /// Classifies a response by its head, given the id of the request that was sent.
    pub check_answer: fn(&response::Parts, request_id: &str) -> AnswerCheck,
    /// Decodes what an answer says about its upstream.
    pub read_notice: fn(&HeaderMap) -> AnswerNotice,
    /// Decodes a health check response.
    pub read_health: fn(&response::Parts) -> Option<Health>,
    /// Path of health checks, unless the configuration sets another.
    pub health_path: &'static str,
}

/// Meaning of an upstream's response to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerCheck {
    /// It is the answer to the request.
    Answer,
    /// The upstream states that it has not run the request.
    NotRun(Reason),
    /// A different upstream instance listens at the address; it has not run the request.
    OtherInstance,
    /// It names another request, or none, and says nothing about this one.
    OtherRequest {
        /// The id that it names, shortened if it is long.
        answered_id: Option<String>,
    },
    /// It is an answer to the request whose status implies that it has not run, without the
    /// upstream stating so explicitly.
    UnconfirmedNotRun,
}

/// Health check result of an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Health {
    /// Id of the upstream instance.
    pub upstream_start: String,
    /// Whether the upstream reports that it accepts work.
    pub is_healthy: bool,
    /// What the response says about the upstream otherwise, such as its load.
    pub notice: AnswerNotice,
}
