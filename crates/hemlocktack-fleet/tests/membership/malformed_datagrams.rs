//! Datagrams of authenticated senders with content that no correct node sends: extreme numbers, ids
//! of any length, records of this node and unrequested bodies.
//!
//! The environment variable `PROPTEST_CASES=1000000` runs that many cases.

use std::time::{Duration, Instant};

use bytes::Bytes;
use hemlocktack_fleet::membership::{
    DatagramError, Membership, MembershipAction, MembershipSettings, NODE_ID_LIMIT_BYTES,
    open_datagram, seal_datagram,
};
use hemlocktack_protocol::{
    Gossip, IndirectProbe, Member, Probe, ProbeAck, Succession, SuspectRequest, SyncPage, SyncPull,
    gossip,
};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::{Index, select};
use prost::Message;

use crate::support::{address, config, gossip_with, node, receive_records, record, rng};

const MAC: [u8; 32] = [7; 32];
/// Maximum number of actions that one datagram or tick may cause.
const ACTION_LIMIT: usize = 64;

/// Small numbers, which collide with known ones, and extreme ones.
fn number() -> impl Strategy<Value = u64> {
    prop_oneof![0..4_u64, any::<u64>(), select(vec![u64::MAX - 1, u64::MAX])]
}

/// Mostly the ids of this node and of two others.
fn node_id() -> impl Strategy<Value = String> {
    prop_oneof![
        4 => (0..3_u16).prop_map(|number| record(number, 1).node_id),
        1 => ".{0,12}",
        1 => "[a-z]{120,600}",
    ]
}

fn gossip_address() -> impl Strategy<Value = String> {
    prop_oneof![
        (0..3_u16).prop_map(|number| address(number).to_string()),
        ".{0,20}",
    ]
}

fn member() -> impl Strategy<Value = Member> {
    let ranks = (number(), number(), number(), any::<u32>());
    let states = (-1..8_i32, -1..8_i32);
    let epochs = (number(), number());
    (node_id(), gossip_address(), ranks, states, epochs).prop_map(
        |(node_id, gossip_address, ranks, states, epochs)| Member {
            node_id: node_id.clone(),
            gossip_address,
            incarnation: ranks.0,
            start_order: ranks.1,
            version: ranks.2,
            slots: ranks.3,
            state: states.0,
            upstream: states.1,
            ticket_epoch: epochs.0,
            successions: vec![Succession {
                home_node_id: node_id,
                home_incarnation: epochs.1,
            }],
            ..record(1, 1)
        },
    )
}

fn suspect() -> impl Strategy<Value = SuspectRequest> {
    (number(), any::<u32>(), any::<bool>()).prop_map(|(fingerprint, crashes, proven)| {
        SuspectRequest {
            fingerprint,
            crashes,
            proven,
        }
    })
}

fn body() -> impl Strategy<Value = gossip::Body> {
    let texts = (node_id(), node_id());
    (0..5_u8, number(), texts, any::<bool>()).prop_map(|(kind, sequence, texts, complete)| {
        match kind {
            0 => gossip::Body::Probe(Probe {
                sequence,
                on_behalf_of: texts.0,
            }),
            1 => gossip::Body::Ack(ProbeAck {
                sequence,
                of_node_id: texts.0,
            }),
            2 => gossip::Body::IndirectProbe(IndirectProbe {
                sequence,
                target_node_id: texts.0,
            }),
            3 => gossip::Body::SyncPull(SyncPull {
                after_node_id: texts.0,
            }),
            _ => gossip::Body::SyncPage(SyncPage {
                after_node_id: texts.0,
                last_node_id: texts.1,
                complete,
            }),
        }
    })
}

fn message() -> impl Strategy<Value = Gossip> {
    (
        node_id(),
        number(),
        number(),
        number(),
        vec(member(), 0..4),
        vec(suspect(), 0..3),
        proptest::option::of(body()),
    )
        .prop_map(
            |(from_node_id, incarnation, generation, digest, members, suspects, body)| Gossip {
                from_node_id,
                from_incarnation: incarnation,
                generation_in_force: generation,
                table_digest: digest,
                members,
                suspects,
                body,
            },
        )
}

