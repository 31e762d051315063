//! `logs story`: shows what the nodes' logs say about one request.

use std::collections::BTreeSet;

use getopts::Options;
use serde::Serialize;

use crate::arguments::Arguments;
use crate::error::Result;
use crate::log_lines::LogLine;
use crate::output::{Output, Table};
use crate::signature::{Effect, Example, Signature};

pub(crate) const SIGNATURE: Signature = Signature {
    words: "logs story",
    operands: "REQUEST FILE...",
    effect: Effect::Query,
    summary: "Show all log lines about one request and its child calls, in order.",
    flags,
    examples: &[
        Example {
            line: "logs story 0980ccf047c38efc docs/examples/logs/howrah-4.log docs/examples/logs/salt-lake-1.log docs/examples/logs/ballygunge-1.log",
            meaning: "logs of several nodes in JSON; - reads standard input",
        },
        Example {
            line: "logs story 0980ccf047c38efc --around-ms 100 docs/examples/logs/salt-lake-1.log",
            meaning: "with what the same nodes logged shortly before and after",
        },
    ],
    run,
};

const AROUND_FLAG: &str = "around-ms";

fn flags(options: &mut Options) {
    let help =
        "also show events without a request on the same nodes, within this time before and after";
    options.optopt("", AROUND_FLAG, help, "MS");
}

/// Log lines of one request.
#[derive(Serialize)]
struct Story {
    request_id: String,
    lines: Vec<LogLine>,
}

fn run(arguments: &mut Arguments<'_>, output: &mut Output<'_>) -> Result<()> {
    let request_id = arguments.operand("REQUEST");
    let around_ms = arguments.number::<u32>(AROUND_FLAG).map(f64::from);
    let lines = arguments.logs();
    arguments.finish()?;
    let story = Story {
        lines: lines_of(&request_id, lines, around_ms),
        request_id,
    };
    output.report(&text(&story), &story)
}

/// Returns the lines that name the request or one of its child calls, and with `around_ms` also lines
/// without a request id that the same nodes wrote within that time before and after.
fn lines_of(request_id: &str, lines: Vec<LogLine>, around_ms: Option<f64>) -> Vec<LogLine> {
    let is_named = |line: &LogLine| {
        let named = line.field("request_id");
        named.is_some_and(|named| is_part_of(&named, request_id))
    };
    let named: Vec<&LogLine> = lines.iter().filter(|line| is_named(line)).collect();
    let sources: BTreeSet<&str> = named.iter().map(|line| line.source.as_str()).collect();
    let first_ms = named
        .iter()
        .map(|line| line.at_ms)
        .fold(f64::INFINITY, f64::min);
    let last_ms = named
        .iter()
        .map(|line| line.at_ms)
        .fold(f64::NEG_INFINITY, f64::max);
    let is_around = |line: &LogLine| {
        around_ms.is_some_and(|around_ms| {
            !line.fields.contains_key("request_id")
                && sources.contains(line.source.as_str())
                && line.at_ms >= first_ms - around_ms
                && line.at_ms <= last_ms + around_ms
        })
    };
    let chosen = lines
        .iter()
        .filter(|line| is_named(line) || is_around(line));
    let mut chosen: Vec<LogLine> = chosen.cloned().collect();
    chosen.sort_by(|one, other| one.at_ms.total_cmp(&other.at_ms));
    chosen
}

/// Returns whether `named` is the request's id or that of a child call, which appends a dot and a
/// suffix.
fn is_part_of(named: &str, request_id: &str) -> bool {
    let rest = named.strip_prefix(request_id);
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
}

fn text(story: &Story) -> String {
    let Some(first) = story.lines.first() else {
        return "no line names this request: it was answered in time, its lines were left out \
                (see left_out in later ones), or the logs are of other nodes\n"
            .to_owned();
    };
    let mut table = Table::new(&["ms", "node", "event", "what it says"]);
    for line in &story.lines {
        table.row(vec![
            format!("{:.1}", line.at_ms - first.at_ms),
            line.source.clone(),
            line.number.to_string(),
            format!("{}: {}", line.message, line.fields_text()),
        ]);
    }
    format!("first line at {}\n{}", first.at, table.to_text())
}
