//! Placing a call on a node of its service, and sending it again where that is allowed.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hemlocktack_decide::{
    CallSends, NextStep, PeerLoad, PlacementPolicy, QuarantineStatus, RetryBudget, RetryDecision,
    RetryPriority, cap_to_objective, decide_retry, place,
};
use hemlocktack_protocol::{Answer, Call, CallFailure, CallPurpose, Reason, Refusal};
use hemlocktack_telemetry::{Event, log_event};

use super::ClassifiedCall;
use super::deliver::{micros_left, send_with_allowance};
use super::ends::{NOTHING_SHED, not_run_answer, unfinished, unknown_answer, wait_before_return};
use super::open_send::OpenSend;
use super::service_directory::{PeerEntry, ServiceView};
use super::tries::Tries;
use crate::node::Node;

/// Places a call without a ticket and stays with it until its end. One that is
/// not idempotent goes to another node only after the one before has proved
/// that it has not run there.
pub(crate) async fn run_with_retries(node: &Arc<Node>, classified: &ClassifiedCall) -> Answer {
    let view = match admitted_view(node, classified) {
        Ok(view) => view,
        Err(refusal) => return not_run_answer(refusal.reason, refusal.retry_after),
    };
    count_try(&view, &classified.call);
    let purpose = match classified.idempotent {
        true => CallPurpose::Placed,
        false => CallPurpose::PlacedOnce,
    };
    let mut tries = Tries::new(classified);
    loop {
        let Some(index) = tries.next(&view, classified) else {
            return tries.told_or_no_upstream();
        };
        if let Some(pause) = tries.sends.resend_delay() {
            tokio::time::sleep(pause).await;
        }
        let is_repeat = tries.sends.is_repeat();
        let answer = attempt(node, &view, index, classified, purpose, is_repeat).await;
        let Some(unfinished) = unfinished(&answer) else {
            return answer;
        };
        let expected = expected_run(&answer);
        tries.ended(index, unfinished, answer);
        let has_node_left = tries.next(&view, classified).is_some();
        let retry = || take_retry(node, &unfinished, classified, &view, expected);
        let next = tries.sends.next_step(&unfinished, has_node_left, retry);
        node.counters.record_send_end(next);
        let peer = &view.peers[index];
        log_unfinished(node, classified, peer, &unfinished, next, &tries.sends);
        if !next.sends_again() {
            return tries.told_or_no_upstream();
        }
    }
}

/// A deeper call of a run that was itself repeated adds to its service's load as
/// a retry does, and nobody is asked for it: counted as a first try, it would
/// earn that service's edge a share of retries.
fn count_try(view: &ServiceView, call: &Call) {
    let now = Instant::now();
    match call.is_repeat {
        true => view.edge.record_repeated_call(now),
        false => view.edge.record_first_attempt(now),
    }
}

fn log_unfinished(
    node: &Node,
    classified: &ClassifiedCall,
    peer: &PeerEntry,
    unfinished: &CallFailure,
    next: NextStep,
    sends: &CallSends,
) {
    let Some(left_out) = node.call_log_limiter.try_acquire() else {
        return;
    };
    let outcome: &'static str = unfinished.outcome().into();
    let reason: &'static str = unfinished.reason().into();
    let because: &'static str = next.into();
    let time_left = classified
        .deadline
        .saturating_duration_since(Instant::now());
    log_event!(
        Event::SendEnded,
        request_id = classified.call.request_id,
        service = classified.call.service,
        node = %peer.identity.node_id,
        outcome,
        reason,
        next = if next.sends_again() { "another-node" } else { "the-caller" },
        because,
        is_deeper = classified.call.work_spent_us > 0,
        upstreams_reached = sends.upstreams_reached(),
        upstreams_most = classified.max_upstreams,
        generation = classified.generation,
        time_left_ms = time_left.as_millis() as u64,
        retries_left = classified.allowance.left_for_own_sends(),
        left_out
    );
}