/// A message with a valid MAC; sometimes a byte was changed or the end was cut off before it was
/// signed.
fn datagram() -> impl Strategy<Value = Bytes> {
    let byte = proptest::option::weighted(0.2, (any::<Index>(), any::<u8>()));
    let cut = proptest::option::weighted(0.1, any::<Index>());
    (message(), byte, cut).prop_map(|(message, byte, cut)| {
        let mut bytes = message.encode_to_vec();
        if let (Some((place, byte)), false) = (byte, bytes.is_empty()) {
            let place = place.index(bytes.len());
            bytes[place] = byte;
        }
        if let (Some(cut), false) = (cut, bytes.is_empty()) {
            bytes.truncate(cut.index(bytes.len()));
        }
        bytes.extend_from_slice(&MAC);
        Bytes::from(bytes)
    })
}

/// Checks that the number of actions and the size of each sent datagram are within their limits.
fn check(actions: &[MembershipAction]) -> Result<(), TestCaseError> {
    prop_assert!(actions.len() <= ACTION_LIMIT, "{} actions", actions.len());
    let settings = MembershipSettings::default();
    for action in actions {
        let MembershipAction::Send { gossip, .. } = action else {
            continue;
        };
        let sealed = seal_datagram(gossip, |_| Bytes::copy_from_slice(&MAC));
        let length = sealed.len();
        prop_assert!(length <= settings.datagram_limit_bytes, "{length} bytes");
    }
    Ok(())
}

fn receive(
    membership: &mut Membership,
    now: Instant,
    datagram: Bytes,
) -> Result<(), TestCaseError> {
    let opened = open_datagram(datagram, MAC.len(), |_, mac| mac == MAC);
    let Ok(gossip) = opened else {
        return Ok(());
    };
    check(&membership.receive(now, address(900), gossip, &mut rng()))
}

/// A record of this node has the highest possible number, for example after a memory fault. If the
/// node's next number overflowed to 0, all others would consider its records outdated.
#[test]
fn a_record_of_this_node_with_the_highest_number_causes_no_overflow() {
    let now = Instant::now();
    let cases = [
        (u64::MAX, 1, 1),
        (1, 1, u64::MAX),
        (u64::MAX, 2, u64::MAX),
        (1, 2, u64::MAX),
    ];
    for (start_order, incarnation, version) in cases {
        let mut membership = node(0, now);
        let before = membership.own().clone();
        let received = Member {
            start_order,
            version,
            ..record(0, incarnation)
        };
        receive_records(&mut membership, now, vec![received]);
        let own = membership.own();
        assert!(own.start_order >= before.start_order, "{own:?}");
        assert!(own.version >= before.version, "{own:?}");
    }
}

/// A request contains an id that is longer than any valid one. A reply that repeats it would be
/// fragmented by the network.
#[test]
fn a_datagram_with_an_id_over_the_limit_is_refused() {
    let name = "a".repeat(NODE_ID_LIMIT_BYTES + 1);
    let pull = SyncPull {
        after_node_id: name.clone(),
    };
    let asked = Gossip {
        body: Some(gossip::Body::SyncPull(pull)),
        ..gossip_with(Vec::new())
    };
    let from_it = Gossip {
        from_node_id: name.clone(),
        ..gossip_with(Vec::new())
    };
    let of_it = gossip_with(vec![Member {
        node_id: name,
        ..record(1, 1)
    }]);
    for message in [asked, from_it, of_it] {
        let sealed = seal_datagram(&message, |_| Bytes::copy_from_slice(&MAC));
        let opened = open_datagram(sealed, MAC.len(), |_, mac| mac == MAC);
        assert_eq!(opened, Err(DatagramError::OverlongId));
    }
}

proptest! {
    #![proptest_config(config())]

    /// A node of another version or with faulty memory sends invalid content. A node that crashes
    /// on it takes its upstream out of the fleet, and the next node gets the same content.
    #[test]
    fn malformed_datagrams_are_handled_and_replies_are_bounded(
        datagrams in vec((datagram(), 0..3_000_u64), 1..8),
    ) {
        let mut now = Instant::now();
        let mut membership = node(0, now);
        let own = membership.own().clone();
        for (datagram, pause_ms) in datagrams {
            receive(&mut membership, now, datagram)?;
            now += Duration::from_millis(pause_ms);
            check(&membership.tick(now, &mut rng()))?;
            prop_assert_eq!(&membership.own().node_id, &own.node_id);
            prop_assert_eq!(membership.own().incarnation, own.incarnation);
            prop_assert!(membership.own().version >= own.version);
        }
    }
}
