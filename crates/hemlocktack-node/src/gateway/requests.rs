//! One request of a caller, from its head to its answer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hemlocktack_interface::{ErrorResponse, IncomingRequest, Interface};
use hemlocktack_protocol::{Answer, Call, Header, Outcome, Reason};
use hemlocktack_telemetry::{SpanEnd, SpanName};
use http::{HeaderName, HeaderValue, Request, Response, StatusCode, request};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};

use super::classify::{Routed, find_route};
use super::lines::{ReadRequest, log_ended_by_limit, log_late, log_refused};
use super::tracked_body::TrackedBody;
use super::unread_body::refuse_and_discard;
use super::{forwarded_headers, server};
use crate::calls::{self, ClassifiedCall, not_run_answer, retry_after};
use crate::counters::InFlightGuard;
use crate::node::Node;
use crate::telemetry::request_line;

/// Answers a request as soon as its end is known.
pub(super) async fn answer(
    node: Arc<Node>,
    interface: Interface,
    request: Request<Incoming>,
) -> Response<TrackedBody> {
    let in_flight = node.track_call();
    let (head, mut body) = request.into_parts();
    let entered = match (interface.callers.read)(&head) {
        Ok(entered) => entered,
        Err(reason) => {
            let unread = IncomingRequest::default();
            let answer = not_run_answer(reason, None);
            log_refused(&node, &unread, &answer);
            let refusal = refuse(interface, unread.request_id, answer);
            return refuse_and_discard(refusal, &head, body);
        }
    };
    let read = ReadRequest::new(&node, &entered.request_id);
    let running = run(&node, interface, &head, &entered, &mut body);
    let answer = calls::catch_panic(&entered.request_id, running).await;
    read.answered();
    if answer.outcome() != Outcome::Answered {
        log_refused(&node, &entered, &answer);
        let refusal = refuse(interface, entered.request_id, answer);
        return refuse_and_discard(refusal, &head, body);
    }
    respond(answer, in_flight)
}

async fn run(
    node: &Arc<Node>,
    interface: Interface,
    head: &request::Parts,
    entered: &IncomingRequest,
    body: &mut Incoming,
) -> Answer {
    let path = head.uri.path();
    let span = node
        .tracer
        .start(node.tracer.context_of(None), SpanName::Entry);
    let began = Instant::now();
    let routed = match find_route(node, entered, path, began) {
        Ok(routed) => routed,
        Err(reason) => return not_run_answer(reason, None),
    };
    if !routed.is_deeper && node.refuses_entries() {
        return not_run_answer(Reason::Draining, None);
    }
    let service = routed.service.clone();
    let body = match take_body(node, entered, body, &routed, began).await {
        Ok(body) => body,
        Err(reason) => return not_run_answer(reason, None),
    };
    let call = Call {
        request_id: entered.request_id.clone(),
        method: head.method.as_str().to_owned(),
        path: target(head),
        headers: headers(node, interface, head),
        body,
        traceparent: span.context().header(),
        ..Call::default()
    };
    let started = Instant::now();
    let classified = routed.classify(node, call, started);
    if let Some(parent) = &classified.parent {
        parent.child_call_began();
    }
    let answer = place(node, entered, &classified, began).await;
    if let Some(parent) = &classified.parent {
        parent.child_call_ended(classified.kind, started.elapsed(), &answer);
    }
    let (outcome, reason) = (answer.outcome(), answer.reason());
    node.waits.entry.observe(span.elapsed());
    log_late(node, &classified, &answer, started);
    node.entry_counts.record(&service, outcome, reason);
    span.end(&node.tracer, SpanEnd { outcome, reason }, || {
        request_line(head.method.as_str(), path)
    });
    answer
}

/// The whole body, if the request may be passed on when that has come.
async fn take_body(
    node: &Node,
    entered: &IncomingRequest,
    body: &mut Incoming,
    routed: &Routed,
    began: Instant,
) -> Result<Bytes, Reason> {
    let body = tokio::select! {
        biased;
        body = read_body(body, routed) => body?,
        () = node.signals.drain_limit_reached.cancelled() => {
            log_ended_by_limit(node, entered, None, Outcome::NotRun, began);
            return Err(Reason::Draining);
        }
    };
    match node.has_closed() {
        true => Err(Reason::Draining),
        false => Ok(body),
    }
}

/// The end of a call, or what is known of it at the drain's limit.
async fn place(
    node: &Arc<Node>,
    entered: &IncomingRequest,
    classified: &ClassifiedCall,
    began: Instant,
) -> Answer {
    tokio::select! {
        biased;
        answer = calls::run_with_retries(node, classified) => answer,
        () = node.signals.drain_limit_reached.cancelled() => {
            let answer = classified.sends.early_answer(Reason::Draining);
            let waiting = classified.sends.pending();
            log_ended_by_limit(node, entered, waiting, answer.outcome(), began);
            answer
        }
    }
}

/// The whole body, while its caller would still wait for an answer.
async fn read_body(body: &mut Incoming, routed: &Routed) -> Result<Bytes, Reason> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let limited = Limited::new(body, routed.body_limit_bytes);
    let collected = tokio::time::timeout_at(routed.deadline.into(), limited.collect()).await;
    match collected {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Reason::BodyTooLarge),
        Ok(Err(_)) => Err(Reason::MalformedRequest),
        Err(_) => Err(Reason::DeadlineTooShort),
    }
}

/// Path and query as they were sent, also of a target in absolute form.
fn target(head: &request::Parts) -> String {
    let target = head.uri.path_and_query();
    target.map_or_else(|| "/".to_owned(), |target| target.as_str().to_owned())
}

/// What goes on, with the system's own word on where the request began.
fn headers(node: &Node, interface: Interface, head: &request::Parts) -> Vec<Header> {
    let origin = (interface.callers.origin_headers)(&node.settings.service);
    let own: Vec<&str> = origin.iter().map(|header| header.name.as_str()).collect();
    let mut headers = forwarded_headers(&head.headers, &own);
    headers.extend(origin);
    headers
}

fn refuse(interface: Interface, request_id: String, answer: Answer) -> Response<TrackedBody> {
    let refused = ErrorResponse {
        request_id,
        outcome: answer.outcome(),
        reason: answer.reason(),
        retry_after: retry_after(&answer).map(shortest),
    };
    server::untracked((interface.callers.write_error)(&refused))
}

/// Below this a caller would come back before anything can have changed.
fn shortest(wait: Duration) -> Duration {
    const LEAST: Duration = Duration::from_millis(20);
    wait.max(LEAST)
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
