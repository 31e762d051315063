//! Answers to what other nodes ask over a link.

use std::sync::Arc;

use hemlocktack_protocol::frame;

use super::connection::Connection;
use crate::configuration;
use crate::node::Node;
use crate::telemetry;

/// Answers a question; what is none is passed over.
pub(super) async fn answer(node: &Arc<Node>, connection: &Connection, question: frame::Body) {
    let answer = match question {
        frame::Body::StatusPull(pull) => frame::Body::Status(hemlocktack_protocol::NodeStatus {
            query_id: pull.query_id,
            ..telemetry::status(node)
        }),
        frame::Body::ConfigurationPull(pull) => match configuration::newer_than(node, pull) {
            Some(document) => frame::Body::Configuration(document),
            None => return,
        },
        _ => return,
    };
    connection.send(answer).await;
}
