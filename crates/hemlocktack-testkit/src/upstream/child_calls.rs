//! Child calls that an upstream makes through its node.

use serde::Serialize;
use serde_json::Value;

use crate::upstream::work::Call;
use crate::upstream::{ChildCall, Shared};

const CONTEXT_HEADER: &str = "hemlocktack-context";
const OUTCOME_HEADER: &str = "hemlocktack-outcome";
const REASON_HEADER: &str = "hemlocktack-reason";

/// Result of a child call, as included in the parent call's answer.
#[derive(Debug, Serialize)]
pub(crate) struct ChildAnswer {
    pub(crate) call: String,
    pub(crate) status: u16,
    pub(crate) outcome: String,
    pub(crate) reason: String,
    pub(crate) body: Value,
}

impl ChildAnswer {
    pub(crate) fn succeeded(&self) -> bool {
        self.outcome == "answered" && (200..300).contains(&self.status)
    }
}

/// Makes the child calls in order and stops after the first one that fails.
pub(crate) async fn make_child_calls(shared: &Shared, call: &Call) -> Vec<ChildAnswer> {
    let mut answers = Vec::new();
    for (index, child_call) in shared.settings.child_calls.iter().enumerate() {
        let answer = send(shared, call, child_call, index).await;
        let succeeded = answer.succeeded();
        answers.push(answer);
        if !succeeded {
            break;
        }
    }
    answers
}

async fn send(shared: &Shared, call: &Call, child_call: &ChildCall, index: usize) -> ChildAnswer {
    let mut answer = ChildAnswer {
        call: child_call.to_string(),
        status: 0,
        outcome: "unknown".to_owned(),
        reason: "no-answer".to_owned(),
        body: Value::Null,
    };
    let Some(node_callers) = shared.settings.node_callers else {
        return answer;
    };
    let mut request = shared
        .http
        .request(
            child_call.method.clone(),
            format!("http://{node_callers}/{}", child_call.path),
        )
        .header("x-marker", &call.marker)
        // The key is the same whenever this call is repeated for the same parent.
        .header("idempotency-key", format!("deeper-{index}"));
    if let Some(context) = &call.context {
        request = request.header(CONTEXT_HEADER, context);
    }
    if let Some(traceparent) = &call.traceparent {
        request = request.header("traceparent", traceparent);
    }
    if let Some(time_left) = call.time_left() {
        request = request.timeout(time_left);
    }
    let Ok(response) = request.send().await else {
        return answer;
    };
    answer.status = response.status().as_u16();
    let header = |name: &str| {
        let value = response.headers().get(name)?;
        Some(value.to_str().ok()?.to_owned())
    };
    answer.outcome = header(OUTCOME_HEADER).unwrap_or_default();
    answer.reason = header(REASON_HEADER).unwrap_or_default();
    match response.bytes().await {
        Ok(body) => answer.body = serde_json::from_slice(&body).unwrap_or_default(),
        Err(_) => answer.outcome = "unknown".to_owned(),
    }
    answer
}
