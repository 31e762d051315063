//! The planned stop: nothing in flight is cut off.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hemlocktack_protocol::NodeState;
use tokio::signal::unix::{SignalKind, signal};

use crate::node::Node;

/// How often the drain looks whether calls are still in flight.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// Ends at SIGTERM or SIGINT.
pub(crate) async fn stop_signal() {
    let (Ok(mut terminate), Ok(mut interrupt)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

/// Takes nothing new, waits for what is in flight, up to the operator's limit.
pub(crate) async fn drain(node: &Arc<Node>) {
    node.set_state(NodeState::Draining);
    let limit = Instant::now() + node.settings.drain_limit;
    while node.counters.in_flight() > 0 && Instant::now() < limit {
        tokio::time::sleep(DRAIN_POLL).await;
    }
    node.set_state(NodeState::Left);
}
