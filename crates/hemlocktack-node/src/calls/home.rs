//! The home of a ticket: the one node start that may let its request run.

use std::sync::Arc;
use std::time::Instant;

use futures::future::BoxFuture;
use hemlocktack_decide::may_move;
use hemlocktack_fleet::tickets::{Nonce, StartDecision, Ticket};
use hemlocktack_protocol::{Answer, Call, CallFailure, CallPurpose, Outcome, Reason};

use super::deliver::{Delivery, send_with_allowance};
use super::ends::unfinished;
use super::home_table::EndReceiver;
use super::open_send::OpenSend;
use super::place::choose;
use super::receive::refuses_all;
use super::run::{RunOrder, run};
use super::service_directory::{PeerEntry, ServiceView};
use super::{not_run_answer, unknown_answer};
use crate::node::Node;

/// Nodes that a busy home hands a request to before it refuses it. One more
/// try than an idempotent call gets: a booking is shed last.
const DELEGATIONS_MAX: usize = 2;

/// A call whose ticket names this node start, or one that it took over from.
pub(super) async fn receive_home(node: &Arc<Node>, call: Call, deadline: Instant) -> Answer {
    let ticket = match Ticket::decode(&node.keys, &call.service, &call.ticket) {
        Ok(ticket) => ticket,
        // Signed with a key that this node does not hold: while keys are
        // changed, another start may have run it under that key.
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
            // Apart from this send: its link or its caller may go while the
            // request runs, and a re-send must find the end all the same.
            tokio::spawn(boxed_run(node.clone(), call, ticket.nonce, deadline));
            return wait_for_end(end, deadline).await;
        }
        StartDecision::Join => wait_for_end(end, deadline).await,
        StartDecision::Answered(answer) => Arc::unwrap_or_clone(answer),
        StartDecision::AnswerNotKept => unknown_answer(Reason::AnswerNotKept),
        StartDecision::Refused(refused) => from_unfinished(refused),
    };
    // Only the send that began the run can have spent retries.
    Answer {
        retries_unspent: retries_given,
        ..answer
    }
}

async fn wait_for_end(end: Option<EndReceiver>, deadline: Instant) -> Answer {
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

fn from_unfinished(unfinished: CallFailure) -> Answer {
    match unfinished {
        CallFailure::NotRun(refusal) => not_run_answer(refusal.reason, refusal.retry_after),
        CallFailure::Unknown(reason) => unknown_answer(reason),
    }
}

/// A home's run may send to this node itself, so its type has to end somewhere.
fn boxed_run(
    node: Arc<Node>,
    call: Call,
    nonce: Nonce,
    deadline: Instant,
) -> BoxFuture<'static, ()> {
    Box::pin(run_home(node, call, nonce, deadline))
}

/// Runs the request here or, if this upstream is busy, on one other at a time.
async fn run_home(node: Arc<Node>, call: Call, nonce: Nonce, deadline: Instant) {
    let _in_flight = node.track_call();
    let mut answer = run_here(&node, &call, nonce, deadline).await;
    let mut excluded = node
        .services
        .service(&call.service)
        .and_then(|view| own_index(&node, &view));
    for _ in 0..DELEGATIONS_MAX {
        let may_go_on = unfinished(&answer).is_some_and(|unfinished| {
            matches!(unfinished, CallFailure::NotRun(refusal) if may_move(refusal.reason))
        });
        if !may_go_on {
            break;
        }
        let Some(view) = node.services.service(&call.service) else {
            break;
        };
        let Some(index) = choose(&view, excluded) else {
            break;
        };
        if Some(index) == own_index(&node, &view) {
            break;
        }
        answer = run_there(&node, &call, nonce, &view.peers[index], deadline).await;
        excluded = Some(index);
    }
    node.home.end(nonce, answer);
}

fn own_index(node: &Node, view: &ServiceView) -> Option<usize> {
    view.peers
        .iter()
        .position(|peer| peer.identity == node.identity)
}

async fn run_here(node: &Arc<Node>, call: &Call, nonce: Nonce, deadline: Instant) -> Answer {
    if let Some(reason) = refuses_all(node, call) {
        return not_run_answer(reason, None);
    }
    let started = || node.home.table().mark_started(nonce).is_ok();
    let answer = run(
        node,
        RunOrder {
            call: call.clone(),
            nonce: Some(nonce),
            deadline,
            may_start: started,
        },
    )
    .await;
    if answer.outcome() == Outcome::NotRun {
        // The upstream may have shed it after the start was recorded. The call
        // is still this task's alone, so a ticket that was not started stays so.
        let _ = node.home.table().requeue(nonce);
    }
    answer
}

/// Sends it to another node of the service, recorded before the first byte.
async fn run_there(
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
    let open_send = OpenSend::begin(peer);
    let Delivery { answer, .. } = send_with_allowance(node, peer, call, deadline, &allowance).await;
    open_send.end(&answer);
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
