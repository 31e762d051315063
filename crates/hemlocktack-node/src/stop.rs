//! The planned stop: nothing in flight is cut off.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hemlocktack_protocol::NodeState;
use hemlocktack_telemetry::{Event, log_event};
use tokio::signal::unix::{SignalKind, signal};

use crate::handover;
use crate::node::Node;

/// How often the drain looks whether calls are still in flight.
const DRAIN_POLL: Duration = Duration::from_millis(20);
/// News of the drain reaches the other nodes within a second or two.
const DELEGATES_FOR: Duration = Duration::from_secs(2);

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

/// Takes nothing new, waits for what is in flight, up to the operator's limit,
/// and hands its tickets over.
pub(crate) async fn drain(node: &Arc<Node>) {
    node.set_state(NodeState::Draining);
    let limit = Instant::now() + node.settings.drain_limit;
    // Others still issue tickets for this home until they hear of the drain;
    // until then it delegates them. A home that never stopped taking them
    // would not come to an end under load.
    let delegates_until = limit.min(Instant::now() + DELEGATES_FOR);
    wait_until_idle(node, delegates_until).await;
    node.home.table().stop_accepting();
    wait_until_idle(node, limit).await;
    match handover::give(node).await {
        Some(successor) => log_event!(Event::HandoverDone, %successor),
        None => log_event!(Event::HandoverFailed),
    }
    node.set_state(NodeState::Left);
}

async fn wait_until_idle(node: &Node, limit: Instant) {
    while node.counters.in_flight() > 0 && Instant::now() < limit {
        tokio::time::sleep(DRAIN_POLL).await;
    }
}
