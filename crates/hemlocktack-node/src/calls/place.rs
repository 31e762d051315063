//! Placing a call on a node of its service, and sending it again where that is allowed.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hemlocktack_decide::{
    Allowance, CallSends, NextStep, PeerLoad, PlacementPolicy, RetryBudget, RetryStanding,
    RetryVerdict, Standing, place, retry_verdict, within_objective,
};
use hemlocktack_protocol::{Answer, Call, CallPurpose, Outcome, Reason, Refusal, Unfinished};
use hemlocktack_telemetry::{Event, SpanName, log_event};
use tokio_util::sync::CancellationToken;

use super::ends::{NOTHING_SHED, not_run, unknown, wait_before_return};
use super::open_send::OpenSend;
use super::service_directory::{PeerEntry, ServiceView};
use super::tries::Tries;
use super::{Classified, receive};
use crate::links::{Peer, Sent};
use crate::node::{Node, Place};
use crate::telemetry::ObservedSpan;

/// Kept back from the time left that goes along with a call, so that the
/// receiver's verdict at the deadline reaches the caller before the entry has
/// to answer with less knowledge.
const TIME_FOR_THE_WAY_BACK: Duration = Duration::from_millis(5);

/// Places a call without a ticket and stays with it until its end. One that is
/// not idempotent goes to another node only after the one before has proved
/// that it has not run there.
pub(crate) async fn run_placed(node: &Arc<Node>, classified: &Classified) -> Answer {
    let view = match admitted_view(node, classified) {
        Ok(view) => view,
        Err(refusal) => return not_run(refusal.reason, refusal.retry_after),
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
        if let Some(pause) = tries.sends.pause() {
            tokio::time::sleep(pause).await;
        }
        let is_repeat = tries.sends.is_repeat();
        let answer = attempt(node, &view, index, classified, purpose, is_repeat).await;
        let Some(unfinished) = unfinished(&answer) else {
            return answer;
        };
        let has_node_left = |tries: &Tries| tries.next(&view, classified).is_some();
        let retry = |answer: &Answer| take_retry(node, &unfinished, classified, &view, answer);
        let next = tries.ended(index, unfinished, answer, has_node_left, retry);
        node.counters.send_ended(next);
        let peer = &view.peers[index];
        log_unfinished(node, classified, peer, &unfinished, next, &tries.sends);
        if !next.goes_on() {
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
        true => view.edge.repeated_below(now),
        false => view.edge.first_try(now),
    }
}

fn log_unfinished(
    node: &Node,
    classified: &Classified,
    peer: &PeerEntry,
    unfinished: &Unfinished,
    next: NextStep,
    sends: &CallSends,
) {
    let Some(left_out) = node.call_lines.take() else {
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
        next = if next.goes_on() { "another-node" } else { "the-caller" },
        because,
        is_deeper = classified.call.work_spent_us > 0,
        upstreams_reached = sends.upstreams_reached(),
        upstreams_most = classified.upstreams_most,
        generation = classified.generation,
        time_left_ms = time_left.as_millis() as u64,
        retries_left = classified.allowance.left_here(),
        left_out
    );
}

/// The service's nodes, if the request is not in quarantine and the service's
/// shed level lets it through: what would be refused there costs nothing here.
pub(crate) fn admitted_view(
    node: &Node,
    classified: &Classified,
) -> Result<Arc<ServiceView>, Refusal> {
    let call = &classified.call;
    if node.admission_queue.standing(call.fingerprint) == Standing::Refused {
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
        within_objective(wait, left, left / 2)
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
    classified: &Classified,
    purpose: CallPurpose,
    is_repeat: bool,
) -> Answer {
    let peer = &view.peers[index];
    let mut call = classified.call.clone();
    call.purpose = purpose.into();
    call.is_repeat |= is_repeat;
    call.objective_left_us = classified.objective.map_or(0, micros_left);
    let open_send = OpenSend::begin(peer);
    let Classified {
        deadline,
        allowance,
        ..
    } = classified;
    let sending = send_with_allowance(node, peer, call, *deadline, allowance);
    let answer = tokio::select! {
        delivery = sending => delivery.answer,
        () = silence(peer.as_ref()), if purpose == CallPurpose::Placed => {
            unknown(Reason::LinkLost)
        }
    };
    if let Some(hint) = &answer.hint {
        view.learn(index, classified.kind, hint);
    }
    open_send.end(&answer);
    answer
}

/// Ends once the peer is given up: it owes answers and sends nothing at all.
///
/// Failure: a node stands still and its links stay open. Symptom: idempotent
/// calls wait there until their callers give up. What was given away with the
/// call stays away, so the retry elsewhere is within the request's allowance.
async fn silence(peer: &PeerLoad) {
    loop {
        tokio::time::sleep(peer.patience()).await;
        if peer.is_lost(Instant::now()) {
            return;
        }
    }
}

/// What one send came to.
pub(crate) struct Delivery {
    pub(crate) answer: Answer,
    /// The answer is the receiver's own word, not this node's conclusion.
    pub(crate) is_receivers_word: bool,
}

/// Gives retries away with the call and takes the unspent rest back. A call
/// that came to no answer gives nothing back: it may have spent all.
pub(crate) async fn send_with_allowance(
    node: &Arc<Node>,
    peer: &PeerEntry,
    mut call: Call,
    deadline: Instant,
    allowance: &Allowance,
) -> Delivery {
    let given = allowance.give_to_child();
    call.retries_given = given;
    call.time_left_us = time_left_us(deadline);
    let delivery = match node.place_of(&peer.member) {
        Some(Place::Here) => Delivery {
            answer: receive_here(node, call).await,
            is_receivers_word: true,
        },
        Some(Place::There(peer)) => send_over_link(node, &peer, call, deadline).await,
        None => never_arrived(call.purpose(), given, Reason::LinkLost),
    };
    allowance.give_back(delivery.answer.retries_unspent, given);
    delivery
}

/// A caller that goes drops this: what may be cancelled ends with it, and what
/// may not goes on in a task of its own.
async fn receive_here(node: &Arc<Node>, call: Call) -> Answer {
    let cancelled = CancellationToken::new();
    if call.purpose() != CallPurpose::PlacedOnce {
        return receive(node, call, &cancelled).await;
    }
    let _cancelled_with_caller = cancelled.clone().drop_guard();
    let node = node.clone();
    let running = tokio::spawn(async move {
        let _in_flight = node.enter_call();
        receive(&node, call, &cancelled).await
    });
    running
        .await
        .unwrap_or_else(|_| unknown(Reason::UpstreamFailed))
}

async fn send_over_link(node: &Node, peer: &Peer, mut call: Call, deadline: Instant) -> Delivery {
    let purpose = call.purpose();
    let given = call.retries_given;
    let span = ObservedSpan::begin(node, SpanName::Link, &mut call);
    let delivery = match node.links.call(peer, call, deadline).await {
        Sent::Answer(answer) => Delivery {
            answer,
            is_receivers_word: true,
        },
        Sent::NeverArrived(reason) => never_arrived(purpose, given, reason),
        Sent::Unknown(reason) => Delivery {
            answer: unknown(reason),
            is_receivers_word: false,
        },
    };
    node.waits.link.observe(span.elapsed());
    span.end(node, &delivery.answer, || format!("to {}", peer.node_id));
    delivery
}

/// Failure: a caller sends a ticket again, and the home cannot be reached.
/// Symptom: it is told that its booking was not run, though the first send ran
/// it. That this send never arrived says nothing of earlier ones; only the home
/// can say `not_run` of a ticket.
fn never_arrived(purpose: CallPurpose, given: u32, reason: Reason) -> Delivery {
    let end = if purpose == CallPurpose::Home {
        unknown(reason)
    } else {
        not_run(reason, None)
    };
    Delivery {
        answer: Answer {
            retries_unspent: given,
            ..end
        },
        is_receivers_word: false,
    }
}

/// The end of a call as the decisions see it; `None` for an answer.
pub(crate) fn unfinished(answer: &Answer) -> Option<Unfinished> {
    let reason = answer.reason();
    match answer.outcome() {
        Outcome::Answered => None,
        Outcome::NotRun => {
            let retry_after = (answer.retry_after_ms > 0)
                .then(|| Duration::from_millis(answer.retry_after_ms.into()));
            Some(Unfinished::NotRun(Refusal {
                reason,
                retry_after,
            }))
        }
        Outcome::Unknown | Outcome::Unspecified => Some(Unfinished::Unknown(reason)),
    }
}

/// Takes a retry from the allowance and the edge, if one may be made.
fn take_retry(
    node: &Node,
    unfinished: &Unfinished,
    classified: &Classified,
    view: &ServiceView,
    answer: &Answer,
) -> RetryVerdict {
    let now = Instant::now();
    let time_left = classified.deadline.saturating_duration_since(now);
    let service_time_us = answer.hint.as_ref().map_or(0, |hint| hint.service_time_us);
    let expected = Duration::from_micros(service_time_us);
    let budget = RetryBudget {
        allowance: &classified.allowance,
        edge: &view.edge,
        standing: RetryStanding::new(
            classified.class_rank,
            node.class_count(),
            classified.call.root_request_id,
            classified.parent.is_none(),
        ),
    };
    retry_verdict(
        unfinished,
        classified.idempotent,
        time_left,
        expected,
        &budget,
        now,
    )
}

fn time_left_us(deadline: Instant) -> u64 {
    micros_left(deadline - TIME_FOR_THE_WAY_BACK)
}

fn micros_left(until: Instant) -> u64 {
    let left = until.saturating_duration_since(Instant::now());
    u64::try_from(left.as_micros()).unwrap_or(u64::MAX)
}
