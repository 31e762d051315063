//! A member whose address another node has taken.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hemlocktack_fleet::membership::{Membership, MembershipAction};
use hemlocktack_protocol::{Gossip, IndirectProbe, NodeState, ProbeAck, gossip};

use crate::support::{address, node, record, rng, tell};

const HELPER: u16 = 0;
const GONE: u16 = 1;
const ASKER: u16 = 2;
const SUCCESSOR: u16 = 3;

fn from(number: u16, body: gossip::Body) -> Gossip {
    Gossip {
        from_node_id: record(number, 1).node_id,
        from_incarnation: 1,
        body: Some(body),
        ..Gossip::default()
    }
}

/// The probe that an action sends, and where to.
fn probe_in(actions: &[MembershipAction]) -> Option<(SocketAddr, u64)> {
    actions.iter().find_map(|action| match action {
        MembershipAction::Send { to, gossip } => match &gossip.body {
            Some(gossip::Body::Probe(probe)) => Some((*to, probe.sequence)),
            _ => None,
        },
        _ => None,
    })
}

fn has_ack(actions: &[MembershipAction]) -> bool {
    actions.iter().any(|action| match action {
        MembershipAction::Send { gossip, .. } => matches!(gossip.body, Some(gossip::Body::Ack(_))),
        _ => false,
    })
}

/// Asks the helper to probe a member, lets this node answer at that member's
/// address, and says whether the helper vouches for the member.
fn is_vouched_for(answers: u16) -> bool {
    let now = Instant::now();
    let mut helper = node(HELPER, now);
    tell(&mut helper, now, vec![record(GONE, 1), record(ASKER, 1)]);
    let asked = IndirectProbe {
        sequence: 40,
        target_node_id: record(GONE, 1).node_id,
    };
    let asked = from(ASKER, gossip::Body::IndirectProbe(asked));
    let actions = helper.receive(now, address(ASKER), asked, &mut rng());
    let (to, sequence) = probe_in(&actions).expect("the helper probes the member");
    assert_eq!(to, address(GONE));
    let ack = ProbeAck {
        sequence,
        of_node_id: record(answers, 1).node_id,
    };
    let ack = from(answers, gossip::Body::Ack(ack));
    has_ack(&helper.receive(now, address(GONE), ack, &mut rng()))
}

/// Guards against a member that is gone and never suspected: others vouch for
/// whoever answers at its address, and calls are placed on it for ever.
#[test]
fn who_answers_at_a_members_address_does_not_vouch_for_it() {
    assert!(is_vouched_for(GONE));
    assert!(!is_vouched_for(SUCCESSOR));
}

/// Answers each probe that goes to the gone member's address as the node that is
/// there now, and each probe of the others as themselves, asked ones too.
fn answer(fleet: &mut [Membership], number: u16, actions: Vec<MembershipAction>, now: Instant) {
    for action in actions {
        let MembershipAction::Send { to, gossip } = action else {
            continue;
        };
        let behind = fleet
            .iter()
            .position(|member| member.own().gossip_address == to.to_string());
        let Some(behind) = behind else { continue };
        let heard = fleet[behind].receive(now, address(number), *gossip, &mut rng());
        let behind = fleet[behind].own().gossip_address.clone();
        let port = behind.parse::<SocketAddr>().expect("an address").port();
        answer(fleet, port - address(0).port(), heard, now);
    }
}

/// Guards against the same in a whole fleet: of four members one is gone, and a
/// node of another name runs at its address and answers all that comes there.
#[test]
fn a_member_whose_address_another_took_is_found_gone() {
    let start = Instant::now();
    let mut successor = record(SUCCESSOR, 1);
    successor.gossip_address = address(GONE).to_string();
    successor.link_address = address(GONE).to_string();
    let settings = hemlocktack_fleet::membership::MembershipSettings::default();
    let mut fleet = vec![
        node(HELPER, start),
        node(ASKER, start),
        Membership::new(settings, successor.clone(), start),
    ];
    let known = [
        record(HELPER, 1),
        record(ASKER, 1),
        record(GONE, 1),
        successor,
    ];
    for member in &mut fleet {
        let own = member.own().node_id.clone();
        let others = known.iter().filter(|record| record.node_id != own);
        tell(member, start, others.cloned().collect());
    }
    for tenth in 0..300 {
        let now = start + Duration::from_millis(100) * tenth;
        for position in 0..fleet.len() {
            let actions = fleet[position].tick(now, &mut rng());
            let own: SocketAddr = fleet[position].own().gossip_address.parse().expect("one");
            answer(&mut fleet, own.port() - address(0).port(), actions, now);
        }
    }
    for member in &fleet {
        let gone = member.peer(&record(GONE, 1).node_id).expect("it is known");
        assert_eq!(gone.state, NodeState::Dead, "{}", member.own().node_id);
    }
}
