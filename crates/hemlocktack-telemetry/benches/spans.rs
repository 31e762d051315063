//! Cost of tracing one call on the node of its upstream: its spans and the headers between them.
//!
//! `cargo bench -p hemlocktack-telemetry`

use divan::{Bencher, black_box};
use hemlocktack_protocol::{Outcome, Reason};
use hemlocktack_telemetry::{SpanEnd, SpanName, TraceContext, Tracer};

const TRACEPARENT: &str = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-00";
const ANSWERED: SpanEnd = SpanEnd {
    outcome: Outcome::Answered,
    reason: Reason::Unspecified,
};
const SHED: SpanEnd = SpanEnd {
    outcome: Outcome::NotRun,
    reason: Reason::Shed,
};

fn main() {
    divan::main();
}

fn tracer() -> Tracer {
    Tracer::new("keys-1".into(), "keys".into(), None)
}

/// Traces hop, queue and upstream of one call, as the node of the upstream does.
fn one_call(tracer: &Tracer, traceparent: &str, end: SpanEnd) -> String {
    let hop = tracer.start(tracer.context_of(Some(traceparent)), SpanName::Hop);
    let forwarded_header = hop.context().header();
    let queue = tracer.start(tracer.context_of(Some(&forwarded_header)), SpanName::Queue);
    queue.end(tracer, SpanEnd::DONE, String::new);
    let upstream = tracer.start(
        tracer.context_of(Some(&forwarded_header)),
        SpanName::Upstream,
    );
    let header = upstream.context().header();
    upstream.end(tracer, end, || "GET /slots".to_owned());
    hop.end(tracer, end, || "GET /slots".to_owned());
    header
}

#[divan::bench]
fn unsampled_and_answered(bencher: Bencher<'_, '_>) {
    let tracer = tracer();
    bencher.bench(|| one_call(&tracer, black_box(TRACEPARENT), ANSWERED));
}

#[divan::bench]
fn unsampled_and_refused(bencher: Bencher<'_, '_>) {
    let tracer = tracer();
    bencher.bench(|| one_call(&tracer, black_box(TRACEPARENT), SHED));
}

#[divan::bench]
fn sampled(bencher: Bencher<'_, '_>) {
    let tracer = tracer();
    let traceparent = TRACEPARENT.replace("-00", "-01");
    bencher.bench(|| one_call(&tracer, black_box(&traceparent), ANSWERED));
}

#[divan::bench]
fn header_written() -> String {
    black_box(TraceContext {
        trace_id: 0x0af7_6519_16cd_43dd_8448_eb21_1c80_319c,
        span_id: 0xb7ad_6b71_6920_3331,
        sampled: true,
    })
    .header()
}

#[divan::bench]
fn header_read() -> Option<TraceContext> {
    TraceContext::parse(black_box(TRACEPARENT))
}
