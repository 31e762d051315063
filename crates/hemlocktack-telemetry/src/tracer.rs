//! Starts and ends spans, and decides which ones are kept and exported.

use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Instant;

use hemlocktack_protocol::{NodeId, ServiceName};

use crate::{ActiveSpan, ExportQueue, RecentSpans, SpanEnd, SpanName, SpanRecord, TraceContext};

const MILLION: u32 = 1_000_000;
/// About 1 MB at 250 bytes per span. Under overload most records are refusals; at a thousand per
/// second this covers the last four seconds. Sampled traces are in the collector as well.
const RECENT_SPANS: usize = 4_096;

/// Records the spans of one node.
#[derive(Debug)]
pub struct Tracer {
    node_id: NodeId,
    service: ServiceName,
    sample_per_million: AtomicU32,
    recent: RecentSpans,
    export: Option<ExportQueue>,
}

impl Tracer {
    /// Creates a tracer that samples only requests whose callers ask for it, until a sample rate is
    /// set.
    pub fn new(node_id: NodeId, service: ServiceName, export: Option<ExportQueue>) -> Self {
        Tracer {
            node_id,
            service,
            sample_per_million: AtomicU32::new(0),
            recent: RecentSpans::new(RECENT_SPANS),
            export,
        }
    }

    /// Sets how many of a million requests are traced from end to end.
    pub fn set_sample_per_million(&self, sample_per_million: u32) {
        self.sample_per_million
            .store(sample_per_million, Ordering::Relaxed);
    }

    /// Returns the context of an incoming request: the caller's if it sent one, including its
    /// sampling decision, or that of a new trace.
    pub fn context_of(&self, traceparent: Option<&str>) -> TraceContext {
        if let Some(context) = traceparent.and_then(TraceContext::parse) {
            return context;
        }
        let rate = self.sample_per_million.load(Ordering::Relaxed);
        TraceContext {
            trace_id: rand::random_range(1..=u128::MAX),
            span_id: 0,
            sampled: rand::random_range(0..MILLION) < rate,
        }
    }

    /// Starts a span as a child of the context.
    pub fn start(&self, context: TraceContext, name: SpanName) -> ActiveSpan {
        ActiveSpan {
            name,
            context: TraceContext {
                span_id: rand::random_range(1..=u64::MAX),
                ..context
            },
            parent: context.span_id,
            started: Instant::now(),
        }
    }

    /// Returns the most recent spans.
    pub fn recent(&self) -> &RecentSpans {
        &self.recent
    }

    /// Returns how many spans were not delivered to the collector since the start of the node.
    pub fn lost_span_count(&self) -> u64 {
        self.export.as_ref().map_or(0, ExportQueue::lost_span_count)
    }

    /// Records the end of a span. A refusal or an unknown outcome is kept even if its trace is not
    /// sampled, because operators ask about these calls.
    pub(crate) fn record_end(
        &self,
        span: ActiveSpan,
        end: SpanEnd,
        detail: impl FnOnce() -> String,
    ) {
        let sampled = span.context.sampled;
        if !sampled && !end.is_failure() {
            return;
        }
        let node_id = self.node_id.clone();
        let service = self.service.clone();
        let record = SpanRecord::new(&span, end, node_id, service, detail());
        if sampled && let Some(export) = &self.export {
            export.push(record.clone());
        }
        self.recent.push(record);
    }
}
