//! Spans: the processing or a wait of a request on one node.

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use hemlocktack_protocol::{NodeId, Outcome, Reason, ServiceName, Span, whole_micros};
use strum::{EnumIter, IntoStaticStr};

use crate::{SpanId, TraceContext, TraceId, Tracer};

/// What a span measures.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum SpanName {
    /// A request at its entry node, until its answer is sent.
    Entry,
    /// Wait for the reply of another node over a link.
    Link,
    /// A call at the node of the upstream that runs it.
    Hop,
    /// Wait for a free slot of the upstream.
    Queue,
    /// Wait for the upstream's answer.
    Upstream,
}

/// Result of what a span measures.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SpanEnd {
    /// Outcome; `Unspecified` for waits, which have none of their own.
    pub outcome: Outcome,
    /// Why there is no answer, if there is none.
    pub reason: Reason,
}

impl SpanEnd {
    /// End of a wait, without an outcome.
    pub const DONE: SpanEnd = SpanEnd {
        outcome: Outcome::Unspecified,
        reason: Reason::Unspecified,
    };

    /// Returns whether there was no answer, which operators may ask about.
    pub(crate) fn is_failure(&self) -> bool {
        matches!(self.outcome, Outcome::NotRun | Outcome::Unknown)
    }
}

/// A span that has not ended yet.
#[derive(Clone, Copy, Debug)]
pub struct ActiveSpan {
    pub(crate) name: SpanName,
    pub(crate) context: TraceContext,
    pub(crate) parent: SpanId,
    pub(crate) started: Instant,
}

impl ActiveSpan {
    /// Returns the trace context for child spans, in this process or another.
    pub fn context(&self) -> TraceContext {
        self.context
    }

    /// Returns the time since the start of the span.
    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    /// Ends the span; `detail` is only evaluated if the span is recorded.
    pub fn end(self, tracer: &Tracer, end: SpanEnd, detail: impl FnOnce() -> String) {
        tracer.record_end(self, end, detail);
    }
}

/// A span that has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SpanRecord {
    /// Trace that the span belongs to.
    pub trace_id: TraceId,
    /// Id of the span.
    pub span_id: SpanId,
    /// Parent span; 0 for the first span of a trace.
    pub parent: SpanId,
    /// What the span measures.
    pub name: SpanName,
    /// Start time in microseconds since 1970, by this machine's wall clock; only for display.
    pub started_unix_us: u64,
    /// Duration, measured with a monotonic clock.
    pub duration_us: u64,
    /// Result of what the span measures.
    pub end: SpanEnd,
    /// Node that recorded the span.
    pub node_id: NodeId,
    /// Service of the node.
    pub service: ServiceName,
    /// Details such as method and path.
    pub detail: Arc<str>,
}

impl SpanRecord {
    pub(crate) fn new(
        span: &ActiveSpan,
        end: SpanEnd,
        node_id: NodeId,
        service: ServiceName,
        detail: String,
    ) -> Self {
        let duration_us = whole_micros(span.started.elapsed());
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let now_us = whole_micros(now.unwrap_or_default());
        SpanRecord {
            trace_id: span.context.trace_id,
            span_id: span.context.span_id,
            parent: span.parent,
            name: span.name,
            started_unix_us: now_us.saturating_sub(duration_us),
            duration_us,
            end,
            node_id,
            service,
            detail: detail.into(),
        }
    }

    /// Converts the span to the message that is sent to operators.
    pub fn to_message(&self) -> Span {
        Span {
            trace_id: format!("{:032x}", self.trace_id),
            node_id: self.node_id.to_string(),
            name: <&'static str>::from(self.name).to_owned(),
            started_unix_us: self.started_unix_us,
            duration_us: self.duration_us,
            outcome: self.end.outcome.into(),
            reason: self.end.reason.into(),
            service: self.service.to_string(),
            detail: self.detail.to_string(),
        }
    }
}
