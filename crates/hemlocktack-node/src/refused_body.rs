//! Discards the rest of a request body after its request was refused.

use std::time::Duration;

/// Longest time for which a caller may keep sending a body that was refused.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs `read_rest`, which reads the rest of a body, for a limited time.
///
/// Closing a connection with unread bytes resets it, and the reset makes a caller that
/// reads only after sending everything lose the refusal.
pub(crate) async fn discard_with_timeout(read_rest: impl Future) {
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, read_rest).await;
}
