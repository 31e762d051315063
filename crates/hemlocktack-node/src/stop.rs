//! The planned stop, which lets the calls in flight finish. It alone decides the order of
//! the steps and when the node has stopped.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hemlocktack_fleet::drain::LifecycleAction;
use hemlocktack_telemetry::{Event, log_event};
use tokio::signal::unix::{SignalKind, signal};

use crate::node::{MIN_DRAIN_TIME, Node};
use crate::{gateway, handover, peers};

/// How often the drain checks whether calls are still in flight.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// Installs handlers for SIGTERM and SIGINT at once; the returned future completes on
/// either signal.
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

/// Stops the node: waits for the calls in flight, sends the last responses and leaves the
/// fleet. All of it takes at most the grace period, if one is configured.
pub(crate) async fn stop(node: &Arc<Node>) {
    drain(node).await;
    // At the drain limit little of the grace period is left. Announcing the departure first
    // would leave too little of it for the final responses.
    tokio::join!(close_gateway(node), peers::announce_departure(node));
    node.signals.stopped.cancel();
}

async fn close_gateway(node: &Node) {
    if node.interface.is_some() {
        gateway::close(node).await;
    }
}

/// Stops accepting calls, waits up to the configured limit for those in flight, and hands
/// the node's tickets over to a successor. `hemlocktack_fleet::drain` decides when each
/// step happens.
async fn drain(node: &Arc<Node>) {
    let in_flight_count = node.counters.in_flight();
    log_event!(Event::DrainBegun, in_flight_count);
    node.begin_stop();
    // Other nodes issue tickets with this node as their home until they learn of the drain;
    // meanwhile it delegates their calls. If it never stopped accepting tickets, the drain
    // would not end under load.
    tokio::time::sleep(MIN_DRAIN_TIME.min(node.drain_time_left())).await;
    node.home.table().stop_accepting();
    loop {
        let in_flight = usize::try_from(node.counters.in_flight()).unwrap_or(usize::MAX);
        for action in node.update_lifecycle(|lifecycle, now| lifecycle.check_stop(now, in_flight)) {
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

/// Refuses the calls that still wait for a slot at the drain limit. They would end with the process
/// otherwise, and the nodes that sent them could not tell whether they had run.
fn refuse_waiting(node: &Node) {
    let now = Instant::now();
    node.admission_queue
        .with_admission(|admission| admission.lost(now));
}

async fn hand_over(node: &Arc<Node>) {
    // Callers of another interface hold no tickets.
    if node.interface.is_some() {
        refuse_waiting(node);
        log_event!(Event::DrainFinished);
        node.update_lifecycle(|lifecycle, _| lifecycle.handed_over());
        return;
    }
    match handover::send_tickets(node).await {
        Some(successor) => log_event!(Event::HandoverDone, %successor),
        None => log_event!(Event::HandoverFailed),
    }
    log_event!(Event::DrainFinished);
    node.update_lifecycle(|lifecycle, _| lifecycle.handed_over());
}
