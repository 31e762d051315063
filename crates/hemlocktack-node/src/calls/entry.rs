//! Entry of requests: those of callers and the child calls of this node's upstream.

use std::sync::Arc;
use std::time::Instant;

use hemlocktack_protocol::{Answer, NodeState, Reason};

use super::{ClassifiedCall, classify, place, ticketed, unknown_answer};
use crate::callers::{CallerAnswer, CallerRequest};
use crate::node::Node;

/// Handles a request and returns its answer as soon as the outcome is known. The code that reads
/// the request and sends the answer counts it as in flight.
pub(crate) async fn handle_request(node: &Arc<Node>, request: CallerRequest) -> CallerAnswer {
    let started = Instant::now();
    let has_key = request.idempotency_key.is_some();
    let mut classified = match classify(node, request, started) {
        Ok(classified) => classified,
        Err(reason) => return refused_answer(reason, has_key),
    };
    if let Some(reason) = root_refusal_reason(node, &classified) {
        return refused_answer(reason, has_key && !classified.idempotent);
    }
    if let Some(parent) = &classified.parent {
        parent.child_call_began();
    }
    let answer = run(node, &mut classified).await;
    if let Some(parent) = &classified.parent {
        let service = &classified.call.service;
        parent.child_call_ended(service, classified.kind, started.elapsed(), &answer);
    }
    CallerAnswer::from_answer(answer)
}

/// Returns the answer to a request that this node refuses.
///
/// A request with an idempotency key may have run through another node before. If its answer was
/// lost and the caller resends it to a node that drains, `not_run` would make the caller book
/// again with a fresh ticket. A refusal that depends on this node, on its configuration or on
/// what the caller sent this time is therefore answered with `unknown`.
pub(crate) fn refused_answer(reason: Reason, may_have_been_sent: bool) -> CallerAnswer {
    let depends_on_this_send = matches!(
        reason,
        Reason::UnknownService
            | Reason::BodyTooLarge
            // A limit or caller kind may differ in another generation, or the body was cut off.
            | Reason::MalformedRequest
            | Reason::ContextExpired
            | Reason::Starting
            | Reason::Draining
    );
    if may_have_been_sent && depends_on_this_send {
        return CallerAnswer::from_answer(unknown_answer(reason));
    }
    CallerAnswer::refused(reason)
}

/// Returns why this node accepts no new root requests, if it does not. Child calls are accepted
/// even while the node drains, because refusing them would break requests in flight.
fn root_refusal_reason(node: &Node, classified: &ClassifiedCall) -> Option<Reason> {
    if classified.parent.is_some() {
        return None;
    }
    match node.state() {
        NodeState::Ready => None,
        NodeState::Starting => Some(Reason::Starting),
        _ => Some(Reason::Draining),
    }
}

async fn run(node: &Arc<Node>, classified: &mut ClassifiedCall) -> Answer {
    if classified.idempotent {
        return place::run_with_retries(node, classified).await;
    }
    ticketed::run_ticketed(node, classified).await
}
