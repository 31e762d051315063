//! Traces of this node.

use std::time::Duration;

use hemlocktack_protocol::{Answer, Call, Outcome, Reason, Span};
use hemlocktack_telemetry::{
    ActiveSpan, ExportError, SpanEnd, SpanName, SpanRecord, Tracer, parse_trace_id, start_export,
};

use crate::node::Node;
use crate::settings::Settings;

/// Longer paths would make the memory of the recent spans depend on callers.
const PATH_SHOWN_CHARACTERS: usize = 120;

/// The node's tracer, with export where an endpoint is set.
pub(crate) fn start_tracer(settings: &Settings) -> Result<Tracer, ExportError> {
    let export = settings
        .otlp_endpoint
        .as_deref()
        .map(|endpoint| start_export(endpoint, &settings.node_id, &settings.service))
        .transpose()?;
    let node_id = settings.node_id.clone();
    Ok(Tracer::new(node_id, settings.service.clone(), export))
}

/// Recent spans of a trace, for operators.
pub(crate) fn spans_of(node: &Node, trace_id: &str) -> Vec<Span> {
    let Some(trace_id) = parse_trace_id(trace_id) else {
        return Vec::new();
    };
    let records = node.tracer.recent().of_trace(trace_id);
    records.iter().map(SpanRecord::to_message).collect()
}

/// A span of one call on this node.
pub(crate) struct CallSpan {
    span: ActiveSpan,
}

impl CallSpan {
    /// Begins a span and lets what the call does next belong to it.
    pub(crate) fn begin(node: &Node, name: SpanName, call: &mut Call) -> Self {
        let observed = Self::begin_leaf(node, name, call);
        call.traceparent = observed.span.context().header();
        observed
    }

    /// Begins a span in which nothing else happens.
    pub(crate) fn begin_leaf(node: &Node, name: SpanName, call: &Call) -> Self {
        let context = node.tracer.context_of(Some(&call.traceparent));
        let span = node.tracer.start(context, name);
        Self { span }
    }

    pub(crate) fn elapsed(&self) -> Duration {
        self.span.elapsed()
    }

    pub(crate) fn end(self, node: &Node, answer: &Answer, detail: impl FnOnce() -> String) {
        let end = SpanEnd {
            outcome: answer.outcome(),
            reason: answer.reason(),
        };
        self.span.end(&node.tracer, end, detail);
    }

    /// Ends a wait, with the reason if it ended in a refusal.
    pub(crate) fn end_leaf(self, node: &Node, refused: Option<Reason>) {
        let end = refused.map_or(SpanEnd::DONE, |reason| SpanEnd {
            outcome: Outcome::NotRun,
            reason,
        });
        self.span.end(&node.tracer, end, String::new);
    }
}

/// Method and path for people. The query stays out: it may name persons.
pub(crate) fn request_line(method: &str, path: &str) -> String {
    let path = path.split('?').next().unwrap_or_default();
    let shown = path.chars().take(PATH_SHOWN_CHARACTERS);
    format!("{method} {}", shown.collect::<String>())
}
