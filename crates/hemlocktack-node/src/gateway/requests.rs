//! Handles one request of a caller, from its head to its response.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hemlocktack_interface::{ErrorResponse, IncomingRequest, Interface};
use hemlocktack_protocol::{Answer, Call, Header, Outcome, Reason, Refusal};
use hemlocktack_telemetry::{ActiveSpan, SpanEnd, SpanName};
use http::{HeaderName, HeaderValue, Request, Response, StatusCode, request};
use http_body_util::{BodyExt, Full};
use hyper::body::Body;

use super::classify::{RoutedRequest, find_route};
use super::connection::{RequestBody, RequestId};
use super::look_ahead::RouteGate;
use super::request_log::{
    UnansweredGuard, log_ended_by_limit, log_key_refused, log_late, log_quota_refused, log_refused,
};
use super::tracked_body::TrackedBody;
use super::unread_body::refuse_and_discard;
use super::{forwarded_headers, server};
use crate::calls::{self, ClassifiedCall, SendRecord, not_run_answer, retry_after};
use crate::counters::InFlightGuard;
use crate::memory::CallerBody;
use crate::node::Node;
use crate::quotas::{self, HeldToken};
use crate::telemetry::request_line;

/// Answers a request as soon as its outcome is known.
pub(super) async fn answer(
    node: Arc<Node>,
    interface: Interface,
    request: Request<RequestBody>,
) -> Response<TrackedBody> {
    let in_flight = node.track_call();
    let (head, mut body) = request.into_parts();
    let incoming = match (interface.callers.read)(&head) {
        Ok(incoming) => incoming,
        Err(reason) => {
            let unparsed = IncomingRequest::default();
            let answer = not_run_answer(reason, None);
            log_refused(&node, &unparsed, &answer);
            let refusal = refuse(interface, unparsed.request_id, answer);
            return refuse_and_discard(refusal, &head, body);
        }
    };
    let sends = Arc::default();
    let guard = UnansweredGuard::new(&node, &incoming.request_id, &sends);
    let running = run(&node, interface, &head, &incoming, &mut body, &sends);
    let answer = calls::catch_panic(&incoming.request_id, running).await;
    guard.mark_answered();
    let mut response = if answer.outcome() == Outcome::Answered {
        respond(answer, in_flight)
    } else {
        log_refused(&node, &incoming, &answer);
        let refusal = refuse(interface, incoming.request_id.clone(), answer);
        refuse_and_discard(refusal, &head, body)
    };
    let request_id = RequestId(incoming.request_id);
    response.extensions_mut().insert(request_id);
    response
}

async fn run(
    node: &Arc<Node>,
    interface: Interface,
    head: &request::Parts,
    incoming: &IncomingRequest,
    body: &mut RequestBody,
    sends: &Arc<SendRecord>,
) -> Answer {
    let path = head.uri.path();
    let span = node
        .tracer
        .start(node.tracer.context_of(None), SpanName::Entry);
    let began = Instant::now();
    let routed = match find_route(node, incoming, path, began) {
        Ok(routed) => routed,
        Err(reason) => {
            log_key_refused(node, incoming, reason);
            return not_run_answer(reason, None);
        }
    };
    if routed.idempotent
        && let Some(gate) = head.extensions.get::<RouteGate>()
    {
        gate.open();
    }
    if !routed.is_child_call && node.refuses_entries() {
        return not_run_answer(Reason::Draining, None);
    }
    let token = match acquire_token(node, incoming, &routed).await {
        Ok(token) => token,
        Err(refusal) => return not_run_answer(refusal.reason, refusal.retry_after),
    };
    let entered = EnteredRequest {
        routed,
        span,
        began,
        sends: sends.clone(),
    };
    // Boxed: the state of the whole request would otherwise be part of its connection's.
    let answer = Box::pin(run_entered(node, interface, head, incoming, body, entered)).await;
    if let Some(token) = token {
        token.settle(node, &answer);
    }
    answer
}

/// Takes a token of the quota of the request's account, if that has one.
async fn acquire_token(
    node: &Arc<Node>,
    incoming: &IncomingRequest,
    routed: &RoutedRequest,
) -> Result<Option<HeldToken>, Refusal> {
    let Some(account) = &routed.account else {
        return Ok(None);
    };
    let token = quotas::acquire(
        node,
        account,
        routed.rank_in_account,
        routed.objective,
        routed.deadline,
    )
    .await;
    if let Err(refusal) = &token {
        log_quota_refused(node, incoming, account, refusal);
    }
    token
}

/// A request that may enter.
struct EnteredRequest {
    routed: RoutedRequest,
    span: ActiveSpan,
    began: Instant,
    sends: Arc<SendRecord>,
}

