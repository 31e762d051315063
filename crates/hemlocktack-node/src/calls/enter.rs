//! The entry: a caller's request, or a deeper call of the own upstream.

use std::sync::Arc;
use std::time::Instant;

use hemlocktack_protocol::{Answer, NodeState, Reason};

use super::{ClassifiedCall, classify, place, ticketed, unknown_answer};
use crate::callers::{CallerAnswer, CallerRequest};
use crate::node::Node;

/// Takes a request and answers it as soon as its end is known. It is counted
/// as in flight by whoever reads it and sends its answer.
pub(crate) async fn handle_request(node: &Arc<Node>, request: CallerRequest) -> CallerAnswer {
    let started = Instant::now();
    let has_key = request.idempotency_key.is_some();
    let mut classified = match classify(node, request, started) {
        Ok(classified) => classified,
        Err(reason) => return refused_answer(reason, has_key),
    };
    if let Some(reason) = refuses_new_roots(node, &classified) {
        return refused_answer(reason, has_key && !classified.idempotent);
    }
    if let Some(parent) = &classified.parent {
        parent.child_call_began();
    }
    let answer = run(node, &mut classified).await;
    if let Some(parent) = &classified.parent {
        parent.child_call_ended(classified.kind, started.elapsed(), &answer);
    }
    CallerAnswer::from_answer(answer)
}

/// What this node refuses, another may have let run before.
///
/// Failure: a booking runs through one node, its answer is lost, and the caller
/// sends it again to a node that drains. Told `not_run`, the caller would book
/// once more with a fresh ticket. A request with a key may have been sent
/// before, so a refusal that depends on the node, on its configuration or on
/// what the caller sent this time says nothing of it.
pub(crate) fn refused_answer(reason: Reason, may_have_been_sent: bool) -> CallerAnswer {
    let is_of_this_send = matches!(
        reason,
        Reason::UnknownService
            | Reason::BodyTooLarge
            // A limit or a kind of caller that another generation has, or a cut body.
            | Reason::MalformedRequest
            | Reason::ContextExpired
            | Reason::Starting
            | Reason::Draining
    );
    if may_have_been_sent && is_of_this_send {
        return CallerAnswer::from_answer(unknown_answer(reason));
    }
    CallerAnswer::refused(reason)
}

/// Deeper calls of requests in flight are taken to the end, also while the
/// node drains: refusing them would cut those requests off.
fn refuses_new_roots(node: &Node, classified: &ClassifiedCall) -> Option<Reason> {
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
