//! Upstream side: calls that another node, or this one, sent here.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hemlocktack_fleet::tickets::Ticket;
use hemlocktack_protocol::{Answer, Call, CallPurpose, NodeState, Reason};
use hemlocktack_telemetry::SpanName;
use tokio_util::sync::CancellationToken;

use super::awaited::Awaited;
use super::run::{RunRequest, run};
use super::{catch_panic, home, not_run_answer, unknown_answer};
use crate::node::Node;
use crate::telemetry::{CallSpan, request_line};

/// Handles a call according to its purpose and returns its outcome. The code that sends the
/// answer counts the call as in flight.
pub(crate) async fn receive(node: &Arc<Node>, mut call: Call, awaited: &Awaited) -> Answer {
    node.counters.record_demand();
    let span = CallSpan::begin(node, SpanName::Hop, &mut call);
    let what = request_line(&call.method, &call.path);
    let request_id = call.request_id.clone();
    let answer = catch_panic(&request_id, dispatch(node, call, awaited)).await;
    span.end(node, &answer, || what);
    answer
}

async fn dispatch(node: &Arc<Node>, call: Call, awaited: &Awaited) -> Answer {
    let deadline = Instant::now() + Duration::from_micros(call.time_left_us);
    match call.purpose() {
        // The home reports a ticket's outcome even while it drains.
        CallPurpose::Home => home::receive_home(node, call, deadline).await,
        CallPurpose::Delegated => receive_delegated(node, call, deadline).await,
        CallPurpose::Placed | CallPurpose::Unspecified => {
            receive_placed(node, call, deadline, awaited).await
        }
        CallPurpose::PlacedOnce => receive_once(node, call, deadline, awaited).await,
    }
}

/// Runs an idempotent call on this node; it is cancelled if its caller disconnects.
async fn receive_placed(
    node: &Arc<Node>,
    call: Call,
    deadline: Instant,
    awaited: &Awaited,
) -> Answer {
    if let Some(reason) = refusal_reason(node, &call) {
        return refused(node, &call, reason);
    }
    let order = RunRequest {
        call,
        nonce: None,
        deadline,
        may_start: || awaited.start(),
    };
    tokio::select! {
        answer = run(node, order) => answer,
        () = awaited.cancelled() => match awaited.is_started() {
            true => unknown_answer(Reason::Cancelled),
            false => not_run_answer(Reason::Cancelled, None),
        },
    }
}

/// Runs a call that its entry node sends to one node at a time. A caller that disconnects
/// cancels it until it is forwarded to the upstream. After that it runs to completion, since
/// aborting a booking halfway helps nobody.
async fn receive_once(
    node: &Arc<Node>,
    call: Call,
    deadline: Instant,
    awaited: &Awaited,
) -> Answer {
    if let Some(reason) = refusal_reason(node, &call) {
        return refused(node, &call, reason);
    }
    let started = CancellationToken::new();
    let order = RunRequest {
        call,
        nonce: None,
        deadline,
        may_start: || {
            started.cancel();
            awaited.start()
        },
    };
    let running = run(node, order);
    tokio::pin!(running);
    tokio::select! {
        biased;
        answer = &mut running => return answer,
        () = started.cancelled() => {}
        () = awaited.cancelled() => return not_run_answer(Reason::Cancelled, None),
    }
    running.await
}

/// Runs a ticketed call that its home delegated to this node. It is never cancelled, so that a
/// resend finds its answer at the home.
async fn receive_delegated(node: &Arc<Node>, call: Call, deadline: Instant) -> Answer {
    let ticket = match Ticket::decode(&node.keys, &call.service, &call.ticket) {
        Ok(ticket) => ticket,
        Err(error) => return refused(node, &call, error.reason()),
    };
    if let Some(reason) = refusal_reason(node, &call) {
        return refused(node, &call, reason);
    }
    run(
        node,
        RunRequest {
            call,
            nonce: Some(ticket.nonce),
            deadline,
            may_start: || true,
        },
    )
    .await
}

/// Refuses a call whose body has not arrived.
pub(crate) fn refused_by_link(node: &Node, call: &Call, reason: Reason) -> Answer {
    node.counters.record_demand();
    refused(node, call, reason)
}

fn refused(node: &Node, call: &Call, reason: Reason) -> Answer {
    node.counters.record_refusal(reason);
    Answer {
        retries_unspent: call.retries_given,
        ..not_run_answer(reason, None)
    }
}

/// Returns why this node accepts no new calls for its upstream, if it does not.
pub(super) fn refusal_reason(node: &Node, call: &Call) -> Option<Reason> {
    if *call.service != *node.settings.service {
        return Some(Reason::NoUpstream);
    }
    match node.state() {
        NodeState::Ready => None,
        NodeState::Starting => Some(Reason::Starting),
        _ => Some(Reason::Draining),
    }
}
