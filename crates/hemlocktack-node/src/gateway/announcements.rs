//! Handles announcements of the upstream and readiness probes.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hemlocktack_interface::{AnnouncedState, Health, Interface, UpstreamMessage, UpstreamReport};
use hemlocktack_protocol::{NodeState, Statement, UpstreamState};
use hemlocktack_telemetry::{Event, log_event};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};

use super::connection::RequestBody;
use super::server::untracked;
use super::tracked_body::TrackedBody;
use crate::freshness::boot_time;
use crate::node::Node;
use crate::upstream::{Announcement, HeardAnswer, MessageOrigin, heed_answer, says_leaving};

/// Limit of an announcement's body; announcements have a few hundred bytes.
const BODY_LIMIT_BYTES: usize = 16 << 10;
/// An upstream on the same machine answers within a millisecond, unless all its slots are
/// taken and the health check has to wait for one.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval of health checks while the upstream is unknown. Waiting for its next
/// announcement instead would take a second or two, in which the node refuses all calls.
const DISCOVERY_INTERVAL: Duration = Duration::from_millis(250);
/// Slots assumed until the upstream reports how many it has.
const DEFAULT_SLOTS: u32 = 8;

/// Answers an announcement or a readiness probe.
pub(super) async fn answer(
    node: Arc<Node>,
    interface: Interface,
    request: Request<RequestBody>,
) -> Response<TrackedBody> {
    let (head, body) = request.into_parts();
    if (interface.announcements.asks_readiness)(&head) {
        return untracked(readiness(&node));
    }
    let body = Limited::new(body, BODY_LIMIT_BYTES).collect().await;
    let body = body.map(|body| body.to_bytes()).unwrap_or_default();
    let message = match (interface.announcements.read)(&head, &body) {
        Ok(message) => message,
        Err(fault) => {
            log_event!(Event::AnnouncementMalformed, %fault);
            return untracked(bad_request(fault));
        }
    };
    handle_message(&node, interface, message).await;
    untracked((interface.announcements.write_acknowledgement)())
}

