use hemlocktack_fleet::NodeIncarnation;
use hemlocktack_fleet::keys::FleetKeys;
use hemlocktack_fleet::tickets::{Ticket, TicketError, find_home};
use hemlocktack_protocol::Reason;

use crate::{KEY, OTHER_KEY, SERVICE, home, keys, peer, ticket};

#[test]
fn text_form_round_trips() {
    let ticket = ticket(0xab);
    let text = ticket.encode();
    insta::assert_snapshot!(text, @"ht1~bookings~salt-lake-1~0000000000000007~1~000000000000000000000000000000ab~d2e66c85a41441ec52d0c52b12fb557f");
    assert_eq!(Ticket::decode(&keys(), SERVICE, &text), Ok(ticket.clone()));
    assert_eq!(
        Ticket::decode(&keys(), SERVICE, &format!("\"{text}\"")),
        Ok(ticket)
    );
}

#[test]
fn refuses_texts_that_the_fleet_did_not_issue() {
    let text = ticket(1).encode();
    let foreign = FleetKeys::new(OTHER_KEY, None).unwrap();
    let foreign = Ticket::issue(&foreign, SERVICE.into(), home(), 1, 1)
        .unwrap()
        .encode();
    let cases = [
        ("empty", String::new(), TicketError::Malformed),
        (
            "a caller's own key",
            "order-17".to_owned(),
            TicketError::Malformed,
        ),
        (
            "a field too many",
            format!("{text}~0"),
            TicketError::Malformed,
        ),
        (
            "a sign before a number",
            text.replace("~1~", "~+1~"),
            TicketError::Malformed,
        ),
        (
            "a zero before a number",
            text.replace("~1~", "~01~"),
            TicketError::Malformed,
        ),
        (
            "a digit less",
            text.replace("~000", "~00"),
            TicketError::Malformed,
        ),
        (
            "capital digits",
            text.replace('b', "B"),
            TicketError::Malformed,
        ),
        (
            "too long",
            format!("{text}{}", "0".repeat(400)),
            TicketError::Malformed,
        ),
        (
            "another home",
            text.replace("lake-1", "lake-2"),
            TicketError::Foreign,
        ),
        (
            "another epoch",
            text.replace("~1~", "~2~"),
            TicketError::Foreign,
        ),
        (
            "another service",
            text.replace(SERVICE, "keys"),
            TicketError::Foreign,
        ),
        ("another key", foreign, TicketError::Foreign),
    ];
    for (name, text, expected) in cases {
        assert_eq!(
            Ticket::decode(&keys(), SERVICE, &text),
            Err(expected),
            "{name}"
        );
    }
    assert_eq!(
        Ticket::decode(&keys(), "keys", &text),
        Err(TicketError::Foreign)
    );
    assert_eq!(TicketError::Foreign.reason(), Reason::TicketForeign);
    let during_change = FleetKeys::new(OTHER_KEY, Some(KEY)).unwrap();
    assert!(Ticket::decode(&during_change, SERVICE, &text).is_ok());
}

#[test]
fn the_home_is_the_last_successor() {
    let (second, third) = (peer("dum-dum-1"), peer("howrah-1"));
    let successor_of = |home_asked: &NodeIncarnation| match home_asked {
        asked if *asked == home() => Some(second.clone()),
        asked if *asked == second => Some(third.clone()),
        _ => None,
    };
    assert_eq!(find_home(&ticket(1), successor_of), third);
    assert_eq!(find_home(&ticket(1), |_| None), home());
    find_home(&ticket(1), |asked| Some(asked.clone()));
}
