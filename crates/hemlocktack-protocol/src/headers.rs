//! HTTP headers exchanged with callers and upstreams.

/// Ticket of a non-idempotent request.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Kind of the caller, as declared by the operators.
pub const CALLER_KIND_HEADER: &str = "hemlocktack-caller-kind";
/// Time until the caller's timeout, in milliseconds.
pub const TIMEOUT_HEADER: &str = "hemlocktack-timeout-ms";
/// Opaque call context; an upstream copies it to the child calls that it makes for a call.
pub const CONTEXT_HEADER: &str = "hemlocktack-context";
/// W3C trace context.
pub const TRACEPARENT_HEADER: &str = "traceparent";
/// Outcome of the request on every response: `answered`, `not-run` or `unknown`.
pub const OUTCOME_HEADER: &str = "hemlocktack-outcome";
/// Reason for an outcome other than `answered`.
pub const REASON_HEADER: &str = "hemlocktack-reason";
/// Seconds after which the caller may try again.
pub const RETRY_AFTER_HEADER: &str = "retry-after";

/// Calls per second that an upstream accepts from all nodes together, on its answers.
pub const RATE_LIMIT_HEADER: &str = "hemlocktack-rate-limit";
/// `1` on the answers of an upstream that is leaving.
pub const LEAVING_HEADER: &str = "hemlocktack-leaving";

/// Headers that nodes process and set themselves. `Retry-After` is not one of them: in an
/// upstream's answer it was set by the upstream and belongs to the answer.
const RESERVED_HEADERS: [&str; 7] = [
    IDEMPOTENCY_KEY_HEADER,
    CALLER_KIND_HEADER,
    TIMEOUT_HEADER,
    CONTEXT_HEADER,
    TRACEPARENT_HEADER,
    OUTCOME_HEADER,
    REASON_HEADER,
];

/// Returns whether nodes process and set this header themselves, so that a value from a caller or
/// an upstream is not forwarded unchanged.
pub fn is_reserved_header(name: &str) -> bool {
    RESERVED_HEADERS
        .iter()
        .any(|reserved| reserved.eq_ignore_ascii_case(name))
}
