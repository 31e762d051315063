//! The upstream's word about its load: a hint that may lag or lie.

use std::sync::Arc;
use std::time::Duration;

use hemlocktack_protocol::UpstreamState;
use serde::Deserialize;

use crate::node::Node;

/// Reports lag anyway; one a second costs the upstream nothing.
const ASK_EVERY: Duration = Duration::from_secs(1);
/// A report that takes longer is older than the node's own count.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
const REPORT_LIMIT_BYTES: usize = 4 << 10;

/// One report. Upstreams may tell more than the node reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
struct LoadReport {
    in_flight: u32,
    slots: u32,
}

/// What stands for a report that did not come: an old one must not stay for ever.
const NO_REPORT: LoadReport = LoadReport {
    in_flight: 0,
    slots: 1,
};

/// Asks the upstream until the node has stopped.
pub(crate) async fn poll_load(node: Arc<Node>) {
    while !node.signals.stopped.is_cancelled() {
        tokio::time::sleep(ASK_EVERY).await;
        ask(&node).await;
    }
}

/// Asks once, if the upstream has said where.
async fn ask(node: &Node) {
    if !matches!(
        node.upstream_state(),
        UpstreamState::Ready | UpstreamState::Cold
    ) {
        return;
    }
    let Some(announcement) = node.announcement() else {
        return;
    };
    let Some(path) = &announcement.load_path else {
        return;
    };
    let url = format!("http://{}{path}", announcement.address);
    let report = node
        .upstream_client
        .read(&url, REPORT_TIMEOUT, REPORT_LIMIT_BYTES)
        .await
        .and_then(|body| serde_json::from_slice(&body).ok())
        .unwrap_or(NO_REPORT);
    node.admission_queue
        .with_admission(|admission| admission.report_load(report.in_flight, report.slots));
}
