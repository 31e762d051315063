//! Datagrams: their size limit, authentication and decoding.

use std::time::{Duration, Instant};

use bytes::Bytes;
use hemlocktack_fleet::membership::{
    DatagramError, MembershipAction, MembershipSettings, open_datagram, seal_datagram,
};
use hemlocktack_protocol::{Gossip, Probe, SyncPull, gossip};
use proptest::prelude::*;
use prost::Message;

use crate::support::{address, config, gossip_with, node, receive_records, record, rng};

const MAC: [u8; 32] = [7; 32];

/// A datagram over the MTU is fragmented by the network and lost entirely if one fragment is lost.
#[test]
fn datagrams_stay_within_their_limit_in_a_large_fleet() {
    let settings = MembershipSettings::default();
    let mut now = Instant::now();
    let mut membership = node(0, now);
    for chunk in (1..560u16).collect::<Vec<_>>().chunks(20) {
        let records = chunk.iter().map(|&number| record(number, 3)).collect();
        receive_records(&mut membership, now, records);
    }
    let mut actions = Vec::new();
    for _ in 0..100 {
        now += Duration::from_millis(100);
        actions.append(&mut membership.tick(now, &mut rng()));
    }
    let bodies = [
        gossip::Body::Probe(Probe::default()),
        gossip::Body::SyncPull(SyncPull::default()),
    ];
    for body in bodies {
        let asked = Gossip {
            body: Some(body),
            ..gossip_with(Vec::new())
        };
        actions.append(&mut membership.receive(now, address(900), asked, &mut rng()));
    }
    let mut count = 0;
    for action in actions {
        if let MembershipAction::Send { gossip, .. } = action {
            let length = gossip.encoded_len() + settings.mac_bytes;
            assert!(length <= settings.datagram_limit_bytes, "{length}");
            count += 1;
        }
    }
    assert!(count > 10);
}

#[test]
fn invalid_datagrams_are_refused() {
    let sealed = seal_datagram(&gossip_with(vec![record(1, 2)]), |_| {
        Bytes::copy_from_slice(&MAC)
    });
    let is_valid_mac = |_: &[u8], mac: &[u8]| mac == MAC;
    let mut forged = sealed.to_vec();
    *forged.last_mut().unwrap() ^= 1;
    let mut junk = vec![0xff; 20];
    junk.extend_from_slice(&MAC);
    let cases = [
        (sealed, None),
        (Bytes::from(forged), Some(DatagramError::WrongMac)),
        (Bytes::from(junk), Some(DatagramError::Undecodable)),
        (Bytes::from_static(b"short"), Some(DatagramError::TooShort)),
        (Bytes::new(), Some(DatagramError::TooShort)),
    ];
    for (datagram, error) in cases {
        let opened = open_datagram(datagram, MAC.len(), is_valid_mac);
        assert_eq!(opened.err(), error);
    }
}

proptest! {
    #![proptest_config(config())]

    /// Any bytes from an authenticated sender cause no panic and a bounded number of replies.
    #[test]
    fn any_bytes_are_handled(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let now = Instant::now();
        let mut membership = node(0, now);
        let mut datagram = bytes;
        datagram.extend_from_slice(&MAC);
        if let Ok(gossip) = open_datagram(Bytes::from(datagram), MAC.len(), |_, _| true) {
            let actions = membership.receive(now, address(900), gossip, &mut rng());
            prop_assert!(actions.len() < 32);
        }
    }
}
