//! Helpers that create nodes, records and datagrams.

use std::net::SocketAddr;
use std::time::Instant;

use hemlocktack_fleet::membership::{Membership, MembershipAction, MembershipSettings};
use hemlocktack_protocol::{Gossip, Member, NodeState, UpstreamState};
use proptest::prelude::ProptestConfig;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Proptest configuration with a fixed seed; runs `PROPTEST_CASES` cases, by default 256.
pub(crate) fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(27),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

pub(crate) fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 20_000 + number))
}

pub(crate) fn record(number: u16, incarnation: u64) -> Member {
    Member {
        node_id: format!("node-{number:03}"),
        incarnation,
        version: 1,
        state: NodeState::Ready.into(),
        upstream: UpstreamState::Ready.into(),
        service: "listings".to_owned(),
        data_centre: "salt-lake".to_owned(),
        region: "kolkata".to_owned(),
        link_address: address(number).to_string(),
        gossip_address: address(number).to_string(),
        start_order: incarnation,
        ..Member::default()
    }
}

pub(crate) fn accusation(number: u16, incarnation: u64, version: u64) -> Member {
    Member {
        node_id: format!("node-{number:03}"),
        incarnation,
        version,
        state: NodeState::Suspect.into(),
        start_order: incarnation,
        ..Member::default()
    }
}

pub(crate) fn node(number: u16, now: Instant) -> Membership {
    Membership::new(MembershipSettings::default(), record(number, 1), now)
}

pub(crate) fn rng() -> StdRng {
    StdRng::seed_from_u64(1)
}

/// Returns a datagram of node 900 with these records.
pub(crate) fn gossip_with(members: Vec<Member>) -> Gossip {
    Gossip {
        from_node_id: "node-900".to_owned(),
        from_incarnation: 1,
        members,
        ..Gossip::default()
    }
}

pub(crate) fn receive_records(
    membership: &mut Membership,
    now: Instant,
    members: Vec<Member>,
) -> Vec<MembershipAction> {
    membership.receive(now, address(900), gossip_with(members), &mut rng())
}
