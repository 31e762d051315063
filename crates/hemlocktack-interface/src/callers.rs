//! Requests of callers and responses to them.

use std::time::Duration;

use bytes::Bytes;
use hemlocktack_config::KeyDigest;
use hemlocktack_protocol::{Header, Outcome, Reason};
use http::{Response, request};

/// Decodes callers' requests and encodes error responses.
#[derive(Clone, Copy)]
pub struct CallerCodec {
    /// Decodes the head of a request; the error is the reason to refuse it with.
    pub read: fn(&request::Parts) -> Result<IncomingRequest, Reason>,
    /// Returns the headers to set on a request that enters at a node of this service, on behalf of
    /// this client account. Values that the caller sent under these names must be removed first.
    pub origin_headers: fn(own_service: &str, account: Option<&str>) -> Vec<Header>,
    /// Names of headers that only the entry node may read or set, in lower case. They are removed
    /// from every request.
    pub origin_header_names: &'static [&'static str],
    /// Name of the header that contains the caller's key, in lower case. It is removed from every
    /// request where the configuration declares client accounts.
    pub key_header_name: &'static str,
    /// Encodes the response to a request that got no answer from an upstream.
    pub write_error: fn(&ErrorResponse) -> Response<Bytes>,
}

/// Decoded head of a caller's request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct IncomingRequest {
    /// Request id chosen by the caller; the same on every hop.
    pub request_id: String,
    /// Id of the request that the node's upstream was running when it made this one, if the
    /// deployment's format contains it.
    pub parent_request_id: Option<String>,
    /// Time until the caller's timeout.
    pub time_left: Option<Duration>,
    /// Host of the request, without a port.
    pub host: String,
    /// What the caller presents to be recognised as a client account.
    pub credential: Credential,
}

/// What a caller presents to be recognised as a client account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Credential {
    /// No key.
    #[default]
    Missing,
    /// Something that is not exactly one key.
    Malformed,
    /// One key, by its digest.
    Key(KeyDigest),
}

/// Response to a request that got no answer from an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ErrorResponse {
    /// Request id chosen by the caller; empty if it could not be decoded.
    pub request_id: String,
    /// Outcome; `NotRun` guarantees that the request has not run and never will.
    pub outcome: Outcome,
    /// Why there is no answer.
    pub reason: Reason,
    /// When capacity is expected again; `None` if a retry would not help.
    pub retry_after: Option<Duration>,
}
