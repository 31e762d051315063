//! Trace spans of this node.

use std::time::Duration;

use hemlocktack_protocol::{Answer, Call, Outcome, Reason, Span};
use hemlocktack_telemetry::{
    ActiveSpan, ExportError, SpanEnd, SpanName, SpanRecord, Tracer, parse_trace_id, start_export,
};

use crate::node::Node;
use crate::settings::Settings;

/// Limit of the path in a span. Without it, callers could determine how much memory the
/// recent spans use.
const MAX_PATH_CHARACTERS: usize = 120;

/// Creates the node's tracer, with export if an endpoint is configured.
pub(crate) fn start_tracer(settings: &Settings) -> Result<Tracer, ExportError> {
    let export = settings
        .otlp_endpoint
        .as_deref()
        .map(|endpoint| start_export(endpoint, &settings.node_id, &settings.service))
        .transpose()?;
    let node_id = settings.node_id.clone();
    Ok(Tracer::new(node_id, settings.service.clone(), export))
}

/// Returns the recent spans of a trace, for operators.
pub(crate) fn spans_of(node: &Node, trace_id: &str) -> Vec<Span> {
    let Some(trace_id) = parse_trace_id(trace_id) else {
        return Vec::new();
    };
    let records = node.tracer.recent().of_trace(trace_id);
    records.iter().map(SpanRecord::to_message).collect()
}

/// A span in the handling of one call on this node.
pub(crate) struct CallSpan {
    span: ActiveSpan,
}

impl CallSpan {
    /// Begins a span and makes it the parent of the call's next spans.
    pub(crate) fn begin(node: &Node, name: SpanName, call: &mut Call) -> Self {
        let observed = Self::begin_leaf(node, name, call);
        call.traceparent = observed.span.context().header();
        observed
    }

    /// Begins a span without child spans, such as a wait.
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

    /// Ends a span without child spans, with the reason if the call was refused.
    pub(crate) fn end_leaf(self, node: &Node, refused: Option<Reason>) {
        let end = refused.map_or(SpanEnd::DONE, |reason| SpanEnd {
            outcome: Outcome::NotRun,
            reason,
        });
        self.span.end(&node.tracer, end, String::new);
    }
}

/// Returns the method and path for display, without the query, which may contain personal
/// data.
pub(crate) fn request_line(method: &str, path: &str) -> String {
    let path = path.split('?').next().unwrap_or_default();
    let shown = path.chars().take(MAX_PATH_CHARACTERS);
    format!("{method} {}", shown.collect::<String>())
}
