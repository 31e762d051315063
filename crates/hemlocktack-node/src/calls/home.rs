//! Home of a ticket: the one node incarnation that decides whether its request runs.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use futures::future::BoxFuture;
use hemlocktack_decide::may_move;
use hemlocktack_fleet::tickets::{Nonce, StartDecision, Ticket};
use hemlocktack_protocol::{Answer, Call, CallFailure, CallPurpose, Outcome, Reason};

use super::deliver::{SendResult, SendWatch, send_with_allowance};
use super::home_table::OutcomeReceiver;
use super::in_flight_send::InFlightSend;
use super::outcomes::call_failure;
use super::place::choose_peer;
use super::receive::refusal_reason;
use super::run::{RunRequest, run};
use super::service_directory::PeerEntry;
use super::{not_run_answer, unknown_answer};
use crate::node::Node;

/// Nodes that a busy home delegates a request to before it refuses the request. This is one
/// attempt more than an idempotent call gets, since a booking is shed last.
const MAX_DELEGATIONS: usize = 2;

/// Handles a call whose ticket names this node incarnation, or one whose tickets it took over.
pub(super) async fn receive_home(node: &Arc<Node>, call: Call, deadline: Instant) -> Answer {
    let ticket = match Ticket::decode(&node.keys, &call.service, &call.ticket) {
        Ok(ticket) => ticket,
        // Signed with a key that this node does not have. During a key rotation, another
        // incarnation may have run the call under that key.
        Err(error) => {
            return Answer {
                retries_unspent: call.retries_given,
                ..unknown_answer(error.reason())
            };
        }
    };
    let retries_given = call.retries_given;
    let (start, end) = node.home.start(&ticket, call.fingerprint);
    let answer = match start {
        StartDecision::Run => {
            // Runs in its own task: the link or the caller may disconnect while the request
            // runs, and a resend must still find its outcome.
            tokio::spawn(boxed_run(node.clone(), call, ticket.nonce, deadline));
            return wait_for_outcome(end, deadline).await;
        }
        StartDecision::Join => wait_for_outcome(end, deadline).await,
        StartDecision::Answered(answer) => Arc::unwrap_or_clone(answer),
        StartDecision::AnswerNotKept => unknown_answer(Reason::AnswerNotKept),
        StartDecision::Refused(refused) => answer_of_failure(refused),
    };
    // Only the send that started the run can have spent retries.
    Answer {
        retries_unspent: retries_given,
        ..answer
    }
}

async fn wait_for_outcome(end: Option<OutcomeReceiver>, deadline: Instant) -> Answer {
    let Some(mut end) = end else {
        return unknown_answer(Reason::AnswerNotKept);
    };
    let ended = tokio::time::timeout_at(deadline.into(), end.wait_for(Option::is_some)).await;
    match ended {
        Ok(Ok(answer)) => answer
            .as_deref()
            .cloned()
            .unwrap_or_else(|| unknown_answer(Reason::AnswerNotKept)),
        Ok(Err(_)) => unknown_answer(Reason::AnswerNotKept),
        Err(_) => unknown_answer(Reason::Timeout),
    }
}

fn answer_of_failure(failure: CallFailure) -> Answer {
    match failure {
        CallFailure::NotRun(refusal) => not_run_answer(refusal.reason, refusal.retry_after),
        CallFailure::Unknown(reason) => unknown_answer(reason),
    }
}

/// Boxes the run: it may send to this node itself, which makes its future type recursive.
fn boxed_run(
    node: Arc<Node>,
    call: Call,
    nonce: Nonce,
    deadline: Instant,
) -> BoxFuture<'static, ()> {
    Box::pin(run_home(node, call, nonce, deadline))
}

/// Runs the request on this node or, if its upstream is busy, on other nodes one at a time.
async fn run_home(node: Arc<Node>, call: Call, nonce: Nonce, deadline: Instant) {
    let _in_flight = node.track_call();
    let mut answer = run_locally(&node, &call, nonce, deadline).await;
    let mut excluded = node
        .services
        .service(&call.service)
        .and_then(|view| view.index_of(&node.identity));
    for _ in 0..MAX_DELEGATIONS {
        let may_go_on = call_failure(&answer).is_some_and(
            |failure| matches!(failure, CallFailure::NotRun(refusal) if may_move(refusal.reason)),
        );
        if !may_go_on {
            break;
        }
        let Some(view) = node.services.service(&call.service) else {
            break;
        };
        let Some(index) = choose_peer(&view, excluded) else {
            break;
        };
        if Some(index) == view.index_of(&node.identity) {
            break;
        }
        answer = delegate_to(&node, &call, nonce, &view.peers[index], deadline).await;
        excluded = Some(index);
    }
    node.home.record_outcome(nonce, detached(answer));
}

/// Returns an answer that holds no memory of the node's budget for bodies: kept answers have a
/// budget of their own.
fn detached(answer: Answer) -> Answer {
    let body = Bytes::copy_from_slice(&answer.body);
    Answer { body, ..answer }
}

async fn run_locally(node: &Arc<Node>, call: &Call, nonce: Nonce, deadline: Instant) -> Answer {
    if let Some(reason) = refusal_reason(node, call) {
        return not_run_answer(reason, None);
    }
    let started = || node.home.table().mark_started(nonce).is_ok();
    let answer = run(
        node,
        RunRequest {
            call: call.clone(),
            nonce: Some(nonce),
            deadline,
            may_start: started,
        },
    )
    .await;
    if answer.outcome() == Outcome::NotRun {
        // The upstream may have shed the call after its start was recorded. Only this task
        // owns the call, so a ticket that was not started stays that way.
        let _ = node.home.table().requeue(nonce);
    }
    answer
}

/// Sends the request to another node of the service; records that before the first byte leaves.
async fn delegate_to(
    node: &Arc<Node>,
    call: &Call,
    nonce: Nonce,
    peer: &PeerEntry,
    deadline: Instant,
) -> Answer {
    if node
        .home
        .table()
        .delegate(nonce, peer.identity.clone())
        .is_err()
    {
        return unknown_answer(Reason::Fenced);
    }
    let mut call = call.clone();
    call.purpose = CallPurpose::Delegated.into();
    let allowance = hemlocktack_decide::RetryAllowance::new(call.retries_given);
    let in_flight_send = InFlightSend::begin(peer);
    let watch = SendWatch::default();
    let SendResult { answer, .. } =
        send_with_allowance(node, peer, call, deadline, &allowance, &watch).await;
    in_flight_send.finish(&answer);
    if answer.outcome() == Outcome::NotRun {
        let given_back = node.home.table().requeue_from(nonce, &peer.identity);
        if given_back.is_err() {
            return unknown_answer(Reason::Fenced);
        }
    }
    Answer {
        retries_unspent: allowance.left(),
        ..answer
    }
}
