//! `logs summary`: what nodes' logs say of requests that were not served as
//! wanted, by second and by cause.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::arguments::Arguments;
use crate::error::Result;
use crate::log_lines::LogLine;
use crate::output::{Output, Table};
use crate::signature::{Effect, Example, Signature, no_flags};

pub(crate) const SIGNATURE: Signature = Signature {
    words: "logs summary",
    operands: "FILE...",
    effect: Effect::Query,
    summary: "Count what nodes' logs say of refused, repeated and late requests, by cause and second.",
    flags: no_flags,
    examples: &[Example {
        line: "logs summary docs/examples/logs/howrah-4.log docs/examples/logs/salt-lake-1.log",
        meaning: "logs of several nodes in JSON; - reads standard input",
    }],
    run,
};

/// Numbers of the events that are counted.
const CALLS_WAIT: u64 = 703;
const SEND_ENDED: u64 = 711;
const CALL_REFUSED: u64 = 712;
const REQUEST_REFUSED: u64 = 713;
const ANSWERED_LATE: u64 = 714;

/// Requests that ended without an upstream's answer, for one reason on one node.
#[derive(Serialize)]
struct Cause {
    source: String,
    outcome: String,
    reason: String,
    requests: u64,
}

/// What was logged in one second.
#[derive(Clone, Copy, Default, Serialize)]
struct Second {
    second: i64,
    /// Requests that ended without an upstream's answer.
    refused_requests: u64,
    /// Sends that ended without one; some were repeated elsewhere.
    ended_sends: u64,
    /// Calls that a node refused beside its upstream.
    refused_calls: u64,
    late_answers: u64,
    /// Most calls that waited in front of one upstream.
    most_waiting: u64,
    /// Lines that were left out for their number.
    left_out: u64,
}

#[derive(Serialize)]
struct Summary {
    causes: Vec<Cause>,
    seconds: Vec<Second>,
}

fn run(arguments: &mut Arguments<'_>, output: &mut Output<'_>) -> Result<()> {
    let lines = arguments.logs();
    arguments.finish()?;
    let summary = Summary {
        causes: causes(&lines),
        seconds: seconds(&lines),
    };
    output.report(&text(&summary), &summary)
}

fn causes(lines: &[LogLine]) -> Vec<Cause> {
    let mut counts: BTreeMap<(String, String, String), u64> = BTreeMap::new();
    for line in lines.iter().filter(|line| line.number == REQUEST_REFUSED) {
        let field = |name: &str| line.field(name).unwrap_or_default();
        let key = (line.source.clone(), field("outcome"), field("reason"));
        *counts.entry(key).or_default() += 1;
    }
    let cause = |((source, outcome, reason), requests)| Cause {
        source,
        outcome,
        reason,
        requests,
    };
    let mut causes: Vec<Cause> = counts.into_iter().map(cause).collect();
    causes.sort_by_key(|cause| std::cmp::Reverse(cause.requests));
    causes
}

fn seconds(lines: &[LogLine]) -> Vec<Second> {
    let mut seconds: BTreeMap<i64, Second> = BTreeMap::new();
    let first_ms = lines
        .iter()
        .map(|line| line.at_ms)
        .fold(f64::INFINITY, f64::min);
    for line in lines {
        let number = ((line.at_ms - first_ms) / 1_000.0) as i64;
        let counted = seconds.entry(number).or_default();
        counted.second = number;
        count(counted, line);
    }
    seconds.into_values().collect()
}

fn count(second: &mut Second, line: &LogLine) {
    let number = |name: &str| line.fields.get(name).and_then(serde_json::Value::as_u64);
    match line.number {
        REQUEST_REFUSED => second.refused_requests += 1,
        SEND_ENDED => second.ended_sends += 1,
        CALL_REFUSED => second.refused_calls += 1,
        ANSWERED_LATE => second.late_answers += 1,
        CALLS_WAIT => {
            let waiting = number("queued").unwrap_or_default();
            second.most_waiting = second.most_waiting.max(waiting);
        }
        _ => {}
    }
    second.left_out += number("left_out").unwrap_or_default();
}

fn text(summary: &Summary) -> String {
    if summary.seconds.is_empty() {
        return "no event of a node: are these logs in JSON?\n".to_owned();
    }
    let mut causes = Table::new(&["node", "outcome", "reason", "requests"]);
    for cause in &summary.causes {
        causes.row(vec![
            cause.source.clone(),
            cause.outcome.clone(),
            cause.reason.clone(),
            cause.requests.to_string(),
        ]);
    }
    let heading = [
        "second",
        "refused",
        "sends ended",
        "calls refused",
        "late",
        "most waiting",
        "left out",
    ];
    let mut seconds = Table::new(&heading);
    for second in &summary.seconds {
        seconds.row(vec![
            second.second.to_string(),
            second.refused_requests.to_string(),
            second.ended_sends.to_string(),
            second.refused_calls.to_string(),
            second.late_answers.to_string(),
            second.most_waiting.to_string(),
            second.left_out.to_string(),
        ]);
    }
    format!("{}\n{}", causes.to_text(), seconds.to_text())
}
