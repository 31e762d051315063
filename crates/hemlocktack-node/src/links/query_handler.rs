//! Answers to queries that other nodes send over a link.

use std::sync::Arc;

use hemlocktack_protocol::{DrainOrderAccepted, NodeStatus, Spans, frame};

use super::connection::Connection;
use crate::configuration;
use crate::node::Node;
use crate::quotas;
use crate::telemetry;

/// Answers a query; ignores any other frame.
pub(super) async fn answer_query(node: &Arc<Node>, connection: &Connection, query: frame::Body) {
    let answer = match query {
        frame::Body::StatusPull(pull) => frame::Body::Status(NodeStatus {
            query_id: pull.query_id,
            ..telemetry::status(node)
        }),
        frame::Body::SpansPull(pull) => frame::Body::Spans(Spans {
            query_id: pull.query_id,
            spans: telemetry::spans_of(node, &pull.trace_id),
        }),
        frame::Body::DrainOrder(order) => {
            node.request_stop();
            frame::Body::DrainOrderAccepted(DrainOrderAccepted {
                query_id: order.query_id,
            })
        }
        frame::Body::ConfigurationPull(pull) => frame::Body::Configuration(
            configuration::answer_pull(node, pull, connection.peer_incarnation),
        ),
        frame::Body::QuotaReport(report) => {
            let from = connection.peer_incarnation;
            frame::Body::QuotaGrant(quotas::answer_report(node, from, &report))
        }
        _ => return,
    };
    connection.send(answer).await;
}