/// The service's nodes, if the request is not in quarantine and the service's
/// shed level lets it through: what would be refused there costs nothing here.
pub(crate) fn admitted_view(
    node: &Node,
    classified: &ClassifiedCall,
) -> Result<Arc<ServiceView>, Refusal> {
    let call = &classified.call;
    if node.admission_queue.quarantine_status(call.fingerprint) == QuarantineStatus::Quarantined {
        return Err(Refusal {
            reason: Reason::Quarantined,
            retry_after: None,
        });
    }
    let Some(view) = node.services.service(&call.service) else {
        let retry_after = Some(wait_before_return(NOTHING_SHED));
        return Err(Refusal {
            reason: Reason::NoUpstream,
            retry_after,
        });
    };
    let invested = call.work_spent_us > 0;
    if view.admits(
        classified.kind,
        classified.class_rank,
        call.root_request_id,
        invested,
    ) {
        return Ok(view);
    }
    let classes_shed = view.level(classified.kind).classes_shed(node.class_count());
    let wait = wait_before_return(classes_shed);
    let wait = classified.objective.map_or(wait, |objective| {
        // How long it would run is known where it was sent; half is usual.
        let left = objective.saturating_duration_since(Instant::now());
        cap_to_objective(wait, left, left / 2)
    });
    Err(Refusal {
        reason: Reason::Shed,
        retry_after: Some(wait),
    })
}

/// The peer that a call goes to next.
pub(crate) fn choose(view: &ServiceView, excluded: Option<usize>) -> Option<usize> {
    choose_among(view, |index| Some(index) != excluded, None)
}

pub(super) fn choose_among(
    view: &ServiceView,
    may_get_it: impl Fn(usize) -> bool,
    objective: Option<Instant>,
) -> Option<usize> {
    let now = Instant::now();
    place(
        &view.peers,
        may_get_it,
        objective.map(|objective| objective.saturating_duration_since(now)),
        now,
        &PlacementPolicy::default(),
        &mut rand::rng(),
    )
}

/// One send of the call to one peer, with its share of the retry allowance.
pub(crate) async fn attempt(
    node: &Arc<Node>,
    view: &ServiceView,
    index: usize,
    classified: &ClassifiedCall,
    purpose: CallPurpose,
    is_repeat: bool,
) -> Answer {
    let peer = &view.peers[index];
    let mut call = classified.call.clone();
    call.purpose = purpose.into();
    call.is_repeat |= is_repeat;
    call.objective_left_us = classified.objective.map_or(0, micros_left);
    let open_send = OpenSend::begin(peer);
    classified.sends.begin(peer);
    let ClassifiedCall {
        deadline,
        allowance,
        ..
    } = classified;
    let sending = send_with_allowance(node, peer, call, *deadline, allowance);
    let answer = tokio::select! {
        delivery = sending => delivery.answer,
        () = silence(peer.as_ref()), if purpose == CallPurpose::Placed => {
            unknown_answer(Reason::LinkLost)
        }
    };
    if let Some(hint) = &answer.hint {
        view.learn(index, classified.kind, hint);
    }
    open_send.end(&answer);
    classified.sends.end(&answer);
    answer
}

/// Ends once the peer is given up: it owes answers and sends nothing at all.
///
/// Failure: a node stands still and its links stay open. Symptom: idempotent
/// calls wait there until their callers give up. What was given away with the
/// call stays away, so the retry elsewhere is within the request's allowance.
async fn silence(peer: &PeerLoad) {
    loop {
        tokio::time::sleep(peer.silence_timeout()).await;
        if peer.is_lost(Instant::now()) {
            return;
        }
    }
}

/// How long a run takes, as the node said that ended a send; zero where it said
/// nothing.
fn expected_run(answer: &Answer) -> Duration {
    let service_time_us = answer.hint.as_ref().map_or(0, |hint| hint.service_time_us);
    Duration::from_micros(service_time_us)
}

/// Takes a retry from the allowance and the edge, if one may be made.
fn take_retry(
    node: &Node,
    unfinished: &CallFailure,
    classified: &ClassifiedCall,
    view: &ServiceView,
    expected: Duration,
) -> RetryDecision {
    let now = Instant::now();
    let time_left = classified.deadline.saturating_duration_since(now);
    let budget = RetryBudget {
        allowance: &classified.allowance,
        edge: &view.edge,
        priority: RetryPriority::new(
            classified.class_rank,
            node.class_count(),
            classified.call.root_request_id,
            classified.parent.is_none(),
        ),
    };
    decide_retry(
        unfinished,
        classified.idempotent,
        time_left,
        expected,
        &budget,
        now,
    )
}
