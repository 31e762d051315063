//! Health, readiness and metrics on the control address.

use std::sync::Arc;

use hemlocktack_protocol::NodeState;
use rocket::http::Status;
use rocket::{Route, State, get, routes};

use crate::node::Node;
use crate::telemetry;

/// Routes for orchestrators and scrapers.
pub(crate) fn routes() -> Vec<Route> {
    routes![health, ready, metrics]
}

#[get("/health")]
fn health() -> &'static str {
    "ok\n"
}

/// Ready means: a configuration is in force and calls are taken.
#[get("/ready")]
fn ready(node: &State<Arc<Node>>) -> (Status, String) {
    let state = node.state();
    let status = if state == NodeState::Ready {
        Status::Ok
    } else {
        Status::ServiceUnavailable
    };
    let name: &'static str = state.into();
    (status, format!("{name}\n"))
}

#[get("/metrics")]
fn metrics(node: &State<Arc<Node>>) -> String {
    telemetry::metrics_text(node)
}
