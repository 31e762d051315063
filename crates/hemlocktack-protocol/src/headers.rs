//! HTTP headers of the system's own, towards callers and upstreams.

/// Ticket of a non-idempotent request.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Kind of caller as the operators declare it.
pub const CALLER_KIND_HEADER: &str = "hemlocktack-caller-kind";
/// How long the caller will wait, in milliseconds.
pub const TIMEOUT_HEADER: &str = "hemlocktack-timeout-ms";
/// Opaque; an upstream passes it on with the calls it makes for a call.
pub const CONTEXT_HEADER: &str = "hemlocktack-context";
/// W3C trace context.
pub const TRACEPARENT_HEADER: &str = "traceparent";
/// `answered`, `not-run` or `unknown`, on every answer.
pub const OUTCOME_HEADER: &str = "hemlocktack-outcome";
/// Why, where the outcome is not `answered`.
pub const REASON_HEADER: &str = "hemlocktack-reason";
/// Seconds after which the caller may come back.
pub const RETRY_AFTER_HEADER: &str = "retry-after";

/// `Retry-After` is none of them: in an upstream's answer it is the upstream's
/// word, and part of the whole answer.
const OWN_HEADERS: [&str; 7] = [
    IDEMPOTENCY_KEY_HEADER,
    CALLER_KIND_HEADER,
    TIMEOUT_HEADER,
    CONTEXT_HEADER,
    TRACEPARENT_HEADER,
    OUTCOME_HEADER,
    REASON_HEADER,
];

/// Whether the system sets this header itself, so that a caller's or an
/// upstream's value is not passed through unread.
pub fn is_reserved_header(name: &str) -> bool {
    OWN_HEADERS.iter().any(|own| own.eq_ignore_ascii_case(name))
}
