//! Which spans are kept for operators.
#![allow(clippy::unwrap_used)]

use hemlocktack_protocol::{Outcome, Reason};
use hemlocktack_telemetry::{SpanEnd, SpanName, TraceContext, Tracer};

const MILLION: u32 = 1_000_000;

fn tracer(sample_per_million: u32) -> Tracer {
    let tracer = Tracer::new("keys-1".into(), "keys".into(), None);
    tracer.set_sample_per_million(sample_per_million);
    tracer
}

fn record(tracer: &Tracer, context: TraceContext, end: SpanEnd) {
    let span = tracer.start(context, SpanName::Entry);
    span.end(tracer, end, || "GET /".to_owned());
}

const ANSWERED: SpanEnd = SpanEnd {
    outcome: Outcome::Answered,
    reason: Reason::Unspecified,
};
const SHED: SpanEnd = SpanEnd {
    outcome: Outcome::NotRun,
    reason: Reason::Shed,
};

#[test]
fn a_hop_and_its_wait_are_kept_with_their_parents() {
    let tracer = tracer(MILLION);
    let context = tracer.context_of(None);
    let hop = tracer.start(context, SpanName::Hop);
    let queue = tracer.start(hop.context(), SpanName::Queue);
    queue.end(&tracer, SpanEnd::DONE, String::new);
    hop.end(&tracer, ANSWERED, || "GET /slots".to_owned());
    let kept = tracer.recent().of_trace(context.trace_id);
    assert_eq!(kept.len(), 2);
    assert_eq!(kept[0].parent, kept[1].span_id);
    assert_eq!(kept[1].parent, 0);
    assert_eq!(kept[1].to_message().detail, "GET /slots");
}

/// An operator looks up a refused request by its trace id. Most requests are not sampled, so its
/// spans must be kept regardless of sampling.
#[test]
fn a_refusal_is_kept_even_if_its_trace_is_not_sampled() {
    let tracer = tracer(0);
    let context = tracer.context_of(None);
    record(&tracer, context, ANSWERED);
    assert_eq!(tracer.recent().of_trace(context.trace_id), []);
    record(&tracer, context, SHED);
    let kept = tracer.recent().of_trace(context.trace_id);
    assert_eq!(kept[0].to_message().reason(), Reason::Shed);
}

#[test]
fn a_callers_sampling_decision_is_kept() {
    let never = tracer(0);
    let always = tracer(MILLION);
    let sampled = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    let unsampled = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-00";
    assert!(never.context_of(Some(sampled)).sampled);
    assert!(!always.context_of(Some(unsampled)).sampled);
    assert!(always.context_of(Some("malformed")).sampled);
    assert!(!never.context_of(Some("malformed")).sampled);
}

/// A long overload records refusals at a high rate. Old spans must be evicted so that memory stays
/// bounded.
#[test]
fn old_spans_are_evicted_for_new_ones() {
    let tracer = tracer(0);
    let context = |trace_id| TraceContext {
        trace_id,
        span_id: 1,
        sampled: false,
    };
    for trace_id in 1..=100_000 {
        record(&tracer, context(trace_id), SHED);
    }
    let kept = (1..=100_000).filter(|trace_id| !tracer.recent().of_trace(*trace_id).is_empty());
    assert_eq!(
        kept.collect::<Vec<_>>(),
        (95_905..=100_000).collect::<Vec<_>>()
    );
}
