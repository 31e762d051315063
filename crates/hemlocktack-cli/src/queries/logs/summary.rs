//! `logs summary`: counts refused, repeated and late requests in nodes' logs. The report shows totals
//! of the fleet, then counts by second, then the nodes whose counts stand out.

mod counts;
mod nodes;

use counts::{Cause, Counts, Second};
use getopts::Options;
use nodes::NodeCount;
use serde::Serialize;

use crate::arguments::Arguments;
use crate::error::Result;
use crate::output::{Output, Table};
use crate::signature::{Effect, Example, Signature};

pub(crate) const SIGNATURE: Signature = Signature {
    words: "logs summary",
    operands: "FILE...",
    effect: Effect::Query,
    summary: "Count refused, repeated and late requests in nodes' logs, by cause, second and node.",
    flags,
    examples: &[
        Example {
            line: "logs summary docs/examples/logs/howrah-4.log docs/examples/logs/salt-lake-1.log",
            meaning: "logs of several nodes in JSON; - reads standard input",
        },
        Example {
            line: "logs summary --nodes docs/examples/logs/howrah-4.log docs/examples/logs/salt-lake-1.log",
            meaning: "with a row for every node, not only for outliers",
        },
    ],
    run,
};

const ALL_NODES: &str = "nodes";

fn flags(options: &mut Options) {
    options.optflag("", ALL_NODES, "show a row for every node");
}

#[derive(Serialize)]
struct Summary {
    requests: Vec<Cause>,
    sends: Vec<Cause>,
    calls: Vec<Cause>,
    seconds: Vec<Second>,
    nodes: Vec<NodeCount>,
}

fn run(arguments: &mut Arguments<'_>, output: &mut Output<'_>) -> Result<()> {
    let with_all_nodes = arguments.is_set(ALL_NODES);
    let mut counts = Counts::default();
    arguments.each_log_line(|line| counts.count(&line));
    arguments.finish()?;
    let summary = Summary {
        requests: counts::by_count(counts.requests),
        sends: counts::by_count(counts.sends),
        calls: counts::by_count(counts.calls),
        seconds: counts::numbered_from_first(counts.seconds),
        nodes: nodes::by_count(counts.nodes),
    };
    output.report(&text(&summary, with_all_nodes), &summary)
}

fn text(summary: &Summary, with_all_nodes: bool) -> String {
    if summary.seconds.is_empty() {
        return "no event of a node: are these logs in JSON?\n".to_owned();
    }
    let (nodes, max_rows) = match with_all_nodes {
        true => (summary.nodes.iter().collect(), usize::MAX),
        false => (nodes::outliers(&summary.nodes), nodes::MAX_OUTLIERS_SHOWN),
    };
    let omitted_count = summary.nodes.len() - nodes.len();
    let parts = [
        causes("requests that ended without an answer", &summary.requests),
        causes("sends that ended without an answer", &summary.sends),
        causes("calls refused beside upstreams", &summary.calls),
        seconds(&summary.seconds),
        nodes::text(&nodes, max_rows, omitted_count),
    ];
    let parts = parts.into_iter().filter(|part| !part.is_empty());
    parts.collect::<Vec<_>>().join("\n")
}

fn causes(what: &str, causes: &[Cause]) -> String {
    let total: u64 = causes.iter().map(|cause| cause.number).sum();
    if total == 0 {
        return String::new();
    }
    let mut table = Table::new(&["number", "share", what]);
    for cause in causes {
        let percent = cause.number as f64 / total as f64 * 100.0;
        let cells = [
            cause.number.to_string(),
            format!("{percent:.1}%"),
            cause.what.clone(),
        ];
        table.row(cells.into());
    }
    table.to_text()
}

fn seconds(seconds: &[Second]) -> String {
    let heading = [
        "second",
        "refused",
        "sends ended",
        "calls refused",
        "late",
        "most waiting",
        "left out",
    ];
    let mut table = Table::new(&heading);
    for second in seconds {
        let cells = [
            second.second,
            second.refused_requests,
            second.ended_sends,
            second.refused_calls,
            second.late_answers,
            second.most_waiting,
            second.left_out,
        ];
        table.row(cells.map(|cell| cell.to_string()).into());
    }
    table.to_text()
}
