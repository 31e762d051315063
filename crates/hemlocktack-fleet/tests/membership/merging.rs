//! Records that arrive in any order, twice or late lead to the same table.

use std::time::Instant;

use hemlocktack_protocol::{Member, NodeState};
use proptest::prelude::*;

use crate::support::{accusation, node, receive_records, record};

fn any_record() -> impl Strategy<Value = Member> {
    (1..4u16, 1..4u64, 1..5u64, 0..4u8).prop_map(|(number, incarnation, version, kind)| {
        let own = record(number, incarnation);
        let state = match kind {
            0 => NodeState::Draining,
            1 => NodeState::Left,
            _ => NodeState::Ready,
        };
        match kind {
            3 => accusation(number, incarnation, version),
            // Each version of an incarnation has one content only.
            _ => Member {
                version: version * 3 + u64::from(kind),
                state: state.into(),
                ..own
            },
        }
    })
}

fn published_versions(records: &[Member]) -> Vec<(String, u64, u64)> {
    let now = Instant::now();
    let mut membership = node(0, now);
    for record in records {
        receive_records(&mut membership, now, vec![record.clone()]);
    }
    let peers = membership.peers();
    let version = |peer: &hemlocktack_fleet::membership::Peer| {
        let member = &peer.member;
        (member.node_id.clone(), member.incarnation, member.version)
    };
    peers.iter().map(version).collect()
}

proptest! {
    #[test]
    fn order_of_records_does_not_matter(
        records in prop::collection::vec(any_record(), 0..20),
        seed in any::<u64>(),
    ) {
        let own: Vec<Member> =
            records.into_iter().filter(|record| record.state() != NodeState::Suspect).collect();
        let mut shuffled = own.clone();
        shuffled.sort_by_key(|record| record.version.wrapping_mul(seed | 1));
        shuffled.extend(own.iter().take(3).cloned());
        prop_assert_eq!(published_versions(&own), published_versions(&shuffled));
    }

    #[test]
    fn accusations_never_hide_a_later_record(records in prop::collection::vec(any_record(), 0..30)) {
        let now = Instant::now();
        let mut membership = node(0, now);
        for record in &records {
            receive_records(&mut membership, now, vec![record.clone()]);
        }
        for peer in membership.peers() {
            let refuted = Member { version: 100, ..record(1, peer.member.incarnation) };
            let refuted = Member { node_id: peer.member.node_id.clone(), ..refuted };
            receive_records(&mut membership, now, vec![refuted]);
            let state = membership.peer(&peer.member.node_id).unwrap().state;
            prop_assert_eq!(state, NodeState::Ready);
        }
    }
}
