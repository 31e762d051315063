//! A member that is gone, whose address another node now uses.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hemlocktack_fleet::membership::{Membership, MembershipAction};
use hemlocktack_protocol::{Gossip, IndirectProbe, NodeState, ProbeAck, gossip};

use crate::support::{address, node, receive_records, record, rng};

const HELPER: u16 = 0;
const GONE: u16 = 1;
const REQUESTER: u16 = 2;
const SUCCESSOR: u16 = 3;

fn from(number: u16, body: gossip::Body) -> Gossip {
    Gossip {
        from_node_id: record(number, 1).node_id,
        from_incarnation: 1,
        body: Some(body),
        ..Gossip::default()
    }
}

/// Returns the recipient and sequence number of the probe that the actions send, if any.
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

/// Asks a helper to probe a member, lets node `answers` send the ack from that member's address,
/// and returns whether the helper relays it.
fn is_ack_relayed(answers: u16) -> bool {
    let now = Instant::now();
    let mut helper = node(HELPER, now);
    receive_records(
        &mut helper,
        now,
        vec![record(GONE, 1), record(REQUESTER, 1)],
    );
    let request = IndirectProbe {
        sequence: 40,
        target_node_id: record(GONE, 1).node_id,
    };
    let request = from(REQUESTER, gossip::Body::IndirectProbe(request));
    let actions = helper.receive(now, address(REQUESTER), request, &mut rng());
    let (to, sequence) = probe_in(&actions).expect("the helper probes the member");
    assert_eq!(to, address(GONE));
    let ack = ProbeAck {
        sequence,
        of_node_id: record(answers, 1).node_id,
    };
    let ack = from(answers, gossip::Body::Ack(ack));
    has_ack(&helper.receive(now, address(GONE), ack, &mut rng()))
}

/// Guards against a member that is gone but never suspected, because helpers relay the acks of
/// another node at its address. Calls would be sent to it forever.
#[test]
fn an_ack_from_another_node_at_the_address_is_not_relayed() {
    assert!(is_ack_relayed(GONE));
    assert!(!is_ack_relayed(SUCCESSOR));
}

/// Delivers each datagram to the node that uses the recipient's address, and recursively the
/// datagrams that it sends in reply. Datagrams to the gone member reach the node that now uses its
/// address.
fn deliver(fleet: &mut [Membership], number: u16, actions: Vec<MembershipAction>, now: Instant) {
    for action in actions {
        let MembershipAction::Send { to, gossip } = action else {
            continue;
        };
        let recipient = fleet
            .iter()
            .position(|member| member.own().gossip_address == to.to_string());
        let Some(recipient) = recipient else { continue };
        let replies = fleet[recipient].receive(now, address(number), *gossip, &mut rng());
        let recipient = fleet[recipient].own().gossip_address.clone();
        let port = recipient.parse::<SocketAddr>().expect("an address").port();
        deliver(fleet, port - address(0).port(), replies, now);
    }
}

/// Guards against the same fault in a whole fleet: one of four members is gone, and a node with
/// another id runs at its address and answers all probes sent there.
#[test]
fn a_member_whose_address_was_reused_is_declared_dead() {
    let start = Instant::now();
    let mut successor = record(SUCCESSOR, 1);
    successor.gossip_address = address(GONE).to_string();
    successor.link_address = address(GONE).to_string();
    let settings = hemlocktack_fleet::membership::MembershipSettings::default();
    let mut fleet = vec![
        node(HELPER, start),
        node(REQUESTER, start),
        Membership::new(settings, successor.clone(), start),
    ];
    let known = [
        record(HELPER, 1),
        record(REQUESTER, 1),
        record(GONE, 1),
        successor,
    ];
    for member in &mut fleet {
        let own = member.own().node_id.clone();
        let others = known.iter().filter(|record| record.node_id != own);
        receive_records(member, start, others.cloned().collect());
    }
    for tenth in 0..300 {
        let now = start + Duration::from_millis(100) * tenth;
        for position in 0..fleet.len() {
            let actions = fleet[position].tick(now, &mut rng());
            let own: SocketAddr = fleet[position].own().gossip_address.parse().expect("one");
            deliver(&mut fleet, own.port() - address(0).port(), actions, now);
        }
    }
    for member in &fleet {
        let gone = member.peer(&record(GONE, 1).node_id).expect("it is known");
        assert_eq!(gone.state, NodeState::Dead, "{}", member.own().node_id);
    }
}
