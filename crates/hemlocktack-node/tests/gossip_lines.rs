//! What a node's log says of datagrams that are not another node's.

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

/// A message that no node can read, under the fleet's key.
fn sealed_nonsense(keys: &FleetKeys) -> Vec<u8> {
    let message = [0xff; 20];
    let mut datagram = message.to_vec();
    datagram.extend_from_slice(&keys.sign(MacPurpose::Gossip, &[&message]));
    datagram
}

/// A question with an id that no node can have, under the fleet's key.
fn sealed_overlong_id(keys: &FleetKeys) -> Vec<u8> {
    let question = Gossip {
        body: Some(gossip::Body::SyncPull(SyncPull {
            after_node_id: "a".repeat(300),
        })),
        ..Gossip::default()
    };
    let sign = |message: &[u8]| Bytes::copy_from_slice(&keys.sign(MacPurpose::Gossip, &[message]));
    seal_datagram(&question, sign).to_vec()
}

fn count_in(line: &str) -> u64 {
    let (_, rest) = line.split_once("refused_count=").unwrap();
    rest.split(' ').next().unwrap().parse().unwrap()
}

/// A node with an old key or of another version is left out, and its operators find
/// nothing of it in the others' logs; or it is found in a line for each datagram.
#[test]
fn refused_datagrams_are_told_now_and_then() {
    const ROUNDS: u64 = 20;
    let address = hemlocktack_testkit::next_address();
    let node = RunningNode::start(&[&format!("--gossip-address={address}")]);
    node.line_with("number=101");
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let keys = FleetKeys::new(FLEET_KEY.as_bytes(), None).unwrap();
    let strangers = FleetKeys::new(FLEET_KEY.repeat(2).as_bytes(), None).unwrap();
    let datagrams = [
        b"short".to_vec(),
        sealed_nonsense(&strangers),
        sealed_nonsense(&keys),
        sealed_overlong_id(&keys),
    ];
    for datagram in datagrams
        .iter()
        .cycle()
        .take(datagrams.len() * ROUNDS as usize)
    {
        socket.send_to(datagram, address).unwrap();
    }
    // The next line is due by then, and stands for all that came since the first.
    thread::sleep(Duration::from_millis(1_500));
    socket.send_to(&datagrams[0], address).unwrap();
    let sent = datagrams.len() as u64 * ROUNDS + 1;
    let (mut told, mut lines) = (0, 0);
    while told < sent {
        told += count_in(&node.line_with("number=409"));
        lines += 1;
    }
    assert_eq!(told, sent);
    assert!(lines <= sent / 10, "{lines} lines for {sent} datagrams");
}
