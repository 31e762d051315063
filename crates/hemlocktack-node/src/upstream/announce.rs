//! What the upstream tells the node beside it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rocket::State;
use rocket::http::{ContentType, Status};
use rocket::{Route, post, routes};
use serde::Deserialize;

use crate::node::Node;

/// An upstream that has not renewed for three of these counts as absent.
pub(crate) const RENEW_EVERY: Duration = Duration::from_millis(1000);
/// Renewals that may be missed.
pub(crate) const RENEWALS_MISSED_MAX: u32 = 3;

/// An upstream's word about itself.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Announcement {
    pub(crate) address: SocketAddr,
    /// Requests that it works on at once.
    pub(crate) slots: u32,
    /// Connections that it accepts.
    pub(crate) connections: u32,
    /// It has just started and is slower than it will be.
    #[serde(default)]
    pub(crate) cold: bool,
    /// Where it tells its load; a hint.
    #[serde(default)]
    pub(crate) load_path: Option<String>,
    /// Names its start, with an interface that has such names.
    #[serde(skip)]
    pub(crate) upstream_start: Option<Arc<str>>,
}

/// Routes of the upstream on the control address.
pub(crate) fn routes() -> Vec<Route> {
    routes![announce, drain]
}

#[post("/upstream/announce", data = "<body>")]
fn announce(node: &State<Arc<Node>>, body: Vec<u8>) -> (Status, (ContentType, String)) {
    let announcement: Announcement = match serde_json::from_slice(&body) {
        Ok(announcement) => announcement,
        Err(error) => return refuse(&error.to_string()),
    };
    if announcement.slots == 0 || announcement.connections == 0 {
        return refuse("slots and connections must be 1 or more");
    }
    let load_path = announcement.load_path.as_deref();
    if load_path.is_some_and(|path| !path.starts_with('/')) {
        return refuse("load_path begins with /");
    }
    node.upstream_announced(announcement);
    let reply = serde_json::json!({ "renew_every_ms": RENEW_EVERY.as_millis() as u64 });
    (Status::Ok, (ContentType::JSON, reply.to_string()))
}

#[post("/upstream/drain")]
fn drain(node: &State<Arc<Node>>) -> Status {
    node.upstream_drains();
    Status::Ok
}

fn refuse(message: &str) -> (Status, (ContentType, String)) {
    let reply = serde_json::json!({ "message": message });
    (Status::BadRequest, (ContentType::JSON, reply.to_string()))
}
