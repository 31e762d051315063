//! `explain`: shows what happened to one request at each hop.

use hemlocktack_protocol::{ExplainCallRequest, Outcome, Span};

use crate::arguments::Arguments;
use crate::error::Result;
use crate::output::{Output, Table};
use crate::rpc::methods::EXPLAIN_CALL;
use crate::signature::{Effect, Example, Signature, no_flags};

const TRACE_ID_DIGITS: usize = 32;

pub(crate) const SIGNATURE: Signature = Signature {
    words: "explain",
    operands: "TRACE",
    effect: Effect::Query,
    summary: "Show the hops and waits of one request from the nodes' recent spans.",
    flags: no_flags,
    examples: &[Example {
        line: "explain 0af7651916cd43dd8448eb211c80319c",
        meaning: "the trace id is the second part of the request's traceparent",
    }],
    run,
};

fn run(arguments: &mut Arguments<'_>, output: &mut Output<'_>) -> Result<()> {
    let trace_id = arguments.operand("TRACE");
    let is_trace_id =
        trace_id.len() == TRACE_ID_DIGITS && trace_id.bytes().all(|byte| byte.is_ascii_hexdigit());
    if !trace_id.is_empty() && !is_trace_id {
        let label = format!("{trace_id:?} is not a trace id");
        arguments.add("TRACE", label, "write its 32 hexadecimal digits");
    }
    let client = arguments.client();
    arguments.finish()?;
    let request = ExplainCallRequest {
        trace_id: trace_id.to_ascii_lowercase(),
    };
    let mut response = client.call(&EXPLAIN_CALL, &request)?;
    response.spans.sort_by_key(|span| span.started_unix_us);
    let mut text = spans_text(&response.spans);
    if !response.silent_node_ids.is_empty() {
        let silent = response.silent_node_ids.join(", ");
        text += &format!("no answer from: {silent}\n");
    }
    output.report(&text, &response)
}

fn spans_text(spans: &[Span]) -> String {
    let Some(first) = spans.first() else {
        return "no node has spans of this trace: it was not sampled, is too old, \
                or went through nodes that have stopped\n"
            .to_owned();
    };
    let mut table = Table::new(&[
        "start ms", "took ms", "node", "service", "span", "outcome", "reason", "detail",
    ]);
    for span in spans {
        let since_first_us = span.started_unix_us - first.started_unix_us;
        table.row(vec![
            milliseconds(since_first_us),
            milliseconds(span.duration_us),
            span.node_id.clone(),
            span.service.clone(),
            span.name.clone(),
            outcome_name(span.outcome()),
            reason_name(span),
            span.detail.clone(),
        ]);
    }
    table.to_text()
}

fn milliseconds(microseconds: u64) -> String {
    format!("{:.3}", microseconds as f64 / 1_000.0)
}

fn outcome_name(outcome: Outcome) -> String {
    match outcome {
        Outcome::Unspecified => "-".to_owned(),
        outcome => <&'static str>::from(outcome).to_owned(),
    }
}

fn reason_name(span: &Span) -> String {
    match span.reason {
        0 => "-".to_owned(),
        _ => <&'static str>::from(span.reason()).to_owned(),
    }
}
