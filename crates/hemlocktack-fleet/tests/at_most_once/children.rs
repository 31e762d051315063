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

// An upstream sends its deeper payment again after a timeout, and by now the node
// would choose another home. Two homes would each start the payment.
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
fn refuses_what_could_run_twice() {
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
    let passed_along = ChildCalls::for_idempotent_parent().ticket_for(
        &keys(),
        &service,
        Some(text.as_bytes()),
        || None,
    );
    assert_eq!(passed_along, Ok(ticket(1)));
}

// A caller's ticket outlived the fleet key and is passed along. Taken for a key
// of the upstream's own, it would get a second ticket, and run a second time.
#[test]
fn a_ticket_that_no_valid_key_signed_is_no_key() {
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
