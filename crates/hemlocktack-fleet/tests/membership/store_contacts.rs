//! How nodes learn whom the platform's store serves.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hemlocktack_fleet::membership::{Membership, MembershipAction};
use hemlocktack_protocol::{Member, StoreContact};

use crate::support::{address, node, receive_records, record, rng};

const LOCAL: u16 = 8;

fn remote(number: u16) -> Member {
    Member {
        data_centre: "howrah".to_owned(),
        ..record(number, 1)
    }
}

/// Returns a node of a data centre with this number of nodes, and one node of another.
fn member_of(size: u16) -> Membership {
    let now = Instant::now();
    let mut membership = node(0, now);
    let mut others: Vec<Member> = (1..size).map(|number| record(number, 1)).collect();
    others.push(remote(500));
    receive_records(&mut membership, now, others);
    membership
}

fn targets(actions: &[MembershipAction]) -> BTreeSet<SocketAddr> {
    let sent = actions.iter().filter_map(|action| match action {
        MembershipAction::Send { to, .. } => Some(*to),
        _ => None,
    });
    sent.collect()
}

fn refused(number: u16) -> Member {
    Member {
        version: 2,
        store_contact: StoreContact::Refused.into(),
        ..record(number, 1)
    }
}

/// A node that the store has refused learns it at once, but the others only with the next probes, so
/// that none of them watches for seconds.
#[test]
fn a_refusal_is_sent_to_the_whole_data_centre_at_once() {
    let mut membership = member_of(LOCAL);
    let actions = membership.set_store_contact(StoreContact::Refused, &mut rng());
    let expected: BTreeSet<_> = (1..LOCAL).map(address).collect();
    assert_eq!(targets(&actions), expected);
    let again = membership.set_store_contact(StoreContact::Refused, &mut rng());
    assert!(again.is_empty(), "{again:?}");
}

/// A node that only ceases to watch must not cause datagrams besides the ordinary ones.
#[test]
fn a_node_that_ceases_to_watch_sends_nothing_at_once() {
    let mut membership = member_of(LOCAL);
    membership.set_store_contact(StoreContact::Served, &mut rng());
    let actions = membership.set_store_contact(StoreContact::Unknown, &mut rng());
    assert!(actions.is_empty(), "{actions:?}");
    assert_eq!(membership.own().store_contact(), StoreContact::Unknown);
}

/// In a large data centre a refusal that is sent to some members must reach the others, each of
/// which forwards it once.
#[test]
fn a_refusal_is_forwarded_once_in_a_large_data_centre() {
    let now = Instant::now();
    let mut membership = member_of(40);
    let first = receive_records(&mut membership, now, vec![refused(1)]);
    assert!(!targets(&first).is_empty());
    assert!(!targets(&first).contains(&address(500)));
    let second = receive_records(&mut membership, now, vec![refused(1)]);
    assert!(targets(&second).is_empty(), "{second:?}");
    let mut small = member_of(LOCAL);
    let actions = receive_records(&mut small, now, vec![refused(1)]);
    assert!(targets(&actions).is_empty(), "{actions:?}");
}

/// A node that the store serves by turns must not flood its data centre.
#[test]
fn changes_of_the_access_to_the_store_are_bounded() {
    let mut membership = member_of(40);
    let mut sent = 0;
    for turn in 0..1_000 {
        let contact = match turn % 2 {
            0 => StoreContact::Refused,
            _ => StoreContact::Served,
        };
        sent += membership.set_store_contact(contact, &mut rng()).len();
    }
    assert!(sent <= 64, "{sent} datagrams in one period");
    let later = Instant::now() + Duration::from_secs(2);
    membership.tick(later, &mut rng());
    let actions = membership.set_store_contact(StoreContact::Refused, &mut rng());
    assert!(!targets(&actions).is_empty());
}
