//! Requests of callers.

use std::time::Duration;

use bytes::Bytes;
use hemlocktack_protocol::{Header, Outcome, Reason};
use http::{Response, request};

/// How callers encode requests, and how answers are encoded for them.
#[derive(Clone, Copy)]
pub struct CallerCodec {
    /// Reads what the head of a request says; the reason is that of the refusal.
    pub read: fn(&request::Parts) -> Result<IncomingRequest, Reason>,
    /// Headers that the system sets on a request that enters beside an
    /// upstream of this service. Values that the caller sent under these names
    /// have to be dropped first.
    pub origin_headers: fn(own_service: &str) -> Vec<Header>,
    /// Encodes an end that is not an upstream's answer.
    pub write_error: fn(&ErrorResponse) -> Response<Bytes>,
}

/// What the head of a request says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct IncomingRequest {
    /// The caller's own name of the request; the same on every hop.
    pub request_id: String,
    /// The request that the upstream beside the node was running when it made
    /// this one for it, where the deployment tells.
    pub parent_request_id: Option<String>,
    /// How long the caller says it waits.
    pub time_left: Option<Duration>,
    /// Host that the request is addressed to, without a port.
    pub host: String,
}

/// An end without an answer of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ErrorResponse {
    /// The caller's own name of the request; empty if it could not be read.
    pub request_id: String,
    /// `NotRun` is a promise: it has not run and never will.
    pub outcome: Outcome,
    /// Why.
    pub reason: Reason,
    /// When there will be room again; `None` if coming back does not help.
    pub retry_after: Option<Duration>,
}
