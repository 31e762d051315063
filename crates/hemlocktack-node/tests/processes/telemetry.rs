//! Traces and metrics of running nodes.

use std::collections::BTreeSet;

use serde_json::Value;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

use crate::harness::{Fleet, Node, Plan, wait_until};

const TRACE_ID: &str = "0af7651916cd43dd8448eb211c80319c";
const TRACEPARENT: &str = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
const METRICS_PAGE: &str = include_str!("../../../../docs/METRICS.md");

/// A sampled request passes through two services. All its spans, of every hop and every wait, are
/// found under the caller's trace id through any node.
#[tokio::test(flavor = "multi_thread")]
async fn a_chain_is_explained_hop_by_hop() {
    let listings = Plan::new("listings", 1).with_upstream_flags(&["--deeper", "GET diaries/slots"]);
    let fleet = Fleet::start(&[listings, Plan::new("diaries", 1)]).await;
    fleet.wait_until_known().await;
    let headers = [("traceparent", TRACEPARENT)];
    let caller = fleet.caller(1);
    let reply = caller
        .send(reqwest::Method::GET, "listings/flats", &headers, "")
        .await;
    assert!(reply.is_answered(), "{reply:?}");
    let operator = fleet.operator(0, "asha");
    wait_until("the spans of the chain have ended", || async {
        let explained = operator.run(&["explain", TRACE_ID], "").await;
        span_names(&explained.report).len() == 10
    })
    .await;
    let explained = operator.run(&["explain", TRACE_ID], "").await;
    let spans = span_names(&explained.report);
    insta::assert_snapshot!(spans.into_iter().collect::<Vec<_>>().join("\n"));
}

fn span_names(report: &Value) -> BTreeSet<String> {
    let spans = report["spans"].as_array().into_iter().flatten();
    let name = |span: &Value| {
        let text = |field: &str| span[field].as_str().unwrap_or("-").to_owned();
        format!("{} {} {}", text("nodeId"), text("name"), text("outcome"))
    };
    spans.map(name).collect()
}

/// A refused request that is not sampled is found by the trace id in its answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_refused_request_is_explained() {
    let fleet = Fleet::start(&[Plan::new("diaries", 2)]).await;
    fleet.wait_until_known().await;
    let url = format!("http://{}/listings/flats?name=asha", fleet.nodes[0].callers);
    let answer = reqwest::get(url).await.unwrap();
    let traceparent = answer.headers()["traceparent"].to_str().unwrap();
    let trace_id = traceparent.split('-').nth(1).unwrap();
    let operator = fleet.operator(1, "asha");
    let explained = operator.run(&["explain", trace_id], "").await;
    let span = &explained.report["spans"][0];
    assert_eq!(span["reason"], "REASON_NO_UPSTREAM", "{explained:?}");
    assert_eq!(
        span["detail"], "GET /listings/flats",
        "the query may hold personal data"
    );
}

/// Sampled spans are sent to the collector in the settings.
#[tokio::test(flavor = "multi_thread")]
async fn spans_go_to_the_collector() {
    let collector = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let endpoint = format!("http://{}", collector.local_addr().unwrap());
    let mut fleet = Fleet::start(&[Plan::new("diaries", 1)]).await;
    let position = fleet.add(&Plan::new("listings", 1), 1);
    let mut options = fleet.nodes[position].options.clone();
    options.id = "listings-2".to_owned();
    options.flags = vec!["--otlp-endpoint".to_owned(), endpoint];
    fleet.nodes[position] = Node::start(options);
    fleet.wait_until_serving().await;
    let headers = [("traceparent", TRACEPARENT)];
    let caller = fleet.caller(position);
    caller
        .send(reqwest::Method::GET, "diaries/slots", &headers, "")
        .await;
    let (mut stream, _) = collector.accept().await.unwrap();
    let mut request_line = [0; 23];
    stream.read_exact(&mut request_line).await.unwrap();
    assert_eq!(&request_line, b"POST /v1/traces HTTP/1.");
}

#[tokio::test(flavor = "multi_thread")]
async fn the_page_lists_every_metric() {
    let fleet = Fleet::start(&[Plan::new("diaries", 1)]).await;
    let url = format!("http://{}/metrics", fleet.nodes[0].control);
    let text = reqwest::get(url).await.unwrap().text().await.unwrap();
    assert!(text.ends_with("# EOF\n"));
    let exposed = text
        .lines()
        .filter_map(exposed_metric)
        .collect::<BTreeSet<_>>();
    let listed = METRICS_PAGE
        .lines()
        .filter_map(listed_metric)
        .collect::<BTreeSet<_>>();
    assert_eq!(exposed, listed);
}

/// Name and meaning from a line such as `# HELP name Meaning.`.
fn exposed_metric(line: &str) -> Option<String> {
    let help = line.strip_prefix("# HELP ")?;
    let (name, meaning) = help.split_once(' ')?;
    Some(format!("{name}: {}", meaning.trim_end_matches('.')))
}

/// Name and meaning from a table row of the metrics page.
fn listed_metric(line: &str) -> Option<String> {
    let row = line.strip_prefix("| `hemlocktack_")?;
    let cells = row.split('|').map(str::trim).collect::<Vec<_>>();
    let name = cells[0].trim_end_matches('`');
    Some(format!("hemlocktack_{name}: {}", cells[3]))
}
