//! What a request's entry leaves in metrics and traces.

use hemlocktack_protocol::{CONTEXT_HEADER, Outcome, TRACEPARENT_HEADER};
use hemlocktack_telemetry::{ActiveSpan, SpanEnd, SpanName, TraceContext};
use rocket::Request;

use super::{CallerAnswer, CallerRequest};
use crate::node::Node;
use crate::telemetry::request_line;

/// A request from its arrival until its answer leaves.
pub(super) struct ObservedEntry {
    span: ActiveSpan,
}

impl ObservedEntry {
    pub(super) fn begin(node: &Node, request: &Request<'_>) -> Self {
        let context = trace_context(node, request);
        let span = node.tracer.start(context, SpanName::Entry);
        Self { span }
    }

    /// What the request does next belongs to its entry.
    pub(super) fn pass_trace(&self, mut call: CallerRequest) -> CallerRequest {
        call.traceparent = Some(self.span.context().header());
        call
    }

    pub(super) fn end(
        self,
        node: &Node,
        request: &Request<'_>,
        mut answer: CallerAnswer,
    ) -> CallerAnswer {
        node.waits.entry.observe(self.span.elapsed());
        let path = request.uri().path().as_str();
        let service = path.trim_start_matches('/').split('/').next();
        let (outcome, reason) = (answer.outcome, answer.reason);
        node.entry_counts
            .record(service.unwrap_or_default(), outcome, reason);
        if outcome != Outcome::Answered {
            answer.traceparent = Some(self.span.context().header());
        }
        let end = SpanEnd { outcome, reason };
        let method = request.method().as_str();
        self.span
            .end(&node.tracer, end, || request_line(method, path));
        answer
    }
}

/// The caller's own trace; or that of the running call which a deeper call is
/// made for, so that an upstream which passes on only the system's context does
/// not break the trace in two.
fn trace_context(node: &Node, request: &Request<'_>) -> TraceContext {
    let header = request.headers().get_one(TRACEPARENT_HEADER);
    if let Some(context) = header.and_then(TraceContext::parse) {
        return context;
    }
    let parent = request
        .headers()
        .get_one(CONTEXT_HEADER)
        .and_then(|context| node.contexts.find(context).ok())
        .and_then(|running| running.trace);
    parent.unwrap_or_else(|| node.tracer.context_of(None))
}
