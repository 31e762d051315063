//! Running a call on this node's upstream: admission, forwarding and outcome.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hemlocktack_decide::{BodyOwner, OfferedCall, RunResult, WorkKind};
use hemlocktack_fleet::tickets::Nonce;
use hemlocktack_protocol::{Answer, Call, Outcome, Reason, Refusal};
use hemlocktack_telemetry::{Event, SpanName, log_event};
use tokio::net::TcpStream;

use super::admission_queue::AdmissionPermit;
use super::outcomes::{MIN_SERVER_ERROR_STATUS, is_valid_answer};
use super::{
    RunningCall, class_rank_of, not_run_answer, objective_of, unknown_answer, work_kind_of,
};
use crate::memory::log_body_refused;
use crate::node::Node;
use crate::telemetry::{CallSpan, request_line};
use crate::upstream::{
    AnswerClaim, ContestedAnswer, UpstreamOutcome, UpstreamRequest, UpstreamResponse, heed_answer,
    heed_call,
};

/// A running upstream accepts a connection within a millisecond; one that does not within this
/// time counts as crashed.
const ALIVE_CHECK_TIMEOUT: Duration = Duration::from_millis(200);

/// A call to run, and the conditions of the run.
pub(crate) struct RunRequest<F> {
    pub(crate) call: Call,
    /// Nonce of the call's ticket, which has been verified.
    pub(crate) nonce: Option<Nonce>,
    pub(crate) deadline: Instant,
    /// Called right before the call is forwarded; `false` prevents that.
    pub(crate) may_start: F,
}

/// Waits for a slot, forwards the call to the upstream and returns its outcome.
pub(crate) async fn run<F: FnOnce() -> bool>(node: &Arc<Node>, order: RunRequest<F>) -> Answer {
    let RunRequest {
        mut call,
        nonce,
        deadline,
        may_start,
    } = order;
    let class_rank = class_rank_of(&call);
    let kind = work_kind_of(node, &call);
    let arrived = Instant::now();
    if let Some(reason) = heed_call(node, &call) {
        return refused(
            node,
            &call,
            kind,
            deadline,
            Refusal {
                reason,
                retry_after: None,
            },
        );
    }
    let queue = CallSpan::begin_leaf(node, SpanName::Queue, &call);
    let admitted = node.admission_queue.admit(|call_id| OfferedCall {
        call_id,
        class_rank,
        deadline,
        objective: objective_of(&call).filter(|_| call.depth == 0),
        has_returned: call.has_returned,
        root_request_id: call.root_request_id,
        work_spent: Duration::from_micros(call.work_spent_us),
        fingerprint: call.fingerprint,
        kind,
    });
    let admitted = admitted.await;
    node.waits.queue.observe(queue.elapsed());
    queue.end_leaf(node, admitted.as_ref().err().map(|refusal| refusal.reason));
    let admitted = match admitted {
        Ok(admitted) => admitted,
        Err(refusal) => return refused(node, &call, kind, deadline, refusal),
    };
    // Forwarded without time left, the call would end at once, and nobody could tell whether the
    // upstream got it.
    if Instant::now() >= deadline {
        drop(admitted);
        let refusal = Refusal {
            reason: Reason::DeadlineTooShort,
            retry_after: None,
        };
        return refused(node, &call, kind, deadline, refusal);
    }
    if !may_start() {
        drop(admitted);
        return Answer {
            retries_unspent: call.retries_given,
            ..not_run_answer(Reason::Fenced, None)
        };
    }
    node.counters.record_admitted();
    let upstream = CallSpan::begin(node, SpanName::Upstream, &mut call);
    let running = RunningCall::new(&call, class_rank, nonce, deadline).of_kind(kind);
    let forwarded = Instant::now();
    let (answer, child_wait) = forward_to_upstream(node, &call, running, admitted, kind).await;
    log_late(node, &call, arrived, forwarded, child_wait);
    node.waits.upstream.observe(upstream.elapsed());
    upstream.end(node, &answer, || request_line(&call.method, &call.path));
    with_load_hint(node, &call, kind, answer)
}

fn refused(
    node: &Node,
    call: &Call,
    kind: WorkKind,
    deadline: Instant,
    refusal: Refusal,
) -> Answer {
    node.counters.record_refusal(refusal.reason);
    let answer = Answer {
        retries_unspent: call.retries_given,
        ..not_run_answer(refusal.reason, refusal.retry_after)
    };
    let answer = with_load_hint(node, call, kind, answer);
    log_refused(node, call, &answer, deadline);
    answer
}

