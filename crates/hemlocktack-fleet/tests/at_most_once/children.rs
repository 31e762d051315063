use hemlocktack_fleet::keys::FleetKeys;
use hemlocktack_fleet::tickets::{ChildCalls, ChildHome, ChildRefusal, Ticket};
use hemlocktack_protocol::ServiceName;

use crate::{OTHER_KEY, SERVICE, keys, peer, ticket};

fn home_at(node_id: &str) -> Option<ChildHome> {
    Some(ChildHome {
        home: peer(node_id),
        epoch: 4,
    })
}

// An upstream re-sends a payment as a child call after a timeout, when the node would choose
// another home. With two homes the payment would run twice.
#[test]
fn one_child_keeps_its_home() {
    let mut children = ChildCalls::for_ticketed_parent(1);
    let service = ServiceName::from("payments");
    let mut ticket_for = |key: &[u8], node_id| {
        children
            .ticket_for(&keys(), &service, Some(key), || home_at(node_id))
            .unwrap()
    };
    let first = ticket_for(b"charge", "dum-dum-1");
    assert_eq!(ticket_for(b"charge", "howrah-1"), first);
    assert_ne!(ticket_for(b"refund", "dum-dum-1").nonce, first.nonce);
    assert_eq!(
        Ticket::decode(&keys(), "payments", &first.encode()),
        Ok(first.clone())
    );
    let of_other_parent = ChildCalls::for_ticketed_parent(2)
        .ticket_for(&keys(), &service, Some(b"charge"), || home_at("dum-dum-1"))
        .unwrap();
    assert_ne!(of_other_parent.nonce, first.nonce);
}

#[test]
fn refuses_calls_that_could_run_twice() {
    let service = ServiceName::from(SERVICE);
    let refused = |mut children: ChildCalls, key: Option<&[u8]>| {
        children
            .ticket_for(&keys(), &service, key, || None)
            .unwrap_err()
    };
    let cases = [
        (
            ChildCalls::for_ticketed_parent(1),
            None,
            ChildRefusal::KeyRequired,
        ),
        (
            ChildCalls::for_ticketed_parent(1),
            Some(&[b'k'; 300][..]),
            ChildRefusal::LimitExceeded,
        ),
        (
            ChildCalls::for_ticketed_parent(1),
            Some(b"key"),
            ChildRefusal::NoHome,
        ),
        (
            ChildCalls::for_idempotent_parent(),
            Some(b"key"),
            ChildRefusal::ParentIdempotent,
        ),
    ];
    for (children, key, expected) in cases {
        assert_eq!(refused(children, key), expected);
    }
    let text = ticket(1).encode();
    let passed_ticket = ChildCalls::for_idempotent_parent().ticket_for(
        &keys(),
        &service,
        Some(text.as_bytes()),
        || None,
    );
    assert_eq!(passed_ticket, Ok(ticket(1)));
}

// An upstream passes on a caller's ticket that was signed with a fleet key that has been removed.
// If it were used as an idempotency key, the call would get a second ticket and run a second time.
#[test]
fn a_ticket_that_no_valid_key_signed_is_no_idempotency_key() {
    let service = ServiceName::from(SERVICE);
    let foreign = FleetKeys::new(OTHER_KEY, None).unwrap();
    let text = Ticket::issue(&foreign, service.clone(), peer("dum-dum-1"), 1, 1)
        .unwrap()
        .encode();
    for mut children in [
        ChildCalls::for_ticketed_parent(1),
        ChildCalls::for_idempotent_parent(),
    ] {
        let ticket = children.ticket_for(&keys(), &service, Some(text.as_bytes()), || {
            home_at("dum-dum-1")
        });
        assert_eq!(ticket, Err(ChildRefusal::Foreign));
    }
}