/// Reports ready while a configuration is active, the node is not stopping and it may admit keys,
/// if callers need them. Another node may have a newer proof of its configuration. An
/// unreachable platform or a silent upstream does not make the node unready: other nodes
/// would be no better off, so redirecting callers would not help.
fn readiness(node: &Node) -> Response<Bytes> {
    let mut response = Response::new(Bytes::new());
    if node.state() != NodeState::Ready || !node.can_admit_keys(boot_time()) {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

fn bad_request(fault: String) -> Response<Bytes> {
    let mut response = Response::new(Bytes::from(fault));
    *response.status_mut() = StatusCode::BAD_REQUEST;
    response
}

/// Applies a message of one start of the upstream, if that start is the current one or
/// becomes it.
async fn handle_message(node: &Arc<Node>, interface: Interface, message: UpstreamMessage) {
    let (upstream_start, started_unix_ms) = match &message {
        UpstreamMessage::Report(report) => (&report.upstream_start, report.started_unix_ms),
        UpstreamMessage::Leaving {
            upstream_start,
            started_unix_ms,
        } => (upstream_start, *started_unix_ms),
    };
    let origin = node
        .upstream_starts()
        .origin_of(upstream_start, started_unix_ms);
    let mut listening = None;
    match origin {
        MessageOrigin::Current => {}
        MessageOrigin::Earlier => return,
        MessageOrigin::Later => node.upstream_starts().set_current(upstream_start),
        MessageOrigin::Other => {
            listening = check_health(node, interface).await;
            if !set_current_if_listening(node, listening.as_ref(), upstream_start) {
                return;
            }
        }
    }
    node.set_upstream_started(started_unix_ms);
    match message {
        UpstreamMessage::Report(report) => apply_report(node, &report),
        UpstreamMessage::Leaving { .. } => mark_leaving(node),
    }
    if let Some(health) = listening {
        heed_health(node, health);
    }
}

/// Makes this start the current one unless a different start answers the health check;
/// returns whether it did.
fn set_current_if_listening(node: &Node, listening: Option<&Health>, upstream_start: &str) -> bool {
    let listening_start = listening.map(|health| health.upstream_start.as_str());
    let mut starts = node.upstream_starts();
    let becomes_current = starts.may_become_current(upstream_start, listening_start);
    if becomes_current {
        starts.set_current(upstream_start);
    }
    becomes_current
}

/// Heeds what a health check response of the current start said about the upstream.
fn heed_health(node: &Node, health: Health) {
    let start_number = node.upstream_starts().current_number();
    let heard = HeardAnswer {
        notice: health.notice,
        request_sent_at: Instant::now(),
        read_at: Instant::now(),
        is_complete: false,
    };
    heed_answer(node, start_number, "", &heard);
}

fn apply_report(node: &Node, report: &UpstreamReport) {
    if *report.service != *node.settings.service {
        log_event!(
            Event::AnnouncementMalformed,
            fault = "the announcement is for another service"
        );
        return;
    }
    let is_newer = node.upstream_starts().is_newer(report.sequence);
    if !is_newer {
        return;
    }
    if report.state == AnnouncedState::Draining {
        return mark_leaving(node);
    }
    if node.upstream_starts().has_left() {
        return;
    }
    let is_cold = report.slow_start_left > Duration::ZERO;
    announce(
        node,
        &report.upstream_start,
        report.address,
        report.slots,
        is_cold,
    );
}

fn mark_leaving(node: &Node) {
    let start_number = node.upstream_starts().current_number();
    node.mark_upstream_leaving(start_number);
}

fn announce(
    node: &Node,
    upstream_start: &str,
    address: std::net::SocketAddr,
    slots: u32,
    cold: bool,
) {
    let (start_number, started_unix_ms) = {
        let starts = node.upstream_starts();
        (starts.current_number(), starts.started_unix_ms())
    };
    node.apply_announcement(Announcement {
        // Only this node connects to the upstream, so the address in the settings, if there
        // is one, takes precedence.
        address: node.settings.upstream_address.unwrap_or(address),
        slots,
        connections: node.connection_limit(),
        cold,
        load_path: None,
        upstream_start: Some(upstream_start.into()),
        started_unix_ms,
        start_number,
    });
}

/// Sends health checks to the upstream until it is known, so that a restarted node does not
/// have to wait for the next announcement.
///
/// Without this, if all nodes are killed at once and restart, each refuses its callers
/// until its upstream announces itself again. An unhealthy upstream is not used: it may be
/// leaving, and may have announced that to the previous process of this node.
pub(super) async fn discover_upstream(node: Arc<Node>, interface: Interface) {
    if node.settings.upstream_address.is_none() {
        return;
    }
    while !node.signals.stopped.is_cancelled() && node.upstream_state() == UpstreamState::Absent {
        if let Some(health) = check_health(&node, interface).await {
            announce_discovered(&node, health);
        }
        tokio::time::sleep(DISCOVERY_INTERVAL).await;
    }
}

fn announce_discovered(node: &Node, health: Health) {
    {
        let mut starts = node.upstream_starts();
        let is_leaving = says_leaving(&health.notice);
        if !health.is_healthy || is_leaving || starts.has_current() {
            return;
        }
        starts.set_current(&health.upstream_start);
    }
    let Some(address) = node.settings.upstream_address else {
        return;
    };
    let reported_slots = match health.notice.load {
        Statement::Said(load) => load.slots,
        Statement::Absent | Statement::Malformed(_) => None,
    };
    let slots = reported_slots.unwrap_or(DEFAULT_SLOTS);
    announce(node, &health.upstream_start, address, slots, false);
    heed_health(node, health);
}

async fn check_health(node: &Node, interface: Interface) -> Option<Health> {
    let address = node.settings.upstream_address?;
    let path = node.health_path(interface.upstreams.health_path);
    let deadline = Instant::now() + HEALTH_TIMEOUT;
    node.upstream_client
        .ask_health(address, &path, deadline)
        .await
}
