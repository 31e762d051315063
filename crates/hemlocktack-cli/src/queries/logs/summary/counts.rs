//! Counts log lines by cause, second and node.

use std::collections::BTreeMap;

use serde::Serialize;

use super::nodes::NodeCount;
use crate::log_lines::LogLine;

/// Numbers of the events that are counted.
const CALLS_WAIT: u64 = 703;
const SEND_ENDED: u64 = 711;
const CALL_REFUSED: u64 = 712;
const REQUEST_REFUSED: u64 = 713;
const ANSWERED_LATE: u64 = 714;

const MS_PER_SECOND: f64 = 1_000.0;

/// Line counts by cause, second and node. Memory use grows with the number of causes, nodes and
/// seconds of a log, not with its lines.
#[derive(Default)]
pub(super) struct Counts {
    pub(super) requests: BTreeMap<String, u64>,
    pub(super) sends: BTreeMap<String, u64>,
    pub(super) calls: BTreeMap<String, u64>,
    /// By the second of the Unix time.
    pub(super) seconds: BTreeMap<i64, Second>,
    pub(super) nodes: BTreeMap<String, NodeCount>,
}

/// Number of lines with the same cause.
#[derive(Serialize)]
pub(super) struct Cause {
    pub(super) what: String,
    pub(super) number: u64,
}

/// Counts of one second.
#[derive(Clone, Copy, Default, Serialize)]
pub(super) struct Second {
    /// Seconds since that of the earliest line.
    pub(super) second: u64,
    /// Requests that ended without an upstream's answer.
    pub(super) refused_requests: u64,
    /// Sends that ended without an upstream's answer; some were repeated on another node.
    pub(super) ended_sends: u64,
    /// Calls that the admission of the upstream's node refused.
    pub(super) refused_calls: u64,
    pub(super) late_answers: u64,
    /// Highest number of calls queued for one upstream.
    pub(super) most_waiting: u64,
    /// Lines that the nodes did not write because of the log rate limit.
    pub(super) left_out: u64,
}

impl Counts {
    pub(super) fn count(&mut self, line: &LogLine) {
        let second = (line.at_ms / MS_PER_SECOND) as i64;
        let second = self.seconds.entry(second).or_default();
        second.left_out += number(line, "left_out");
        let node = self.nodes.entry(line.source.clone()).or_default();
        match line.number {
            REQUEST_REFUSED => {
                second.refused_requests += 1;
                node.refused_requests += 1;
                add(&mut self.requests, line, &["outcome", "reason"]);
            }
            SEND_ENDED => {
                second.ended_sends += 1;
                node.ended_sends += 1;
                let fields = ["service", "outcome", "reason", "next", "because"];
                add(&mut self.sends, line, &fields);
            }
            CALL_REFUSED => {
                second.refused_calls += 1;
                node.refused_calls += 1;
                add(
                    &mut self.calls,
                    line,
                    &["reason", "class_rank", "is_deeper"],
                );
            }
            ANSWERED_LATE => {
                second.late_answers += 1;
                node.late_answers += 1;
            }
            CALLS_WAIT => {
                let waiting = number(line, "queued");
                second.most_waiting = second.most_waiting.max(waiting);
                node.most_waiting = node.most_waiting.max(waiting);
            }
            _ => {}
        }
    }
}

fn number(line: &LogLine, name: &str) -> u64 {
    let value = line.fields.get(name);
    value
        .and_then(serde_json::Value::as_u64)
        .unwrap_or_default()
}

/// Increments the count of the cause given by these fields of the line. Strings are shown without the
/// field's name; numbers and booleans need it to be understood.
fn add(counts: &mut BTreeMap<String, u64>, line: &LogLine, names: &[&str]) {
    let named = names.iter().filter_map(|name| {
        let value = line.fields.get(*name)?;
        Some(match value {
            serde_json::Value::String(word) => word.clone(),
            value => format!("{name}={value}"),
        })
    });
    let what = named.collect::<Vec<_>>().join(" ");
    *counts.entry(what).or_default() += 1;
}

/// Returns the causes, those with the highest counts first.
pub(super) fn by_count(counts: BTreeMap<String, u64>) -> Vec<Cause> {
    let causes = counts.into_iter();
    let mut causes: Vec<Cause> = causes
        .map(|(what, number)| Cause { what, number })
        .collect();
    causes.sort_by_key(|cause| std::cmp::Reverse(cause.number));
    causes
}

/// Returns the seconds in order, numbered from the first one of the log.
pub(super) fn numbered_from_first(seconds: BTreeMap<i64, Second>) -> Vec<Second> {
    let first = seconds.keys().next().copied().unwrap_or_default();
    let numbered = seconds.into_iter().map(|(at, counted)| Second {
        second: at.abs_diff(first),
        ..counted
    });
    numbered.collect()
}
