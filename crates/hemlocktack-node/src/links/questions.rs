//! Answers to what other nodes ask over a link.

use std::sync::Arc;

use hemlocktack_protocol::{DrainOrderAccepted, NodeStatus, Spans, frame};

use super::connection::Connection;
use crate::configuration;
use crate::node::Node;
use crate::telemetry;

/// Answers a question; what is none is passed over.
pub(super) async fn answer(node: &Arc<Node>, connection: &Connection, question: frame::Body) {
    let answer = match question {
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
        frame::Body::ConfigurationPull(pull) => {
            frame::Body::Configuration(configuration::answer_pull(node, pull))
        }
        _ => return,
    };
    connection.send(answer).await;
}
