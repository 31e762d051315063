//! The planned stop: nothing in flight is cut off.

use std::sync::Arc;
use std::time::Duration;

use hemlocktack_fleet::drain::LifecycleAction;
use hemlocktack_telemetry::{Event, log_event};
use tokio::signal::unix::{SignalKind, signal};

use crate::handover;
use crate::node::{DRAIN_SETTLE, Node};

/// How often the drain looks whether calls are still in flight.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// Takes over SIGTERM and SIGINT at once; what it returns ends at one of them.
pub(crate) fn stop_signal() -> impl Future<Output = ()> {
    let signals = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    );
    async move {
        let (Ok(mut terminate), Ok(mut interrupt)) = signals else {
            return std::future::pending().await;
        };
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    }
}

/// Takes nothing new, waits for what is in flight, up to the operator's limit,
/// and hands its tickets over. What happens when is decided by
/// `hemlocktack_fleet::drain`.
pub(crate) async fn drain(node: &Arc<Node>) {
    let in_flight_count = node.counters.in_flight();
    log_event!(Event::DrainBegun, in_flight_count);
    node.begin_stop();
    // Others still issue tickets for this home until they hear of the drain;
    // until then it delegates them. A home that never stopped taking them
    // would not come to an end under load.
    tokio::time::sleep(DRAIN_SETTLE.min(node.drain_time_left())).await;
    node.home.table().stop_accepting();
    loop {
        let in_flight = usize::try_from(node.counters.in_flight()).unwrap_or(usize::MAX);
        for action in node.update_lifecycle(|life, now| life.check_stop(now, in_flight)) {
            match action {
                LifecycleAction::ReportOverrun { in_flight } => {
                    log_event!(Event::DrainLimitReached, in_flight);
                }
                LifecycleAction::HandOver => return hand_over(node).await,
                LifecycleAction::Publish(_) | LifecycleAction::Leave => {}
            }
        }
        tokio::time::sleep(DRAIN_POLL).await;
    }
}

async fn hand_over(node: &Arc<Node>) {
    // With an interface of its own, callers hold no tickets.
    if node.interface.is_some() {
        log_event!(Event::DrainFinished);
        node.update_lifecycle(|life, _| life.handed_over());
        return;
    }
    match handover::give(node).await {
        Some(successor) => log_event!(Event::HandoverDone, %successor),
        None => log_event!(Event::HandoverFailed),
    }
    log_event!(Event::DrainFinished);
    node.update_lifecycle(|life, _| life.handed_over());
}
