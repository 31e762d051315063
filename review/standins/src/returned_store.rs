//! In a drill the store comes back from a copy some seconds old, and gives revisions out again. The
//! operator's next change takes a key away. Requests with that key are sent later than `revoke`
//! after its acknowledgement.

use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::backend::Backend;
use crate::client::{send, Request};
use crate::configuration::{configuration, Route};
use crate::node::{free_address, Node, NodeOptions};
use crate::store::Store;
use crate::{Case, Trouble};

const REVOKE: Duration = Duration::from_secs(5);
const AWAY: Duration = Duration::from_millis(1_500);
const ZONES: [&str; 3] = ["salt-lake", "howrah", "dum-dum"];
const KEPT_KEY: &str = "key-of-the-counter";
const REVOKED_KEY: &str = "key-of-a-lost-phone";

pub fn run(case: &Case) -> Option<String> {
    let record = &case.record;
    let store_address = free_address();
    let store = Store::start(store_address, record);
    let both = [KEPT_KEY, REVOKED_KEY];
    let first = [book_route()];
    let more = [book_route(), status_route()];
    store.write_configuration(&configuration(1, &first, &["bookings"], &both));
    let nodes: Vec<_> = (ZONES.iter().enumerate())
        .map(|(index, zone)| {
            let name = format!("node-{}", index + 1);
            let options = NodeOptions {
                name: &name,
                service: "bookings",
                zone,
                store: store_address,
                revoke: Some("5000ms"),
            };
            Node::start(&case.folder, &options, record)
        })
        .collect();
    let backends: Vec<_> = (nodes.iter().zip(ZONES).enumerate())
        .map(|(index, (node, zone))| {
            let name = format!("b{}", index + 1);
            Backend::start(
                &name,
                "bookings",
                zone,
                node.application,
                node.control_plane,
                record,
            )
        })
        .collect();
    nodes.iter().for_each(Node::wait_until_ready);
    for backend in &backends {
        backend.announce();
        backend.announce_regularly();
    }
    sleep(Duration::from_secs(6));
    let copy = store.copy();
    let copied_at = store.revision();
    sleep(Duration::from_millis(2_500));
    // Planned work: the third machine is stopped, and says so in the store.
    nodes[2].terminate();
    let until = Instant::now() + Duration::from_secs(2);
    while store.revision() == copied_at && Instant::now() < until {
        sleep(Duration::from_millis(20));
    }
    let with_more_routes = configuration(2, &more, &["bookings"], &both);
    store.write_configuration(&with_more_routes);
    sleep(Duration::from_millis(800));
    let without_key = configuration(3, &more, &["bookings"], &[KEPT_KEY]);
    let acknowledged = if case.trouble == Trouble::Full {
        store.go_away();
        sleep(AWAY);
        let acknowledged = store.come_back(copy, &[&with_more_routes, &without_key]);
        acknowledged[1]
    } else {
        sleep(AWAY);
        store.write_configuration(&without_key)
    };
    let mut broken = Vec::new();
    for number in 0.. {
        let after = acknowledged.elapsed();
        if after > REVOKE * 3 {
            break;
        }
        for (index, node) in nodes[..2].iter().enumerate() {
            for (word, key) in [("kept", KEPT_KEY), ("revoked", REVOKED_KEY)] {
                let id = format!("{word}-{}-{number}", index + 1);
                let path = format!("/book/{id}");
                let request = Request {
                    id: &id,
                    method: "POST",
                    path: &path,
                    key: Some(key),
                    deadline_ms: 2_000,
                };
                let after = acknowledged.elapsed();
                let (status, _) = send(node.outbound, &request, record);
                let has_run = !record.runs_of(&id).is_empty();
                if word == "revoked" && has_run && after > REVOKE {
                    broken.push(format!(
                        "CONFIG: {id}, sent {:.1} s after its key was taken away, ran and was answered {status}",
                        after.as_secs_f64()
                    ));
                }
            }
        }
        sleep(Duration::from_millis(500));
    }
    let count = broken.len();
    broken.truncate(3);
    (count > 0).then(|| format!("{count} requests; {}", broken.join("; ")))
}

fn book_route() -> Route<'static> {
    Route {
        name: "r-book",
        prefix: "/book/",
        kind: "unsafe",
        service: "bookings",
        attempts: 2,
    }
}

fn status_route() -> Route<'static> {
    Route {
        name: "r-status",
        prefix: "/status/",
        kind: "safe",
        service: "bookings",
        attempts: 2,
    }
}
