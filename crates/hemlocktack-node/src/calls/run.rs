//! Running a call on the upstream beside this node: admission, hand-over, end.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hemlocktack_decide::{OfferedCall, RunResult, WorkKind};
use hemlocktack_fleet::tickets::Nonce;
use hemlocktack_protocol::{Answer, Call, ClassRank, Outcome, Reason};
use hemlocktack_telemetry::{Event, SpanName, log_event};
use tokio::net::TcpStream;

use super::admission_queue::Admitted;
use super::{RunningCall, not_run_answer, objective_of, unknown_answer, work_kind_of};
use crate::node::Node;
use crate::telemetry::{CallSpan, request_line};
use crate::upstream::{UpstreamOutcome, UpstreamRequest};

/// A running upstream accepts a connection in a millisecond; one that does not
/// within this time has crashed or is as good as crashed.
const ALIVE_CHECK_TIMEOUT: Duration = Duration::from_millis(200);

/// Statuses from here on say that the upstream failed.
const SERVER_FAILURES_FROM: u16 = 500;

/// What the run needs beside the call itself.
pub(crate) struct RunOrder<F> {
    pub(crate) call: Call,
    /// Of the call's ticket, checked.
    pub(crate) nonce: Option<Nonce>,
    pub(crate) deadline: Instant,
    /// Asked right before the first byte goes out; `false` keeps it in.
    pub(crate) may_start: F,
}

/// Waits for a slot, hands the call to the upstream and reports its end.
pub(crate) async fn run<F: FnOnce() -> bool>(node: &Arc<Node>, order: RunOrder<F>) -> Answer {
    let RunOrder {
        mut call,
        nonce,
        deadline,
        may_start,
    } = order;
    let class_rank = ClassRank::try_from(call.class_rank).unwrap_or(ClassRank::MAX);
    let kind = work_kind_of(node, &call);
    let arrived = Instant::now();
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
        Err(refusal) => {
            node.counters.record_refusal(refusal.reason);
            let answer = Answer {
                retries_unspent: call.retries_given,
                ..not_run_answer(refusal.reason, refusal.retry_after)
            };
            let answer = with_load(node, kind, answer);
            log_refused(node, &call, &answer, deadline);
            return answer;
        }
    };
    if !may_start() {
        drop(admitted);
        return Answer {
            retries_unspent: call.retries_given,
            ..not_run_answer(Reason::Fenced, None)
        };
    }
    node.counters.record_admitted();
    let upstream = CallSpan::begin(node, SpanName::Upstream, &mut call);
    let running = RunningCall::new(&call, class_rank, nonce, deadline);
    let handed_over = Instant::now();
    let (answer, below) = hand_over(node, &call, running, admitted, kind).await;
    log_late(node, &call, arrived, handed_over, below);
    node.waits.upstream.observe(upstream.elapsed());
    upstream.end(node, &answer, || request_line(&call.method, &call.path));
    with_load(node, kind, answer)
}

fn log_refused(node: &Node, call: &Call, answer: &Answer, deadline: Instant) {
    let Some(left_out) = node.call_log_limiter.try_acquire() else {
        return;
    };
    let reason: &'static str = answer.reason().into();
    let hint = answer.hint.unwrap_or_default();
    let time_left = deadline.saturating_duration_since(Instant::now());
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
        left_out
    );
}

async fn hand_over(
    node: &Arc<Node>,
    call: &Call,
    running: RunningCall,
    admitted: Admitted<'_>,
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
    let context = node.contexts.open(running, &call.request_id);
    let end = node
        .upstream_client
        .send(UpstreamRequest {
            announcement: &announcement,
            call,
            context: &context.header(),
            deadline,
            answer_limit_bytes: node.answer_limit_bytes(),
        })
        .await;
    if matches!(end, UpstreamOutcome::Unknown(Reason::UpstreamFailed))
        && !is_alive(announcement.address).await
    {
        note_crash(node);
    }
    let running = &context.running;
    let end = believed(end, running);
    let ended = ended(&end, running);
    admitted.finish(ended, running.time_below());
    if matches!(end, UpstreamOutcome::Answered { .. }) {
        node.record_chain_edges(kind, &running.deeper_kinds());
    }
    let answer = Answer {
        retries_unspent: running.allowance.left(),
        work_spent_us: running.work_spent_us(Instant::now()),
        lacked_room_below: ended == RunResult::ChildLackedCapacity,
        ..into_answer(end)
    };
    (answer, running.time_below())
}

