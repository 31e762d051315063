//! A backend turns every second request away without running it. An extra copy of such an answer
//! arrives late: while the same request, sent to the backend again, runs there.

use std::thread::sleep;
use std::time::Duration;

use crate::backend::Backend;
use crate::configuration::{configuration, Route};
use crate::load::Load;
use crate::node::{free_address, Node, NodeOptions};
use crate::store::Store;
use crate::{Case, Trouble};

const ROUNDS: usize = 3;
/// At most 10 s in the users' site files.
const SHED_TIME: Duration = Duration::from_secs(6);

pub fn run(case: &Case) -> Option<String> {
    let record = &case.record;
    let store_address = free_address();
    let store = Store::start(store_address, record);
    let route = Route {
        name: "r-book",
        prefix: "/book/",
        kind: "unsafe",
        service: "bookings",
        attempts: 3,
    };
    store.write_configuration(&configuration(1, &[route], &["bookings"], &[]));
    let zone = "salt-lake";
    let options = NodeOptions {
        name: "node-1",
        service: "bookings",
        zone,
        store: store_address,
        revoke: None,
    };
    let node = Node::start(&case.folder, &options, record);
    let backend = Backend::start(
        "b1",
        "bookings",
        zone,
        node.application,
        node.control_plane,
        record,
    );
    node.wait_until_ready();
    backend.announce();
    backend.announce_regularly();
    sleep(Duration::from_secs(2));
    let load = Load::start(node.outbound, record);
    for _ in 0..ROUNDS {
        sleep(Duration::from_secs(3));
        if case.trouble != Trouble::None {
            backend.shed(SHED_TIME);
        }
        if case.trouble == Trouble::Full {
            backend.garble();
        }
        sleep(SHED_TIME);
    }
    load.end(record)
}
