//! `ExplainCall`: collects the recent spans of one trace from all nodes.

use std::sync::Arc;

use hemlocktack_protocol::{
    ExplainCallRequest, ExplainCallResponse, OperatorErrorCode, SpansPull, frame,
};
use hemlocktack_telemetry::parse_trace_id;

use crate::node::Node;
use crate::operators::fan_out::query_others;
use crate::operators::{Failure, Result};
use crate::telemetry;

pub(in crate::operators) async fn run(
    node: &Arc<Node>,
    request: ExplainCallRequest,
) -> Result<ExplainCallResponse> {
    let trace_id = request.trace_id;
    if parse_trace_id(&trace_id).is_none() {
        let message = "a trace id must have 32 lower-case hexadecimal digits, not all 0";
        return Err(Failure::new(OperatorErrorCode::MalformedRequest, message));
    }
    let queried_id = trace_id.clone();
    let query = move |query_id| {
        let trace_id = queried_id.clone();
        frame::Body::SpansPull(SpansPull { query_id, trace_id })
    };
    let others = query_others(node, |_| true, query).await;
    let mut spans = telemetry::spans_of(node, &trace_id);
    for body in others.bodies {
        if let frame::Body::Spans(answer) = body {
            spans.extend(answer.spans);
        }
    }
    spans.sort_by_key(|span| span.started_unix_us);
    Ok(ExplainCallResponse {
        spans,
        silent_node_ids: others.silent_node_ids,
    })
}
