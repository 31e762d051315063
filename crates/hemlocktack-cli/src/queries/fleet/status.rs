//! `status`: summarises the state of each service.

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
/// Lower bound of the interval, because each report queries every node.
const MIN_INTERVAL_MS: u64 = 200;

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
    options.optopt("", TIMES, "with --watch: number of reports", "N");
    options.optopt(
        "",
        INTERVAL_MS,
        "with --watch: milliseconds between reports; default: 2000, at least 200",
        "N",
    );
}

fn run(arguments: &mut Arguments<'_>, output: &mut Output<'_>) -> Result<()> {
    let service = arguments.text(SERVICE);
    let interval_ms = arguments
        .number(INTERVAL_MS)
        .unwrap_or(DEFAULT_INTERVAL_MS)
        .max(MIN_INTERVAL_MS);
    let times = match arguments.is_set(WATCH) {
        true => arguments.number(TIMES).unwrap_or(u64::MAX),
        false => 1,
    };
    let client = arguments.client();
    arguments.finish()?;
    if times == 1 {
        return report(&client, service.as_deref(), output);
    }
    for _ in 0..times {
        output.clear_screen()?;
        match report(&client, service.as_deref(), output) {
            // The node may become reachable again while the operator watches.
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

/// Queries all nodes even for a single service, because its calls may enter at any node.
fn report(client: &Client, service: Option<&str>, output: &mut Output<'_>) -> Result<()> {
    let response = client.call(&GET_STATUS, &GetStatusRequest::default())?;
    output.report(&status_text(&response, service), &response)
}

fn status_text(response: &GetStatusResponse, service: Option<&str>) -> String {
    let mut services = services(&response.nodes);
    if let Some(service) = service {
        services.retain(|name, _| *name == service);
    }
    let mut table = Table::new(&[
        "service",
        "nodes",
        "calls",
        "answered",
        "not run",
        "unknown",
        "admitted",
        "in flight",
        "limit",
        "queued",
        "shed",
        "draining",
        "quarantined",
    ]);
    let mut reasons = String::new();
    for (service, summary) in &services {
        table.row(summary.row(service));
        reasons += &summary.reasons_text(service);
    }
    let mut text = table.to_text();
    text += &reasons;
    text += &generations_text(&response.nodes);
    text += &node_lists_text(response);
    text
}

/// Sums the counts of each service over its own nodes and the nodes where its calls enter.
fn services(nodes: &[NodeStatus]) -> BTreeMap<&str, ServiceSummary> {
    let mut services = BTreeMap::<&str, ServiceSummary>::new();
    for node in nodes {
        services.entry(&node.service).or_default().add_node(node);
        for entry in &node.entries {
            services.entry(&entry.service).or_default().add_entry(entry);
        }
    }
    services
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
