//! The backends of a service turn one request of eight away without running it. An extra copy of such
//! an answer arrives late: while the same request, sent to the backend again, runs there.

use std::thread::sleep;
use std::time::Duration;

use crate::backend::Backend;
use crate::configuration::{configuration, Route};
use crate::load::Load;
use crate::node::{free_address, Node, NodeOptions};
use crate::store::Store;
use crate::{Case, Trouble};

const ROUNDS: usize = 4;
const ZONES: [&str; 2] = ["salt-lake", "howrah"];
const CLIENTS: usize = 2;
/// 3 in 100 of the answers of a backend in 5 s.
const MOST_EXTRAS: u64 = 2;
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
    let nodes = [0, 1].map(|index| {
        let name = format!("node-{}", index + 1);
        let options = NodeOptions {
            name: &name,
            service: "bookings",
            zone: ZONES[index],
            store: store_address,
            revoke: None,
        };
        Node::start(&case.folder, &options, record)
    });
    let backends = [0, 1].map(|index| {
        let (node, name) = (&nodes[index], format!("b{}", index + 1));
        let (application, control_plane) = (node.application, node.control_plane);
        Backend::start(
            &name,
            "bookings",
            ZONES[index],
            application,
            control_plane,
            record,
        )
    });
    nodes.iter().for_each(Node::wait_until_ready);
    for backend in &backends {
        backend.announce();
        backend.announce_regularly();
    }
    sleep(Duration::from_secs(2));
    let load = Load::start(nodes[0].outbound, CLIENTS, record);
    for _ in 0..ROUNDS {
        sleep(Duration::from_secs(3));
        if case.trouble != Trouble::None {
            backends.iter().for_each(|backend| backend.shed(SHED_TIME));
        }
        if case.trouble == Trouble::Full {
            backends[0].garble(MOST_EXTRAS);
        }
        sleep(SHED_TIME);
        backends[0].end_garble();
    }
    load.end(record)
}