fn log_refused(node: &Node, call: &Call, answer: &Answer, deadline: Instant) {
    let Some(left_out) = node.call_log_limiter.try_acquire() else {
        return;
    };
    let reason: &'static str = answer.reason().into();
    let hint = answer.hint.unwrap_or_default();
    let now = Instant::now();
    let time_left = deadline.saturating_duration_since(now);
    let (rate_limit_per_s, rate_limit_age) =
        node.admission_queue.with_admission_only(|admission| {
            (admission.rate_limit_per_s(), admission.rate_limit_age(now))
        });
    log_event!(
        Event::CallRefused,
        request_id = call.request_id,
        class_rank = call.class_rank,
        is_deeper = call.work_spent_us > 0,
        reason,
        in_flight = hint.in_flight,
        limit = hint.limit,
        queued = hint.queued,
        queue_delay_us = hint.queue_delay_us,
        shed_level = hint.shed_level,
        time_left_ms = time_left.as_millis() as u64,
        objective_left_ms = call.objective_left_us / 1_000,
        has_returned = call.has_returned,
        retry_after_ms = answer.retry_after_ms,
        rate_limit_per_s,
        rate_limit_age_ms = rate_limit_age.map(|age| age.as_millis() as u64),
        left_out
    );
}

async fn forward_to_upstream(
    node: &Arc<Node>,
    call: &Call,
    running: RunningCall,
    admitted: AdmissionPermit<'_>,
    kind: WorkKind,
) -> (Answer, Duration) {
    let Some(announcement) = node.announcement() else {
        let answer = Answer {
            retries_unspent: call.retries_given,
            ..not_run_answer(Reason::NoUpstream, None)
        };
        return (answer, Duration::ZERO);
    };
    let deadline = running.deadline;
    let mut context = node.contexts.open(running, &call.request_id);
    let UpstreamResponse {
        outcome,
        heard,
        contested,
        no_memory,
    } = node
        .upstream_client
        .send(UpstreamRequest {
            announcement: &announcement,
            call,
            context: &context.header(),
            deadline,
            answer_limit_bytes: node.answer_limit_bytes(),
            memory: &node.memory,
        })
        .await;
    context.mark_ended();
    if let Some(heard) = &heard {
        heed_answer(node, announcement.start_number, &call.request_id, heard);
    }
    if let Some(contested) = &contested {
        log_contested(node, call, contested);
    }
    if let Some(refusal) = &no_memory {
        log_body_refused(node, &call.request_id, BodyOwner::Answer, refusal);
    }
    if matches!(outcome, UpstreamOutcome::Unknown(Reason::UpstreamFailed))
        && !is_alive(announcement.address).await
    {
        record_crash(node);
    }
    let running = &context.running;
    let outcome = corrected_outcome(outcome, running);
    let run_result = run_result(&outcome, running);
    admitted.finish(run_result, running.child_wait());
    if matches!(outcome, UpstreamOutcome::Answered { .. }) {
        node.record_chain_edges(kind, &running.child_kinds());
    }
    let answer = Answer {
        retries_unspent: running.allowance.left(),
        work_spent_us: running.work_spent_us(Instant::now()),
        lacked_room_below: run_result == RunResult::ChildLackedCapacity,
        ..into_answer(outcome)
    };
    if is_valid_answer(&answer) {
        node.record_run_profile(kind, &running.child_call_counts());
    }
    (answer, running.child_wait())
}

fn log_contested(node: &Node, call: &Call, contested: &ContestedAnswer) {
    let Some(left_out) = node.call_log_limiter.try_acquire() else {
        return;
    };
    let ContestedAnswer {
        claim,
        status,
        elapsed,
        connection_age,
        earlier_requests,
    } = contested;
    let elapsed_us = elapsed.as_micros() as u64;
    let connection_age_ms = connection_age.as_millis() as u64;
    match claim {
        AnswerClaim::NotRun => log_event!(
            Event::UpstreamRejected,
            request_id = call.request_id,
            status,
            elapsed_us,
            connection_age_ms,
            earlier_requests,
            left_out
        ),
        AnswerClaim::OtherRequest { answered_id } => log_event!(
            Event::ForeignAnswer,
            request_id = call.request_id,
            status,
            answered_id = answered_id.as_deref(),
            elapsed_us,
            connection_age_ms,
            earlier_requests,
            left_out
        ),
    }
}

