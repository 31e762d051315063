//! Waits for a condition, with a timeout.

use std::time::{Duration, Instant};

/// Timeout far above what any condition needs; reached only in case of a failure.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(40);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Polls until the condition holds; panics with `what` after the timeout.
pub(crate) async fn wait_until<F>(what: &str, mut condition: impl FnMut() -> F)
where
    F: Future<Output = bool>,
{
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition().await {
        assert!(Instant::now() < deadline, "timed out: {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
