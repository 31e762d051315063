//! Announcements that the upstream sends to its node.

use std::sync::Arc;
use std::time::Duration;

use rocket::State;
use rocket::http::{ContentType, Status};
use rocket::{Route, post, routes};

use super::{Announcement, MessageOrigin};
use crate::node::Node;

/// Interval in which an upstream renews its announcement. Its lease expires after three missed
/// renewals, and it counts as absent.
pub(crate) const RENEWAL_INTERVAL: Duration = Duration::from_millis(1000);
/// Missed renewals after which an upstream counts as absent.
pub(crate) const MAX_MISSED_RENEWALS: u32 = 3;

/// Returns the upstream's routes on the control address.
pub(crate) fn routes() -> Vec<Route> {
    routes![announce, drain]
}

#[post("/upstream/announce", data = "<body>")]
fn announce(node: &State<Arc<Node>>, body: Vec<u8>) -> (Status, (ContentType, String)) {
    let mut announcement: Announcement = match serde_json::from_slice(&body) {
        Ok(announcement) => announcement,
        Err(error) => return bad_request(&error.to_string()),
    };
    if announcement.slots == 0 || announcement.connections == 0 {
        return bad_request("slots and connections must be 1 or more");
    }
    let load_path = announcement.load_path.as_deref();
    if load_path.is_some_and(|path| !path.starts_with('/')) {
        return bad_request("load_path begins with /");
    }
    announcement.start_number = start_number(node, &announcement);
    // A start that is leaving stays so, even if it still announces itself as cold.
    let names_start = announcement.upstream_start.is_some();
    if !names_start || !node.upstream_starts().has_left() {
        node.apply_announcement(announcement);
    }
    let reply = serde_json::json!({ "renew_every_ms": RENEWAL_INTERVAL.as_millis() as u64 });
    (Status::Ok, (ContentType::JSON, reply.to_string()))
}

/// Returns the number of the upstream's start; another id is that of another start.
fn start_number(node: &Node, announcement: &Announcement) -> u64 {
    let mut starts = node.upstream_starts();
    if let Some(id) = &announcement.upstream_start
        && starts.origin_of(id, None) == MessageOrigin::Other
    {
        starts.set_current(id);
    }
    starts.current_number()
}

#[post("/upstream/drain")]
fn drain(node: &State<Arc<Node>>) -> Status {
    let start_number = node.upstream_starts().current_number();
    node.mark_upstream_leaving(start_number);
    Status::Ok
}

fn bad_request(message: &str) -> (Status, (ContentType, String)) {
    let reply = serde_json::json!({ "message": message });
    (Status::BadRequest, (ContentType::JSON, reply.to_string()))
}
