//! What the upstream beside the node says, and whether the node is ready.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hemlocktack_interface::{AnnouncedState, Health, Interface, UpstreamMessage, UpstreamReport};
use hemlocktack_protocol::{NodeState, UpstreamState};
use hemlocktack_telemetry::{Event, log_event};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;

use super::server::untracked;
use super::tracked_body::TrackedBody;
use crate::node::Node;
use crate::upstream::{Announcement, MessageOrigin};

/// Announcements are a few hundred bytes.
const BODY_LIMIT_BYTES: usize = 16 << 10;
/// An upstream on the same machine answers within a millisecond; one that is
/// full makes the question wait for a slot.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(300);
/// Pause between two questions to an upstream that is not known yet. Waiting
/// for its own next word would take a second or two in which its node refuses
/// everybody.
const FIND_PAUSE: Duration = Duration::from_millis(250);
/// Slots taken for granted until the upstream says how many it has.
const SLOTS_UNSAID: u32 = 8;

/// Answers an announcement or a question for readiness.
pub(super) async fn answer(
    node: Arc<Node>,
    interface: Interface,
    request: Request<Incoming>,
) -> Response<TrackedBody> {
    let (head, body) = request.into_parts();
    if (interface.announcements.asks_readiness)(&head) {
        return untracked(readiness(&node));
    }
    let body = Limited::new(body, BODY_LIMIT_BYTES).collect().await;
    let body = body.map(|body| body.to_bytes()).unwrap_or_default();
    let word = match (interface.announcements.read)(&head, &body) {
        Ok(word) => word,
        Err(fault) => {
            log_event!(Event::AnnouncementMalformed, %fault);
            return untracked(refuse(fault));
        }
    };
    take(&node, interface, word).await;
    untracked((interface.announcements.write_acknowledgement)())
}

/// Ready means: a configuration is in force and the node is not stopping. That
/// the platform is away or the upstream silent is no reason to send callers
/// elsewhere: the other nodes would see the same.
fn readiness(node: &Node) -> Response<Bytes> {
    let mut response = Response::new(Bytes::new());
    if node.state() != NodeState::Ready {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

fn refuse(fault: String) -> Response<Bytes> {
    let mut response = Response::new(Bytes::from(fault));
    *response.status_mut() = StatusCode::BAD_REQUEST;
    response
}

/// Takes the word of one start of the upstream, if it is the one that listens.
async fn take(node: &Arc<Node>, interface: Interface, word: UpstreamMessage) {
    let (upstream_start, started_unix_ms) = match &word {
        UpstreamMessage::Report(report) => (&report.upstream_start, report.started_unix_ms),
        UpstreamMessage::Leaving {
            upstream_start,
            started_unix_ms,
        } => (upstream_start, *started_unix_ms),
    };
    let origin = node
        .upstream_starts()
        .origin_of(upstream_start, started_unix_ms);
    match origin {
        MessageOrigin::Current => {}
        MessageOrigin::Earlier => return,
        MessageOrigin::Later => node.upstream_starts().set_current(upstream_start),
        MessageOrigin::Other => {
            if !follow_if_it_listens(node, interface, upstream_start).await {
                return;
            }
        }
    }
    node.upstream_starts().set_started(started_unix_ms);
    match word {
        UpstreamMessage::Report(report) => take_report(node, &report),
        UpstreamMessage::Leaving { .. } => leave(node),
    }
}

async fn follow_if_it_listens(node: &Node, interface: Interface, upstream_start: &str) -> bool {
    let listens = ask_health(node, interface).await;
    let listens = listens
        .as_ref()
        .map(|health| health.upstream_start.as_str());
    let mut starts = node.upstream_starts();
    let follows = starts.may_become_current(upstream_start, listens);
    if follows {
        starts.set_current(upstream_start);
    }
    follows
}

fn take_report(node: &Node, report: &UpstreamReport) {
    if *report.service != *node.settings.service {
        log_event!(
            Event::AnnouncementMalformed,
            fault = "it is of another service"
        );
        return;
    }
    let is_newer = node.upstream_starts().is_newer(report.sequence);
    if !is_newer {
        return;
    }
    if report.state == AnnouncedState::Draining {
        return leave(node);
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

fn leave(node: &Node) {
    node.upstream_starts().mark_left();
    node.mark_upstream_draining();
}

fn announce(
    node: &Node,
    upstream_start: &str,
    address: std::net::SocketAddr,
    slots: u32,
    cold: bool,
) {
    node.apply_announcement(Announcement {
        // Only its own node reaches the upstream, under the address in the settings.
        address: node.settings.upstream_address.unwrap_or(address),
        slots,
        connections: node.connection_limit(),
        cold,
        load_path: None,
        upstream_start: Some(upstream_start.into()),
        start_number: node.upstream_starts().current_number(),
    });
}

/// Asks the upstream who it is until its node knows it.
///
/// Failure: all nodes are killed at once and start again; each refuses its
/// callers until its upstream's next announcement. An upstream that says it is
/// not well may be leaving, and its word to the start before this one binds.
pub(super) async fn find_upstream(node: Arc<Node>, interface: Interface) {
    if node.settings.upstream_address.is_none() {
        return;
    }
    while !node.signals.stopped.is_cancelled() && node.upstream_state() == UpstreamState::Absent {
        if let Some(health) = ask_health(&node, interface).await {
            found(&node, &health);
        }
        tokio::time::sleep(FIND_PAUSE).await;
    }
}

fn found(node: &Node, health: &Health) {
    {
        let mut starts = node.upstream_starts();
        if !health.is_healthy || starts.has_current() {
            return;
        }
        starts.set_current(&health.upstream_start);
    }
    let Some(address) = node.settings.upstream_address else {
        return;
    };
    let slots = health.slots.unwrap_or(SLOTS_UNSAID);
    announce(node, &health.upstream_start, address, slots, false);
}

async fn ask_health(node: &Node, interface: Interface) -> Option<Health> {
    let address = node.settings.upstream_address?;
    let path = node.health_path(interface.upstreams.health_path);
    let deadline = Instant::now() + HEALTH_TIMEOUT;
    node.upstream_client
        .ask_health(address, &path, deadline)
        .await
}
