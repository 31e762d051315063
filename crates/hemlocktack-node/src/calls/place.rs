//! Placement of a call on a node of its service, and retries.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hemlocktack_decide::{
    CallSends, NextStep, PeerLoad, QuarantineStatus, RetryBudget, RetryDecision, RetryPriority,
    ScarcityChange, WorkKind, cap_to_objective, decide_retry, place,
};
use hemlocktack_protocol::{Answer, Call, CallFailure, CallPurpose, Outcome, Reason, Refusal};
use hemlocktack_telemetry::{Event, log_event};

use super::attempts::CallAttempts;
use super::deliver::{ANSWER_RETURN_MARGIN, SendWatch, micros_left, send_with_allowance};
use super::in_flight_send::InFlightSend;
use super::outcomes::{NO_CLASSES_SHED, call_failure, not_run_answer, retry_delay, unknown_answer};
use super::service_directory::{PeerEntry, ServiceView};
use super::{ClassifiedCall, SendRecord};
use crate::node::Node;

/// Time after its deadline at which a call is answered without the outcome of its sends. These end
/// at the deadline; what happens around them, such as a check whether the upstream still lives,
/// may take longer, and the caller waits for it in vain.
const ANSWER_GRACE: Duration = Duration::from_millis(20);

/// Sends a call without a ticket to a node of its service, retries it where allowed, and returns
/// its answer, at the latest shortly after its deadline. A child call ends with its parent's run
/// if that is stopped.
pub(crate) async fn run_with_retries(node: &Arc<Node>, classified: &ClassifiedCall) -> Answer {
    let running = send_with_retries(node, classified);
    let sends = &classified.sends;
    let answer = answer_by_deadline(running, sends, classified.deadline);
    let Some(parent) = &classified.parent else {
        return answer.await;
    };
    tokio::select! {
        biased;
        answer = answer => answer,
        () = parent.cancelled() => sends.early_answer(Reason::Cancelled),
    }
}

/// Returns the answer of a call, or shortly after its deadline what is known of its sends.
pub(super) async fn answer_by_deadline(
    running: impl Future<Output = Answer>,
    sends: &SendRecord,
    deadline: Instant,
) -> Answer {
    let limit = deadline + ANSWER_GRACE;
    let answered = tokio::time::timeout_at(limit.into(), running).await;
    // The send has been dropped here, so that it can be given up.
    answered.unwrap_or_else(|_| sends.early_answer(Reason::Timeout))
}

/// A call that is not idempotent goes to another node only after the previous one has confirmed
/// that the call did not run there.
async fn send_with_retries(node: &Arc<Node>, classified: &ClassifiedCall) -> Answer {
    let view = match admit_at_entry(node, classified) {
        Ok(view) => view,
        Err(refusal) => return not_run_answer(refusal.reason, refusal.retry_after),
    };
    count_in_retry_budget(&view, &classified.call);
    let purpose = match classified.idempotent {
        true => CallPurpose::Placed,
        false => CallPurpose::PlacedOnce,
    };
    let mut attempts = CallAttempts::new(classified, || view.index_of(&node.identity));
    loop {
        let Some(index) = attempts.next_peer(&view, classified) else {
            return attempts.into_answer();
        };
        if let Some(pause) = attempts.sends.resend_delay() {
            tokio::time::sleep(pause).await;
        }
        if classified.has_caller_left() {
            return attempts.into_answer_or(not_run_answer(Reason::Cancelled, None));
        }
        // A send without time left would be given up at once, and its end would be unknown.
        if Instant::now() + ANSWER_RETURN_MARGIN >= classified.deadline {
            return attempts.into_answer_or(not_run_answer(Reason::DeadlineTooShort, None));
        }
        let is_repeat = attempts.sends.is_repeat();
        let answer = attempt(node, &view, index, classified, purpose, is_repeat).await;
        let Some(failure) = call_failure(&answer) else {
            return answer;
        };
        let expected = expected_service_time(&answer);
        attempts.record_failure(index, failure, answer);
        let has_node_left = attempts.next_peer(&view, classified).is_some();
        let retry = || take_retry(node, &failure, classified, &view, expected);
        let next = attempts.sends.next_step(&failure, has_node_left, retry);
        node.counters.record_send_end(next);
        let peer = &view.peers[index];
        log_failed_send(node, classified, peer, &failure, next, &attempts.sends);
        if !next.sends_again() {
            return attempts.into_answer();
        }
    }
}

/// Counts a call in the retry budget of its edge. A child call of a repeated run adds load to its
/// service like a retry, but no budget is charged for it. Counted as a first attempt, it would
/// increase the retry budget of that edge.
fn count_in_retry_budget(view: &ServiceView, call: &Call) {
    let now = Instant::now();
    match call.is_repeat {
        true => view.edge.record_repeated_call(now),
        false => view.edge.record_first_attempt(now),
    }
    log_scarcity_change(view, &call.service, now);
}

fn log_scarcity_change(view: &ServiceView, service: &str, now: Instant) {
    let failed_share = || view.edge.failed_share(now);
    match view.edge.take_scarcity_change(now) {
        None => {}
        Some(ScarcityChange::Began) => log_event!(
            Event::RetriesScarce,
            service,
            failed_share = failed_share(),
            eligible_share = view.edge.eligible_share(now)
        ),
        Some(ScarcityChange::Ended) => {
            log_event!(
                Event::RetriesSuffice,
                service,
                failed_share = failed_share()
            );
        }
    }
}

