//! Selection of the members that are notified at once that a node leaves.

use std::collections::BTreeSet;
use std::time::Instant;

use hemlocktack_fleet::drain::PublishedState;
use hemlocktack_fleet::membership::MembershipAction;
use hemlocktack_protocol::{Member, NodeState, UpstreamState};
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::support::{address, node, receive_records, record};

const DATA_CENTRES: [&str; 3] = ["salt-lake", "howrah", "dum-dum"];
const NODES: u16 = 8;
const DRAWS: u64 = 200;

fn member(number: u16) -> Member {
    let data_centre = DATA_CENTRES[usize::from(number) % DATA_CENTRES.len()];
    Member {
        data_centre: data_centre.to_owned(),
        ..record(number, 1)
    }
}

/// An upstream drains. If some nodes of other data centres were never selected to be notified at
/// once, they would send calls to it until they exchange datagrams with a node that knows. Every
/// member must have about the same chance: four of seven others are notified, two in the own data
/// centre and one in each other, so each in at least a quarter of the draws.
#[test]
fn every_member_may_be_notified_at_once() {
    let mut notified = [0; NODES as usize];
    for seed in 0..DRAWS {
        let mut rng = StdRng::seed_from_u64(seed);
        let now = Instant::now();
        let mut membership = node(0, now);
        receive_records(&mut membership, now, (1..NODES).map(member).collect());
        let draining = PublishedState {
            state: NodeState::Ready,
            upstream: UpstreamState::Draining,
            slots: 4,
        };
        let actions = membership.update_own(draining, &mut rng);
        let targets: BTreeSet<_> = actions
            .iter()
            .filter_map(|action| match action {
                MembershipAction::Send { to, .. } => Some(*to),
                _ => None,
            })
            .collect();
        assert_eq!(targets.len(), 4);
        for (centre, name) in DATA_CENTRES.iter().enumerate().skip(1) {
            let of_centre = (1..NODES).filter(|number| usize::from(*number) % 3 == centre);
            let notified = of_centre.filter(|number| targets.contains(&address(*number)));
            assert!(notified.count() >= 1, "{name}");
        }
        for number in 1..NODES {
            notified[usize::from(number)] += u64::from(targets.contains(&address(number)));
        }
    }
    let least = notified[1..].iter().min().copied();
    assert!(least >= Some(DRAWS / 4), "{notified:?}");
}