fn log_late(node: &Node, call: &Call, arrived: Instant, handed_over: Instant, below: Duration) {
    let objective = Duration::from_micros(call.objective_left_us);
    let elapsed = arrived.elapsed();
    if call.depth > 0 || objective.is_zero() || elapsed <= objective {
        return;
    }
    let Some(left_out) = node.call_log_limiter.try_acquire() else {
        return;
    };
    let run = handed_over.elapsed();
    log_event!(
        Event::RunLate,
        request_id = call.request_id,
        queue_ms = handed_over.duration_since(arrived).as_millis() as u64,
        own_ms = run.saturating_sub(below).as_millis() as u64,
        below_ms = below.as_millis() as u64,
        objective_left_ms = objective.as_millis() as u64,
        left_out
    );
}

/// What the upstream says, unless the node knows better.
///
/// Failure: a booking's deeper booking ran, its next deeper call was refused,
/// and the upstream passed that refusal up as its own. Told `not_run`, with a
/// fresh ticket, the caller would make the deeper booking twice. One that made
/// a deeper call has begun, and only that shows here, so `unknown` is enough.
fn believed(end: UpstreamOutcome, running: &RunningCall) -> UpstreamOutcome {
    match end {
        UpstreamOutcome::NotRun(Reason::UpstreamShed) if running.went_deeper() => {
            UpstreamOutcome::Unknown(Reason::UpstreamFailed)
        }
        end => end,
    }
}

fn with_load(node: &Node, kind: WorkKind, answer: Answer) -> Answer {
    let hint = node.admission_queue.hint(node.chain_shed_level(kind));
    Answer {
        hint: Some(hint),
        ..answer
    }
}

/// Load: any. Harm: a request that kills each upstream which runs it, sent
/// again, kills them one after the other. Every call that ran when the upstream
/// died is marked; the quarantine narrows the marks down. Others hear of it at
/// once: the caller's next send is quicker than the next period of gossip.
fn note_crash(node: &Node) {
    let mut ended = Vec::new();
    node.admission_queue
        .with_admission(|admission| admission.crashed(&mut ended, Instant::now()));
    log_event!(Event::UpstreamCrashed, running_count = ended.len());
    node.signals.own_record_changed.notify_one();
}

async fn is_alive(address: std::net::SocketAddr) -> bool {
    let connected = tokio::time::timeout(ALIVE_CHECK_TIMEOUT, TcpStream::connect(address)).await;
    matches!(connected, Ok(Ok(_)))
}

fn ended(end: &UpstreamOutcome, running: &RunningCall) -> RunResult {
    match end {
        UpstreamOutcome::Answered { status, .. }
            if *status >= SERVER_FAILURES_FROM && running.lacked_room() =>
        {
            RunResult::ChildLackedCapacity
        }
        UpstreamOutcome::Answered { status, .. } if *status >= SERVER_FAILURES_FROM => {
            RunResult::AnsweredWithFailure
        }
        UpstreamOutcome::Answered { .. } => RunResult::Answered,
        UpstreamOutcome::NotRun(Reason::UpstreamShed) => RunResult::ShedByUpstream,
        UpstreamOutcome::NotRun(_) | UpstreamOutcome::Unknown(_) => RunResult::Failed,
    }
}

fn into_answer(end: UpstreamOutcome) -> Answer {
    match end {
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