async fn run_entered(
    node: &Arc<Node>,
    interface: Interface,
    head: &request::Parts,
    incoming: &IncomingRequest,
    body: &mut RequestBody,
    entered: EnteredRequest,
) -> Answer {
    let EnteredRequest {
        routed,
        span,
        began,
        sends,
    } = entered;
    let path = head.uri.path();
    let service = routed.service.clone();
    let has_returned_on_time = routed.has_returned_on_time();
    let body = match receive_body(node, incoming, body, &routed, began).await {
        Ok(body) => body,
        Err(reason) => return not_run_answer(reason, None),
    };
    let call = Call {
        request_id: incoming.request_id.clone(),
        method: head.method.as_str().to_owned(),
        path: request_target(head),
        headers: call_headers(node, interface, head, &routed),
        body,
        traceparent: span.context().header(),
        ..Call::default()
    };
    let started = Instant::now();
    sends.enter();
    let classified = ClassifiedCall {
        sends,
        caller: head.extensions.get().cloned(),
        ..routed.classify(node, call, started)
    };
    if let Some(parent) = &classified.parent {
        parent.child_call_began();
    }
    let answer = place(node, incoming, &classified, began).await;
    if let Some(parent) = &classified.parent {
        let service = &classified.call.service;
        parent.child_call_ended(service, classified.kind, started.elapsed(), &answer);
    }
    let (outcome, reason) = (answer.outcome(), answer.reason());
    node.waits.entry.observe(span.elapsed());
    log_late(node, &classified, &answer, started);
    node.entry_counts.record(&service, outcome, reason);
    if has_returned_on_time {
        node.counters.record_returned_request(outcome);
    }
    span.end(&node.tracer, SpanEnd { outcome, reason }, || {
        request_line(head.method.as_str(), path)
    });
    answer
}

/// Reads the whole body, if the request may still be forwarded when the body is complete.
async fn receive_body(
    node: &Node,
    incoming: &IncomingRequest,
    body: &mut RequestBody,
    routed: &RoutedRequest,
    began: Instant,
) -> Result<Bytes, Reason> {
    let body = tokio::select! {
        biased;
        body = read_body(node, incoming, body, routed, began) => body?,
        () = node.signals.drain_limit_reached.cancelled() => {
            log_ended_by_limit(node, incoming, None, Outcome::NotRun, began);
            return Err(Reason::Draining);
        }
    };
    match node.has_closed() {
        true => Err(Reason::Draining),
        false => Ok(body),
    }
}

/// Places a call and returns its answer, or the outcome known at the drain limit.
async fn place(
    node: &Arc<Node>,
    incoming: &IncomingRequest,
    classified: &ClassifiedCall,
    began: Instant,
) -> Answer {
    tokio::select! {
        biased;
        answer = calls::run_with_retries(node, classified) => answer,
        () = node.signals.drain_limit_reached.cancelled() => {
            let answer = classified.sends.early_answer(Reason::Draining);
            let pending = classified.sends.pending();
            log_ended_by_limit(node, incoming, pending, answer.outcome(), began);
            answer
        }
    }
}

/// Reads the whole body, at most until the deadline of the request.
async fn read_body(
    node: &Node,
    incoming: &IncomingRequest,
    body: &mut RequestBody,
    routed: &RoutedRequest,
    began: Instant,
) -> Result<Bytes, Reason> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let length_bytes = body.size_hint().exact();
    let caller_body = CallerBody {
        request_id: &incoming.request_id,
        class_rank: routed.class_rank(),
        began,
        deadline: routed.deadline,
        length_bytes: length_bytes.and_then(|length| usize::try_from(length).ok()),
        limit_bytes: routed.body_limit_bytes,
    };
    let collecting = caller_body.collect(node, body.into_data_stream());
    let collected = tokio::time::timeout_at(routed.deadline.into(), collecting).await;
    collected.unwrap_or(Err(Reason::DeadlineTooShort))
}

/// Returns path and query as they were sent, also for a request target in absolute form.
fn request_target(head: &request::Parts) -> String {
    let target = head.uri.path_and_query();
    target.map_or_else(|| "/".to_owned(), |target| target.as_str().to_owned())
}

/// Returns the forwarded headers, together with the system's own headers about the origin
/// of the request.
fn call_headers(
    node: &Node,
    interface: Interface,
    head: &request::Parts,
    routed: &RoutedRequest,
) -> Vec<Header> {
    let account = routed.account.as_ref().map(|account| account.name.as_str());
    let mut dropped = interface.callers.origin_header_names.to_vec();
    if routed.drops_key {
        dropped.push(interface.callers.key_header_name);
    }
    let mut headers = forwarded_headers(&head.headers, &dropped);
    headers.extend((interface.callers.origin_headers)(
        &node.settings.service,
        account,
    ));
    headers
}

fn refuse(interface: Interface, request_id: String, answer: Answer) -> Response<TrackedBody> {
    let error = ErrorResponse {
        request_id,
        outcome: answer.outcome(),
        reason: answer.reason(),
        retry_after: retry_after(&answer).map(clamp_retry_delay),
    };
    server::untracked((interface.callers.write_error)(&error))
}

/// Returns the delay after which a caller should retry, but at least 20 ms: before that the
/// load cannot have changed.
fn clamp_retry_delay(delay: Duration) -> Duration {
    const MIN_DELAY: Duration = Duration::from_millis(20);
    delay.max(MIN_DELAY)
}

fn respond(answer: Answer, in_flight: InFlightGuard) -> Response<TrackedBody> {
    let body = TrackedBody::new(Full::new(answer.body), Some(in_flight));
    let mut response = Response::new(body);
    let status = u16::try_from(answer.status).ok();
    let status = status.and_then(|status| StatusCode::from_u16(status).ok());
    *response.status_mut() = status.unwrap_or(StatusCode::BAD_GATEWAY);
    for header in answer.headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_maybe_shared(header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
    response
}
