//! `status`: each service at a glance.

use std::collections::BTreeMap;
use std::thread;
use std::time::Duration;

use getopts::Options;
use hemlocktack_protocol::{GetStatusRequest, GetStatusResponse, NodeStatus};

use super::summary::{ServiceSummary, generations_text};
use crate::arguments::Arguments;
use crate::error::{Error, Result};
use crate::output::{Output, Table};
use crate::rpc::Client;
use crate::rpc::methods::GET_STATUS;
use crate::signature::{Effect, Example, Signature};

const SERVICE: &str = "service";
const WATCH: &str = "watch";
const TIMES: &str = "times";
const INTERVAL_MS: &str = "interval-ms";
const DEFAULT_INTERVAL_MS: u64 = 2_000;
/// Each report asks every node.
const LEAST_INTERVAL_MS: u64 = 200;

pub(crate) const SIGNATURE: Signature = Signature {
    words: "status",
    operands: "",
    effect: Effect::Query,
    summary: "Show demand, refusals by reason, limits, queues and generations by service.",
    flags,
    examples: &[
        Example {
            line: "status",
            meaning: "all services",
        },
        Example {
            line: "status --service listings --watch --times 2 --interval-ms 200",
            meaning: "one service, refreshed; without --times until interrupted",
        },
    ],
    run,
};

fn flags(options: &mut Options) {
    options.optopt("", SERVICE, "only this service", "NAME");
    options.optflag("", WATCH, "refresh until interrupted");
    options.optopt("", TIMES, "with --watch: reports before it ends", "N");
    options.optopt(
        "",
        INTERVAL_MS,
        "with --watch: time between reports; 2000 where absent, at least 200",
        "N",
    );
}

fn run(arguments: &mut Arguments<'_>, output: &mut Output<'_>) -> Result<()> {
    let service = arguments.text(SERVICE).unwrap_or_default();
    let interval_ms = arguments
        .number(INTERVAL_MS)
        .unwrap_or(DEFAULT_INTERVAL_MS)
        .max(LEAST_INTERVAL_MS);
    let times = match arguments.is_set(WATCH) {
        true => arguments.number(TIMES).unwrap_or(u64::MAX),
        false => 1,
    };
    let client = arguments.client();
    arguments.finish()?;
    let request = GetStatusRequest { service };
    if times == 1 {
        return report(&client, &request, output);
    }
    for _ in 0..times {
        output.clear_screen()?;
        match report(&client, &request, output) {
            // The fleet may come back while the operator watches.
            Err(Error::Unreachable { node_url, cause }) => {
                let text = format!("{node_url} is not reachable: {cause}\n");
                output.report(&text, &serde_json::Value::Null)?;
            }
            result => result?,
        }
        thread::sleep(Duration::from_millis(interval_ms));
    }
    Ok(())
}

fn report(client: &Client, request: &GetStatusRequest, output: &mut Output<'_>) -> Result<()> {
    let response = client.call(&GET_STATUS, request)?;
    output.report(&status_text(&response), &response)
}

fn status_text(response: &GetStatusResponse) -> String {
    let mut by_service = BTreeMap::<&str, Vec<&NodeStatus>>::new();
    for node in &response.nodes {
        by_service.entry(&node.service).or_default().push(node);
    }
    let mut table = Table::new(&[
        "service",
        "nodes",
        "demand",
        "admitted",
        "refused",
        "in flight",
        "limit",
        "queued",
        "shed",
        "draining",
        "quarantined",
    ]);
    let mut refusals = String::new();
    for (service, nodes) in by_service {
        let summary = ServiceSummary::new(&nodes);
        table.row(summary.row(service));
        refusals += &summary.refusals_text(service);
    }
    let mut text = table.to_text();
    text += &refusals;
    text += &generations_text(&response.nodes);
    text += &node_lists_text(response);
    text
}

fn node_lists_text(response: &GetStatusResponse) -> String {
    let without_platform = response
        .nodes
        .iter()
        .filter(|node| !node.platform_reachable)
        .map(|node| node.node_id.as_str())
        .collect::<Vec<_>>();
    let mut text = String::new();
    if !without_platform.is_empty() {
        let nodes = without_platform.join(", ");
        text += &format!("platform not reachable from: {nodes}\n");
    }
    if !response.silent_node_ids.is_empty() {
        let nodes = response.silent_node_ids.join(", ");
        text += &format!("no answer from: {nodes}\n");
    }
    text
}
