//! What the upstream tells the node beside it.

use std::sync::Arc;
use std::time::Duration;

use rocket::State;
use rocket::http::{ContentType, Status};
use rocket::{Route, post, routes};

use super::Announcement;
use crate::node::Node;

/// An upstream that has not renewed for three of these counts as absent.
pub(crate) const RENEWAL_INTERVAL: Duration = Duration::from_millis(1000);
/// Renewals that may be missed.
pub(crate) const MAX_MISSED_RENEWALS: u32 = 3;

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
    node.apply_announcement(announcement);
    let reply = serde_json::json!({ "renew_every_ms": RENEWAL_INTERVAL.as_millis() as u64 });
    (Status::Ok, (ContentType::JSON, reply.to_string()))
}

#[post("/upstream/drain")]
fn drain(node: &State<Arc<Node>>) -> Status {
    node.mark_upstream_draining();
    Status::Ok
}

fn refuse(message: &str) -> (Status, (ContentType, String)) {
    let reply = serde_json::json!({ "message": message });
    (Status::BadRequest, (ContentType::JSON, reply.to_string()))
}