fn log_failed_send(
    node: &Node,
    classified: &ClassifiedCall,
    peer: &PeerEntry,
    failure: &CallFailure,
    next: NextStep,
    sends: &CallSends,
) {
    let Some(left_out) = node.call_log_limiter.try_acquire() else {
        return;
    };
    let outcome: &'static str = failure.outcome().into();
    let reason: &'static str = failure.reason().into();
    let because: &'static str = next.into();
    let time_left = classified
        .deadline
        .saturating_duration_since(Instant::now());
    let notice = node.notice_for(&peer.identity.node_id);
    let rate_limit_per_s = notice.map(|notice| notice.rate_limit_per_s);
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
        rate_limit_per_s,
        left_out
    );
}

/// Returns the service's nodes if the request is not in quarantine and the service's shed level
/// admits it. Refusing a request here saves sending it to a node that would refuse it.
pub(crate) fn admit_at_entry(
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
        let retry_after = Some(retry_delay(NO_CLASSES_SHED));
        return Err(Refusal {
            reason: Reason::NoUpstream,
            retry_after,
        });
    };
    let has_prior_work = call.work_spent_us > 0;
    if view.admits(
        classified.kind,
        classified.class_rank,
        call.root_request_id,
        has_prior_work,
    ) {
        return Ok(view);
    }
    let classes_shed = view
        .shed_level(classified.kind)
        .classes_shed(node.class_count());
    let wait = retry_delay(classes_shed);
    let wait = classified.objective.map_or(wait, |objective| {
        // The service time is known only where the call is sent; half of the time left is
        // typical.
        let left = objective.saturating_duration_since(Instant::now());
        cap_to_objective(wait, left, left / 2)
    });
    Err(Refusal {
        reason: Reason::Shed,
        retry_after: Some(wait),
    })
}

/// Chooses the peer that a call is sent to.
pub(crate) fn choose_peer(view: &ServiceView, excluded: Option<usize>) -> Option<usize> {
    choose_peer_among(view, |index| Some(index) != excluded, None, None)
}

pub(super) fn choose_peer_among(
    view: &ServiceView,
    may_send_to: impl Fn(usize) -> bool,
    objective: Option<Instant>,
    kind: Option<WorkKind>,
) -> Option<usize> {
    let now = Instant::now();
    place(
        &view.peers,
        may_send_to,
        objective.map(|objective| objective.saturating_duration_since(now)),
        now,
        &view.placement_policy(kind),
        &mut rand::rng(),
    )
}

/// Sends the call once to one peer, with a share of the retry allowance.
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
    let in_flight_send = InFlightSend::begin(peer);
    let watch = SendWatch {
        caller: classified.caller.clone(),
        progress: classified.sends.begin(peer),
    };
    let ClassifiedCall {
        deadline,
        allowance,
        ..
    } = classified;
    let sending = send_with_allowance(node, peer, call, *deadline, allowance, &watch);
    let answer = tokio::select! {
        result = sending => result.answer,
        () = until_peer_lost(peer.as_ref()), if purpose == CallPurpose::Placed => {
            // The send has been dropped; one that had not left this node never will.
            match watch.progress.abandon() {
                true => not_run_answer(Reason::LinkLost, None),
                false => unknown_answer(Reason::LinkLost),
            }
        }
    };
    if let Some(hint) = &answer.hint {
        view.record_hint(index, classified.kind, hint);
    }
    if answer.outcome() == Outcome::Answered {
        view.record_answer_size(classified.kind, answer.body.len());
    }
    in_flight_send.finish(&answer);
    classified.sends.end(&answer);
    answer
}

/// Returns once the peer counts as lost: it owes answers and sends nothing at all.
///
/// Without this, idempotent calls to a node that hangs with open links would wait until their
/// callers time out. Retries granted with the call are not taken back, so a retry elsewhere
/// stays within the request's allowance.
async fn until_peer_lost(peer: &PeerLoad) {
    loop {
        tokio::time::sleep(peer.silence_timeout()).await;
        if peer.is_lost(Instant::now()) {
            return;
        }
    }
}

/// Returns the service time that the answering node reported; zero if it reported none.
fn expected_service_time(answer: &Answer) -> Duration {
    let service_time_us = answer.hint.as_ref().map_or(0, |hint| hint.service_time_us);
    Duration::from_micros(service_time_us)
}

/// Returns the priority of a call for retries.
///
/// The calls that a request still needs are known only where all of them are made by one run. A
/// run with siblings may be nearly done while one of them has just begun, or has failed; its calls
/// are ordered by the hash of the root request alone, which decides alike for all of them.
fn retry_priority(node: &Node, classified: &ClassifiedCall) -> RetryPriority {
    let rank = classified.class_rank;
    let classes = node.class_count();
    let root = classified.call.root_request_id;
    let is_root = classified.parent.is_none();
    let only_run = classified.parent.as_ref().filter(|run| !run.has_siblings);
    let calls_left = only_run.and_then(|run| node.calls_left(run, &classified.call.service));
    match calls_left {
        None => RetryPriority::new(rank, classes, root, is_root),
        Some(0) => RetryPriority::LOWEST,
        Some(calls_left) => RetryPriority::by_calls_left(rank, classes, root, calls_left),
    }
}

/// Decides on a retry; if allowed, takes it from the allowance and from the edge's budget.
fn take_retry(
    node: &Node,
    failure: &CallFailure,
    classified: &ClassifiedCall,
    view: &ServiceView,
    expected: Duration,
) -> RetryDecision {
    let now = Instant::now();
    let time_left = classified.deadline.saturating_duration_since(now);
    let budget = RetryBudget {
        allowance: &classified.allowance,
        edge: &view.edge,
        priority: retry_priority(node, classified),
    };
    decide_retry(
        failure,
        classified.idempotent,
        time_left,
        expected,
        &budget,
        now,
    )
}
