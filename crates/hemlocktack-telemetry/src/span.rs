//! One hop or one wait of a request.

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use hemlocktack_protocol::{NodeId, Outcome, Reason, ServiceName, Span};
use strum::{EnumIter, IntoStaticStr};

use crate::{SpanId, TraceContext, TraceId, Tracer};

/// What a span covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum SpanName {
    /// A request at the node where it enters, until its answer leaves.
    Entry,
    /// Wait for another node's reply over a link.
    Link,
    /// A call at the node beside the upstream.
    Hop,
    /// Wait for a slot of the upstream.
    Queue,
    /// Wait for the upstream's answer.
    Upstream,
}

/// How what a span covers ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SpanEnd {
    /// `Unspecified` for waits that have no outcome of their own.
    pub outcome: Outcome,
    /// Why, where there is no answer.
    pub reason: Reason,
}

impl SpanEnd {
    /// A wait that is over.
    pub const DONE: SpanEnd = SpanEnd {
        outcome: Outcome::Unspecified,
        reason: Reason::Unspecified,
    };

    /// Whether there is something to explain to an operator.
    pub(crate) fn is_unfinished(&self) -> bool {
        matches!(self.outcome, Outcome::NotRun | Outcome::Unknown)
    }
}

/// A span that goes on.
#[derive(Clone, Copy, Debug)]
pub struct ActiveSpan {
    pub(crate) name: SpanName,
    pub(crate) context: TraceContext,
    pub(crate) parent: SpanId,
    pub(crate) started: Instant,
}

impl ActiveSpan {
    /// For what happens within this span, in this process or another.
    pub fn context(&self) -> TraceContext {
        self.context
    }

    /// Time since it was started.
    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    /// Ends the span; `detail` is made only if the span is recorded.
    pub fn end(self, tracer: &Tracer, end: SpanEnd, detail: impl FnOnce() -> String) {
        tracer.ended(self, end, detail);
    }
}

/// A span that has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SpanRecord {
    /// Trace that it belongs to.
    pub trace_id: TraceId,
    /// Its own number.
    pub span_id: SpanId,
    /// Span around it; 0 for the first of a trace.
    pub parent: SpanId,
    /// What it covers.
    pub name: SpanName,
    /// Microseconds since 1970, by this machine's clock: for people.
    pub started_unix_us: u64,
    /// Measured by a steady clock.
    pub duration_us: u64,
    /// How it ended.
    pub end: SpanEnd,
    /// Node that recorded it.
    pub node_id: NodeId,
    /// Service of that node.
    pub service: ServiceName,
    /// Method and path, or the like.
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
        let duration_us = micros(span.started.elapsed().as_micros());
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let now_us = micros(now.unwrap_or_default().as_micros());
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

    /// Form that operators get.
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

fn micros(micros: u128) -> u64 {
    u64::try_from(micros).unwrap_or(u64::MAX)
}
