//! A simultaneous restart of all nodes.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hemlocktack_fleet::membership::{Membership, MembershipAction};
use hemlocktack_protocol::Gossip;

use crate::support::{address, node, rng};

const NODES: u16 = 8;
/// Ticks of 100 ms within which all nodes must know each other.
const TICKS: u32 = 3;
const TICK: Duration = Duration::from_millis(100);

struct Datagram {
    from: SocketAddr,
    to: SocketAddr,
    gossip: Gossip,
}

/// After a power failure all processes start at the same moment, with the others' addresses from
/// the platform. Callers are refused until their node knows a node with an upstream; contacting one
/// address per second took more than a second.
#[test]
fn nodes_that_start_together_discover_each_other_at_once() {
    let began = Instant::now();
    let mut rng = rng();
    let mut nodes: Vec<Membership> = (0..NODES).map(|number| node(number, began)).collect();
    let mut in_transit = VecDeque::new();
    for membership in &mut nodes {
        membership.set_seeds((0..NODES).map(address).collect());
    }
    for tick in 0..TICKS {
        let now = began + TICK * tick;
        for (number, membership) in (0..NODES).zip(&mut nodes) {
            let actions = membership.tick(now, &mut rng);
            enqueue(&mut in_transit, address(number), actions);
        }
        while let Some(datagram) = in_transit.pop_front() {
            let number = datagram.to.port() - address(0).port();
            let receiver = &mut nodes[usize::from(number)];
            let actions = receiver.receive(now, datagram.from, datagram.gossip, &mut rng);
            enqueue(&mut in_transit, datagram.to, actions);
        }
    }
    let known: Vec<usize> = nodes.iter().map(|node| node.peers().len()).collect();
    assert_eq!(known, [usize::from(NODES) - 1; NODES as usize]);
}

fn enqueue(in_transit: &mut VecDeque<Datagram>, from: SocketAddr, actions: Vec<MembershipAction>) {
    for action in actions {
        if let MembershipAction::Send { to, gossip } = action {
            let gossip = *gossip;
            in_transit.push_back(Datagram { from, to, gossip });
        }
    }
}