fn log_late(node: &Node, call: &Call, arrived: Instant, forwarded: Instant, child_wait: Duration) {
    let objective = Duration::from_micros(call.objective_left_us);
    let elapsed = arrived.elapsed();
    if call.depth > 0 || objective.is_zero() || elapsed <= objective {
        return;
    }
    let Some(left_out) = node.call_log_limiter.try_acquire() else {
        return;
    };
    let run = forwarded.elapsed();
    log_event!(
        Event::RunLate,
        request_id = call.request_id,
        queue_ms = forwarded.duration_since(arrived).as_millis() as u64,
        own_ms = run.saturating_sub(child_wait).as_millis() as u64,
        below_ms = child_wait.as_millis() as u64,
        objective_left_ms = objective.as_millis() as u64,
        left_out
    );
}

/// Corrects an upstream that reports a call as shed although it has made a child call.
///
/// An upstream may pass the refusal of a child call on as its own after another child call, such
/// as a booking, ran. With `not_run` and a fresh ticket the caller would book twice. A call that
/// made a child call has started, which is all that this node can see, so the outcome is
/// `unknown`.
fn corrected_outcome(outcome: UpstreamOutcome, running: &RunningCall) -> UpstreamOutcome {
    match outcome {
        UpstreamOutcome::NotRun(Reason::UpstreamShed) if running.has_child_calls() => {
            UpstreamOutcome::Unknown(Reason::UpstreamFailed)
        }
        outcome => outcome,
    }
}

fn with_load_hint(node: &Node, call: &Call, kind: WorkKind, answer: Answer) -> Answer {
    let chain_level = node.chain_shed_level(kind);
    let now = Instant::now();
    node.admission_queue.with_admission_only(|admission| {
        let is_of_interest = call.upstream_notice.is_some() || admission.has_notice_in_force();
        let notice = || admission.notice(node.identity.incarnation);
        Answer {
            hint: Some(admission.hint(chain_level, now)),
            upstream_notice: is_of_interest.then(notice).flatten().map(Box::new),
            ..answer
        }
    })
}

/// Records a crash of the upstream for the crash quarantine.
///
/// A request that crashes every upstream it runs on would, when resent, crash one after the
/// other, whatever the load. Every call that ran during the crash becomes a suspect, and the
/// quarantine narrows them down. Other nodes are told at once, because the caller's next send is
/// faster than the next gossip period.
fn record_crash(node: &Node) {
    let mut running_calls = Vec::new();
    node.admission_queue
        .with_admission(|admission| admission.crashed(&mut running_calls, Instant::now()));
    log_event!(Event::UpstreamCrashed, running_count = running_calls.len());
    node.signals.own_record_changed.notify_one();
}

async fn is_alive(address: std::net::SocketAddr) -> bool {
    let connected = tokio::time::timeout(ALIVE_CHECK_TIMEOUT, TcpStream::connect(address)).await;
    matches!(connected, Ok(Ok(_)))
}

fn run_result(outcome: &UpstreamOutcome, running: &RunningCall) -> RunResult {
    match outcome {
        UpstreamOutcome::Answered { status, .. }
            if *status >= MIN_SERVER_ERROR_STATUS && running.child_lacked_capacity() =>
        {
            RunResult::ChildLackedCapacity
        }
        UpstreamOutcome::Answered { status, .. } if *status >= MIN_SERVER_ERROR_STATUS => {
            RunResult::AnsweredWithFailure
        }
        UpstreamOutcome::Answered { .. } => RunResult::Answered,
        UpstreamOutcome::NotRun(Reason::UpstreamShed) => RunResult::ShedByUpstream,
        UpstreamOutcome::NotRun(_) | UpstreamOutcome::Unknown(_) => RunResult::Failed,
    }
}

fn into_answer(outcome: UpstreamOutcome) -> Answer {
    match outcome {
        UpstreamOutcome::Answered {
            status,
            headers,
            body,
        } => {
            let outcome = Outcome::Answered.into();
            Answer {
                outcome,
                status: status.into(),
                headers,
                body,
                ..Answer::default()
            }
        }
        UpstreamOutcome::NotRun(reason) => not_run_answer(reason, None),
        UpstreamOutcome::Unknown(reason) => unknown_answer(reason),
    }
}
