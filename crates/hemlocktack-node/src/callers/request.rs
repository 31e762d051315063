//! Parsing of a caller's request.

use std::time::Duration;

use bytes::Bytes;
use hemlocktack_protocol::{
    CALLER_KIND_HEADER, CONTEXT_HEADER, Header, IDEMPOTENCY_KEY_HEADER, Reason, ServiceName,
    TIMEOUT_HEADER, TRACEPARENT_HEADER, is_reserved_header,
};
use rocket::Request;

/// Hop-by-hop headers, and those that frame a body and are set anew. Forwarded, they would describe
/// the wrong connection.
pub(crate) const CONNECTION_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
];
/// Not forwarded, as the HTTP client sets it anew.
const HOST_HEADER: &str = "host";

/// A caller's request.
pub(crate) struct CallerRequest {
    pub(crate) service: ServiceName,
    pub(crate) method: &'static str,
    /// Path below the service, with its query; begins with `/`.
    pub(crate) path: String,
    /// Headers without reserved ones and those of the connection.
    pub(crate) headers: Vec<Header>,
    pub(crate) body: Bytes,
    pub(crate) caller_kind: Option<String>,
    /// How long the caller says it will wait.
    pub(crate) timeout: Option<Duration>,
    pub(crate) context: Option<String>,
    pub(crate) idempotency_key: Option<String>,
    pub(crate) traceparent: Option<String>,
}

/// Reads everything but the body.
pub(crate) fn read_head(request: &Request<'_>) -> Result<CallerRequest, Reason> {
    let raw_path = request.uri().path().as_str();
    let mut parts = raw_path.trim_start_matches('/').splitn(2, '/');
    let service = parts.next().unwrap_or_default();
    if service.is_empty() {
        return Err(Reason::UnknownService);
    }
    let mut path = format!("/{}", parts.next().unwrap_or_default());
    if let Some(query) = request.uri().query() {
        path.push('?');
        path.push_str(query.as_str());
    }
    Ok(CallerRequest {
        service: service.into(),
        method: request.method().as_str(),
        path,
        headers: forwarded_headers(request),
        body: Bytes::new(),
        caller_kind: own_header(request, CALLER_KIND_HEADER),
        timeout: read_timeout(request)?,
        context: own_header(request, CONTEXT_HEADER),
        idempotency_key: own_header(request, IDEMPOTENCY_KEY_HEADER),
        traceparent: own_header(request, TRACEPARENT_HEADER),
    })
}

/// Whether the request has an idempotency key, so that it may have been sent before.
pub(crate) fn has_idempotency_key(request: &Request<'_>) -> bool {
    request.headers().contains(IDEMPOTENCY_KEY_HEADER)
}

/// Whether a header is forwarded to the next hop.
pub(crate) fn is_forwarded_header(name: &str) -> bool {
    !is_reserved_header(name)
        && !name.eq_ignore_ascii_case(HOST_HEADER)
        && !CONNECTION_HEADERS
            .iter()
            .any(|own| own.eq_ignore_ascii_case(name))
}

fn forwarded_headers(request: &Request<'_>) -> Vec<Header> {
    let mut headers = Vec::new();
    for header in request
        .headers()
        .iter()
        .filter(|header| is_forwarded_header(header.name.as_str()))
    {
        headers.push(Header {
            name: header.name.as_str().to_owned(),
            value: Bytes::copy_from_slice(header.value.as_bytes()),
        });
    }
    headers
}

fn own_header(request: &Request<'_>, name: &str) -> Option<String> {
    request.headers().get_one(name).map(str::to_owned)
}

fn read_timeout(request: &Request<'_>) -> Result<Option<Duration>, Reason> {
    let Some(text) = request.headers().get_one(TIMEOUT_HEADER) else {
        return Ok(None);
    };
    let timeout_ms = text.parse().map_err(|_| Reason::MalformedRequest)?;
    Ok(Some(Duration::from_millis(timeout_ms)))
}
