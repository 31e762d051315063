//! Announces the upstream to its node, renews the announcement and reports a drain.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::Instant;

use crate::upstream::Shared;

const RETRY_INTERVAL: Duration = Duration::from_millis(100);
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Announces the upstream and renews the announcement until the task is aborted. Sends nothing while
/// the upstream is draining or crashed, or announcements are switched off.
pub(crate) async fn renew_announcement(shared: Arc<Shared>, address: SocketAddr) {
    let Some(node_control) = shared.settings.node_control else {
        return;
    };
    loop {
        let mut wait = RETRY_INTERVAL;
        if shared.announces() {
            let renew_every = announce(&shared, node_control, address).await;
            wait = renew_every.unwrap_or(RETRY_INTERVAL);
        }
        tokio::time::sleep(wait).await;
    }
}

async fn announce(
    shared: &Shared,
    node_control: SocketAddr,
    address: SocketAddr,
) -> Option<Duration> {
    let body = json!({
        "address": address.to_string(),
        "slots": shared.settings.slots,
        "connections": shared.settings.connections,
        "cold": shared.is_cold(),
        "load_path": "/load",
    });
    let answer = shared
        .http
        .post(format!("http://{node_control}/upstream/announce"))
        .timeout(CALL_TIMEOUT)
        .json(&body)
        .send()
        .await
        .ok()?
        .error_for_status()
        .ok()?;
    let answer: Value = answer.json().await.ok()?;
    shared
        .counters
        .announcements
        .fetch_add(1, Ordering::Relaxed);
    answer["renew_every_ms"].as_u64().map(Duration::from_millis)
}

pub(crate) async fn drain(shared: &Shared) {
    shared.draining.store(true, Ordering::Relaxed);
    let Some(node_control) = shared.settings.node_control else {
        return;
    };
    let order = shared
        .http
        .post(format!("http://{node_control}/upstream/drain"))
        .timeout(CALL_TIMEOUT);
    let _ = order.send().await;
}

impl Shared {
    fn announces(&self) -> bool {
        let silent = self.draining.load(Ordering::Relaxed) || self.crashed.load(Ordering::Relaxed);
        !silent && self.switches.borrow().announce
    }

    pub(crate) fn is_cold(&self) -> bool {
        let cold = Duration::from_millis(self.switches.borrow().cold_ms);
        self.started_at.borrow().elapsed() < cold
    }

    pub(crate) fn restart(&self) {
        self.started_at.send_replace(Instant::now());
        self.draining.store(false, Ordering::Relaxed);
        self.crashed.store(false, Ordering::Relaxed);
        if let Some(front) = &self.front {
            front.restore();
        }
    }
}
