//! The upstream side: a call that another node, or this one, sent here.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hemlocktack_fleet::tickets::Ticket;
use hemlocktack_protocol::{Answer, Call, CallPurpose, NodeState, Reason};
use hemlocktack_telemetry::SpanName;
use tokio_util::sync::CancellationToken;

use super::run::{RunOrder, run};
use super::{catch_panic, home, not_run_answer, unknown_answer};
use crate::node::Node;
use crate::telemetry::{CallSpan, request_line};

/// Treats a call by its purpose and answers with what became of it. It is
/// counted as in flight by whoever sends the answer.
pub(crate) async fn receive(
    node: &Arc<Node>,
    mut call: Call,
    cancelled: &CancellationToken,
) -> Answer {
    node.counters.record_demand();
    let span = CallSpan::begin(node, SpanName::Hop, &mut call);
    let what = request_line(&call.method, &call.path);
    let request_id = call.request_id.clone();
    let answer = catch_panic(&request_id, treat(node, call, cancelled)).await;
    span.end(node, &answer, || what);
    answer
}

async fn treat(node: &Arc<Node>, call: Call, cancelled: &CancellationToken) -> Answer {
    let deadline = Instant::now() + Duration::from_micros(call.time_left_us);
    match call.purpose() {
        // The home answers for a ticket's end even while it drains.
        CallPurpose::Home => home::receive_home(node, call, deadline).await,
        CallPurpose::Delegated => receive_delegated(node, call, deadline).await,
        CallPurpose::Placed | CallPurpose::Unspecified => {
            receive_placed(node, call, deadline, cancelled).await
        }
        CallPurpose::PlacedOnce => receive_once(node, call, deadline, cancelled).await,
    }
}

/// Runs an idempotent call here; one that its caller has left is cancelled.
async fn receive_placed(
    node: &Arc<Node>,
    call: Call,
    deadline: Instant,
    cancelled: &CancellationToken,
) -> Answer {
    if let Some(reason) = refuses_all(node, &call) {
        return refused(node, &call, reason);
    }
    let order = RunOrder {
        call,
        nonce: None,
        deadline,
        may_start: || true,
    };
    tokio::select! {
        answer = run(node, order) => answer,
        () = cancelled.cancelled() => unknown_answer(Reason::Cancelled),
    }
}

/// Runs a call here that its entry sends to one node at a time. Until it is
/// handed to the upstream, a caller that leaves takes it back; once begun it is
/// finished, as breaking off a booking helps nobody.
async fn receive_once(
    node: &Arc<Node>,
    call: Call,
    deadline: Instant,
    cancelled: &CancellationToken,
) -> Answer {
    if let Some(reason) = refuses_all(node, &call) {
        return refused(node, &call, reason);
    }
    let begun = CancellationToken::new();
    let order = RunOrder {
        call,
        nonce: None,
        deadline,
        may_start: || {
            begun.cancel();
            !cancelled.is_cancelled()
        },
    };
    let running = run(node, order);
    tokio::pin!(running);
    tokio::select! {
        biased;
        answer = &mut running => return answer,
        () = begun.cancelled() => {}
        () = cancelled.cancelled() => return not_run_answer(Reason::Cancelled, None),
    }
    running.await
}

/// Runs a ticketed call here that its home handed over. It is never cancelled:
/// once begun it is finished, so that a re-send finds its answer at the home.
async fn receive_delegated(node: &Arc<Node>, call: Call, deadline: Instant) -> Answer {
    let ticket = match Ticket::decode(&node.keys, &call.service, &call.ticket) {
        Ok(ticket) => ticket,
        Err(error) => return refused(node, &call, error.reason()),
    };
    if let Some(reason) = refuses_all(node, &call) {
        return refused(node, &call, reason);
    }
    run(
        node,
        RunOrder {
            call,
            nonce: Some(ticket.nonce),
            deadline,
            may_start: || true,
        },
    )
    .await
}

fn refused(node: &Node, call: &Call, reason: Reason) -> Answer {
    node.counters.record_refusal(reason);
    Answer {
        retries_unspent: call.retries_given,
        ..not_run_answer(reason, None)
    }
}

/// Why this node takes no new work for its upstream, if it takes none.
pub(super) fn refuses_all(node: &Node, call: &Call) -> Option<Reason> {
    if *call.service != *node.settings.service {
        return Some(Reason::NoUpstream);
    }
    match node.state() {
        NodeState::Ready => None,
        NodeState::Starting => Some(Reason::Starting),
        _ => Some(Reason::Draining),
    }
}
