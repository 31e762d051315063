//! Metrics and traces of requests at their entry node.

use hemlocktack_protocol::{CONTEXT_HEADER, Outcome, TRACEPARENT_HEADER};
use hemlocktack_telemetry::{ActiveSpan, SpanEnd, SpanName, TraceContext};
use rocket::Request;

use super::{CallerAnswer, CallerRequest};
use crate::node::Node;
use crate::telemetry::request_line;

/// Entry span of a request, from its arrival until its answer is sent.
pub(super) struct ObservedEntry {
    span: ActiveSpan,
}

impl ObservedEntry {
    pub(super) fn begin(node: &Node, request: &Request<'_>) -> Self {
        let context = trace_context(node, request);
        let span = node.tracer.start(context, SpanName::Entry);
        Self { span }
    }

    /// Sets the entry span as the trace parent of the request.
    pub(super) fn with_trace(&self, mut call: CallerRequest) -> CallerRequest {
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

/// Returns the caller's trace context or, for a child call without one, that of its parent. An
/// upstream that forwards only the context header thus does not split the trace.
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
