//! The configuration document of these tests.

/// Three services whose POST requests are not idempotent. Answers of `keys` may be large.
pub(crate) const DOCUMENT: &str = r#"
[limits]
drain_limit_ms = 30000

[[classes]]
name = "bookings"

[[classes]]
name = "browsing"

[[caller_kinds]]
name = "family"
patience_ms = 10000
retry_allowance = 2

[[caller_kinds]]
name = "kiosk"
patience_ms = 2000
retry_allowance = 1

[[services]]
name = "listings"
body_limit_bytes = 4096

[[services.requests]]
method = "GET"
path_prefix = "/"
class = "browsing"
idempotent = true

[[services.requests]]
method = "POST"
path_prefix = "/"
class = "bookings"
idempotent = false

[[services]]
name = "diaries"

[[services.requests]]
method = "GET"
path_prefix = "/"
class = "browsing"
idempotent = true

[[services.requests]]
method = "POST"
path_prefix = "/"
class = "bookings"
idempotent = false

[[services]]
name = "keys"
answer_limit_bytes = 16777216

[[services.requests]]
method = "GET"
path_prefix = "/"
class = "browsing"
idempotent = true

[[services.requests]]
method = "POST"
path_prefix = "/"
class = "bookings"
idempotent = false
"#;

/// The same configuration in a different document.
pub(crate) fn document_with_comment(comment: &str) -> String {
    format!("# {comment}\n{DOCUMENT}")
}
