//! Polling of the upstream's load reports, a hint that may be late or wrong.

use std::sync::Arc;
use std::time::Duration;

use hemlocktack_protocol::UpstreamState;
use serde::Deserialize;

use crate::node::Node;

/// Polling interval. Reports lag anyway, and one per second costs the upstream nothing.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of a report. One that takes longer is older than the node's own count.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
const REPORT_LIMIT_BYTES: usize = 4 << 10;

/// One load report. Other fields that upstreams send are ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
struct LoadReport {
    in_flight: u32,
    slots: u32,
}

/// Used in place of a missing report, so that an old one does not stay in effect.
const NO_REPORT: LoadReport = LoadReport {
    in_flight: 0,
    slots: 1,
};

/// Polls the upstream's load until the node has stopped.
pub(crate) async fn poll_load(node: Arc<Node>) {
    while !node.signals.stopped.is_cancelled() {
        tokio::time::sleep(POLL_INTERVAL).await;
        poll_once(&node).await;
    }
}

/// Reads one load report, if the upstream has announced a path for it.
async fn poll_once(node: &Node) {
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
