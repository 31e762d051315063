//! The rest of a body whose request is refused before its end.

use std::time::Duration;

/// Longest that a caller may go on sending a body that is refused.
const REST_TAKEN_FOR: Duration = Duration::from_secs(2);

/// Takes the rest of a body that nobody needs, for a while.
///
/// Failure: a connection that is closed with bytes unread is reset, and the reset
/// takes the refusal away from a caller that reads it once all is sent.
pub(crate) async fn discard_with_timeout(rest_taken: impl Future) {
    let _ = tokio::time::timeout(REST_TAKEN_FOR, rest_taken).await;
}
