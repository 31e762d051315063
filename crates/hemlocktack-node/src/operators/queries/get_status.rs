//! `GetStatus`: collects the status of each node.

use std::sync::Arc;

use hemlocktack_protocol::{GetStatusRequest, GetStatusResponse, StatusPull, frame};

use crate::node::Node;
use crate::operators::fan_out::query_others;
use crate::telemetry;

pub(in crate::operators) async fn run(
    node: &Arc<Node>,
    request: GetStatusRequest,
) -> GetStatusResponse {
    let is_selected = |service: &str| request.service.is_empty() || request.service == service;
    let query = |query_id| frame::Body::StatusPull(StatusPull { query_id });
    let others = query_others(node, |member| is_selected(&member.service), query).await;
    let mut nodes = Vec::new();
    if is_selected(&node.settings.service) {
        nodes.push(telemetry::status(node));
    }
    for body in others.bodies {
        if let frame::Body::Status(status) = body {
            nodes.push(status);
        }
    }
    nodes.sort_by(|one, other| one.node_id.cmp(&other.node_id));
    GetStatusResponse {
        nodes,
        silent_node_ids: others.silent_node_ids,
    }
}
