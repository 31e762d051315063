//! Bounded waiting for a condition.

use std::time::{Duration, Instant};

/// Far longer than anything takes; reached only by a fault.
pub(crate) const PATIENCE: Duration = Duration::from_secs(40);
const POLL_EVERY: Duration = Duration::from_millis(20);

/// Polls until the condition holds; panics with `what` when it never does.
pub(crate) async fn wait_until<F>(what: &str, mut condition: impl FnMut() -> F)
where
    F: Future<Output = bool>,
{
    let give_up_at = Instant::now() + PATIENCE;
    while !condition().await {
        assert!(Instant::now() < give_up_at, "waited in vain: {what}");
        tokio::time::sleep(POLL_EVERY).await;
    }
}
