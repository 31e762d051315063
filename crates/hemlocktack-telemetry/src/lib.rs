//! Telemetry of a node: numbered log events, and spans of traces.

mod event;
mod export;
mod recent;
mod span;
mod trace_context;
mod tracer;

pub use event::Event;
pub use export::{ExportError, ExportQueue, start_export};
pub use recent::RecentSpans;
pub use span::{ActiveSpan, SpanEnd, SpanName, SpanRecord};
pub use trace_context::{SpanId, TraceContext, TraceId, parse_trace_id};
pub use tracer::Tracer;

#[doc(hidden)]
pub use tracing;
