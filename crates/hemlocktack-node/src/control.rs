//! Health, readiness and metrics endpoints on the control address.

use std::sync::Arc;

use hemlocktack_protocol::NodeState;
use rocket::http::Status;
use rocket::{Route, State, get, routes};

use crate::node::Node;
use crate::telemetry;

/// Returns the routes for orchestrators and metric scrapers.
pub(crate) fn routes() -> Vec<Route> {
    routes![health, ready, metrics]
}

#[get("/health")]
fn health() -> &'static str {
    "ok\n"
}

/// Reports ready once a configuration is active and the node accepts calls.
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
