//! Log lines about gossip datagrams that a node refuses.

#![allow(clippy::unwrap_used)]

#[allow(dead_code)]
mod support;

use std::net::UdpSocket;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use hemlocktack_fleet::keys::{FleetKeys, MacPurpose};
use hemlocktack_fleet::membership::seal_datagram;
use hemlocktack_protocol::{Gossip, SyncPull, gossip};
use support::RunningNode;

const FLEET_KEY: &str = "a fleet key for tests, long enough";

/// Returns an undecodable message with a valid MAC of the keys.
fn signed_undecodable_message(keys: &FleetKeys) -> Vec<u8> {
    let message = [0xff; 20];
    let mut datagram = message.to_vec();
    datagram.extend_from_slice(&keys.sign(MacPurpose::Gossip, &[&message]));
    datagram
}

/// Returns a pull with a valid MAC whose node id is longer than any node may have.
fn signed_overlong_id(keys: &FleetKeys) -> Vec<u8> {
    let pull = Gossip {
        body: Some(gossip::Body::SyncPull(SyncPull {
            after_node_id: "a".repeat(300),
        })),
        ..Gossip::default()
    };
    let sign = |message: &[u8]| Bytes::copy_from_slice(&keys.sign(MacPurpose::Gossip, &[message]));
    seal_datagram(&pull, sign).to_vec()
}

fn refused_count_in(line: &str) -> u64 {
    let (_, rest) = line.split_once("refused_count=").unwrap();
    rest.split(' ').next().unwrap().parse().unwrap()
}

/// A node with an old key or of another version is excluded from the fleet. Guards against
/// logs that say nothing of its datagrams, and against one log line for each of them.
#[test]
fn refused_datagrams_are_logged_at_a_limited_rate() {
    const ROUNDS: u64 = 20;
    let address = hemlocktack_testkit::next_address();
    let node = RunningNode::start(&[&format!("--gossip-address={address}")]);
    node.line_with("number=101");
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let keys = FleetKeys::new(FLEET_KEY.as_bytes(), None).unwrap();
    let foreign_keys = FleetKeys::new(FLEET_KEY.repeat(2).as_bytes(), None).unwrap();
    let datagrams = [
        b"short".to_vec(),
        signed_undecodable_message(&foreign_keys),
        signed_undecodable_message(&keys),
        signed_overlong_id(&keys),
    ];
    for datagram in datagrams
        .iter()
        .cycle()
        .take(datagrams.len() * ROUNDS as usize)
    {
        socket.send_to(datagram, address).unwrap();
    }
    // The throttle permits another line by then; it counts all datagrams since the first line.
    thread::sleep(Duration::from_millis(1_500));
    socket.send_to(&datagrams[0], address).unwrap();
    let sent = datagrams.len() as u64 * ROUNDS + 1;
    let (mut logged, mut lines) = (0, 0);
    while logged < sent {
        logged += refused_count_in(&node.line_with("number=409"));
        lines += 1;
    }
    assert_eq!(logged, sent);
    assert!(lines <= sent / 10, "{lines} lines for {sent} datagrams");
}
