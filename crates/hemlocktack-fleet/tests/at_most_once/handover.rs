use std::sync::Arc;

use hemlocktack_fleet::NodeIncarnation;
use hemlocktack_fleet::handover::{
    HandoverError, HandoverLimits, HandoverProgress, IncomingHandovers, OutgoingHandover,
};
use hemlocktack_fleet::tickets::{StartDecision, TableLimits, TicketTable};
use hemlocktack_protocol::{Answer, CallFailure, Handover, HandoverAccepted, Reason, Refusal};

use crate::{FINGERPRINT, answer, home, peer, table, ticket};

struct Successor {
    name: NodeIncarnation,
    table: TicketTable,
    incoming: IncomingHandovers,
}

impl Successor {
    fn new(node_id: &str) -> Successor {
        Successor {
            name: peer(node_id),
            table: TicketTable::new(node_id, 9, TableLimits::default()),
            incoming: IncomingHandovers::new(HandoverLimits::default()),
        }
    }

    fn receive(&mut self, frames: Vec<Handover>) -> Vec<HandoverAccepted> {
        let mut receive = |frame| {
            self.incoming
                .handle_frame(&mut self.table, &home(), frame)
                .unwrap()
        };
        frames.into_iter().map(&mut receive).collect()
    }
}

fn last_progress(
    outgoing: &mut OutgoingHandover,
    from: &NodeIncarnation,
    replies: &[HandoverAccepted],
) -> HandoverProgress {
    let mut progress = HandoverProgress::Waiting;
    for reply in replies {
        let next = outgoing.handle_accepted(from, reply);
        if next != HandoverProgress::Waiting {
            progress = next;
        }
    }
    progress
}

fn home_with_every_outcome() -> TicketTable {
    let mut table = table();
    for nonce in 1..=4 {
        table.start(&ticket(nonce), FINGERPRINT);
    }
    table.mark_started(1).unwrap();
    table.record_answer(1, answer("booked")).unwrap();
    table.refuse(2, Reason::Shed).unwrap();
    table.mark_started(3).unwrap();
    table
}

#[test]
fn the_successor_knows_every_outcome() {
    let mut home_table = home_with_every_outcome();
    let mut outgoing = OutgoingHandover::begin(&mut home_table);
    assert!(home_table.mark_started(4).is_err());
    let unknown = StartDecision::Refused(CallFailure::Unknown(Reason::Draining));
    assert_eq!(home_table.start(&ticket(9), FINGERPRINT), unknown);

    let mut successor = Successor::new("dum-dum-1");
    let offered = outgoing.offer(&successor.name);
    let replies = successor.receive(offered);
    let gone = StartDecision::Refused(CallFailure::Unknown(Reason::HomeGone));
    assert_eq!(successor.table.start(&ticket(9), FINGERPRINT), gone);
    let HandoverProgress::Commit(commit) = last_progress(&mut outgoing, &successor.name, &replies)
    else {
        panic!("not committed");
    };
    let replies = successor.receive(commit);
    assert_eq!(
        last_progress(&mut outgoing, &successor.name, &replies),
        HandoverProgress::Finished
    );

    let fenced = Refusal {
        reason: Reason::Fenced,
        retry_after: None,
    };
    let fenced = StartDecision::Refused(CallFailure::NotRun(fenced));
    let expected = [
        (1, StartDecision::Answered(answer("booked"))),
        (2, fenced.clone()),
        (3, gone),
        (4, fenced),
        (9, StartDecision::Run),
    ];
    for (nonce, start) in expected {
        assert_eq!(
            successor.table.start(&ticket(nonce), FINGERPRINT),
            start,
            "ticket {nonce}"
        );
    }
    let of_other_request = Refusal {
        reason: Reason::TicketForeign,
        retry_after: None,
    };
    let of_other_request = StartDecision::Refused(CallFailure::NotRun(of_other_request));
    assert_eq!(
        successor.table.start(&ticket(1), FINGERPRINT + 1),
        of_other_request
    );
    successor.table.assert_consistent();
}

// The acceptance of a first successor is late, so the home offers its tickets to a second one. If
// the acceptance alone made a node the home, both would run the same tickets.
#[test]
fn an_abandoned_offer_leaves_one_home() {
    let mut outgoing = OutgoingHandover::begin(&mut home_with_every_outcome());
    let mut first = Successor::new("dum-dum-1");
    let mut second = Successor::new("howrah-1");
    let late_replies = first.receive(outgoing.offer(&first.name));
    assert!(outgoing.abandon());
    let replies = second.receive(outgoing.offer(&second.name));
    assert_eq!(
        last_progress(&mut outgoing, &first.name, &late_replies),
        HandoverProgress::Waiting
    );
    let HandoverProgress::Commit(commit) = last_progress(&mut outgoing, &second.name, &replies)
    else {
        panic!("not committed");
    };
    assert!(!outgoing.abandon());
    assert_eq!(outgoing.offer(&first.name), []);
    assert_eq!(outgoing.successor(), Some(&second.name));
    // The reply to the commit is lost with the link, and the commit is sent again.
    second.receive(commit);
    let replies = second.receive(outgoing.offer(&second.name));
    assert_eq!(
        last_progress(&mut outgoing, &second.name, &replies),
        HandoverProgress::Finished
    );
    assert_eq!(
        second.table.start(&ticket(9), FINGERPRINT),
        StartDecision::Run
    );
    let gone = StartDecision::Refused(CallFailure::Unknown(Reason::HomeGone));
    assert_eq!(first.table.start(&ticket(9), FINGERPRINT), gone);
}

#[test]
fn refuses_invalid_frames() {
    let mut outgoing = OutgoingHandover::begin(&mut home_with_every_outcome());
    let parts = outgoing.offer(&peer("dum-dum-1"));
    let part = &parts[0];
    let mut bad_nonce = part.clone();
    bad_nonce.entries[0].nonce = "short".into();
    let mut bad_epoch = part.clone();
    bad_epoch.entries[0].epoch = 2;
    let commit = Handover {
        committed: true,
        ..part.clone()
    };
    let cases = [
        (Handover::default(), HandoverError::Malformed),
        (bad_nonce, HandoverError::Malformed),
        (bad_epoch, HandoverError::Malformed),
        (commit, HandoverError::NotComplete),
    ];
    let mut successor = Successor::new("dum-dum-1");
    for (frame, expected) in cases {
        let refused = successor
            .incoming
            .handle_frame(&mut successor.table, &home(), frame);
        assert_eq!(refused, Err(expected));
    }
    // The last part was lost, but the commit arrives.
    let mut successor = Successor::new("dum-dum-1");
    let first_part = Handover {
        last: false,
        ..part.clone()
    };
    let accepted = successor.receive(vec![first_part]);
    assert!(!accepted[0].complete);
    let commit = Handover {
        committed: true,
        entries: Vec::new(),
        ..part.clone()
    };
    let refused = successor
        .incoming
        .handle_frame(&mut successor.table, &home(), commit);
    assert_eq!(refused, Err(HandoverError::NotComplete));
    let limits = HandoverLimits {
        entries: 3,
        ..HandoverLimits::default()
    };
    let refused =
        IncomingHandovers::new(limits).handle_frame(&mut successor.table, &home(), part.clone());
    assert_eq!(refused, Err(HandoverError::TooLarge));
    successor.table.stop_accepting();
    let refused = successor
        .incoming
        .handle_frame(&mut successor.table, &home(), part.clone());
    assert_eq!(refused, Err(HandoverError::Stopping));
    assert_eq!(successor.incoming.entry_count(), 0);
}

// The link is lost between two parts, and the successor receives the last part before the first. If
// the table counted as complete, it would lack bookings that have run.
#[test]
fn a_large_table_is_transferred_completely_or_not_at_all() {
    let mut home_table = table();
    let large_answer = Arc::new(Answer {
        body: vec![7; 150 << 10].into(),
        ..Answer::default()
    });
    for nonce in 1..=4 {
        home_table.start(&ticket(nonce), FINGERPRINT);
        home_table.mark_started(nonce).unwrap();
        home_table
            .record_answer(nonce, large_answer.clone())
            .unwrap();
    }
    let mut outgoing = OutgoingHandover::begin(&mut home_table);
    let mut successor = Successor::new("dum-dum-1");
    let parts = outgoing.offer(&successor.name);
    assert!(parts.len() > 1);
    let reversed: Vec<_> = parts.iter().rev().cloned().collect();
    assert!(
        successor
            .receive(reversed)
            .iter()
            .all(|accepted| !accepted.complete)
    );
    let twice = parts
        .iter()
        .flat_map(|part| [part.clone(), part.clone()])
        .collect();
    let replies = successor.receive(twice);
    let HandoverProgress::Commit(commit) = last_progress(&mut outgoing, &successor.name, &replies)
    else {
        panic!("not committed");
    };
    successor.receive(commit);
    for nonce in 1..=4 {
        let start = successor.table.start(&ticket(nonce), FINGERPRINT);
        assert_eq!(
            start,
            StartDecision::Answered(large_answer.clone()),
            "ticket {nonce}"
        );
    }
}

// The first successor did not get all parts, and then refuses. If any reply led to a commit, the
// tickets would be bound to a node that does not have them, and no other successor could be tried.
#[test]
fn only_a_complete_table_is_committed() {
    let mut outgoing = OutgoingHandover::begin(&mut home_with_every_outcome());
    let mut first = Successor::new("dum-dum-1");
    let parts = outgoing.offer(&first.name);
    let cut = parts.iter().map(|part| Handover {
        last: false,
        ..part.clone()
    });
    let replies = first.receive(cut.collect());
    assert_eq!(
        last_progress(&mut outgoing, &first.name, &replies),
        HandoverProgress::Waiting
    );
    let refusal = HandoverAccepted {
        refused: true,
        ..replies[0].clone()
    };
    assert_eq!(
        outgoing.handle_accepted(&first.name, &refusal),
        HandoverProgress::Refused
    );
    assert!(outgoing.abandon());
    let mut second = Successor::new("howrah-1");
    let replies = second.receive(outgoing.offer(&second.name));
    let progress = last_progress(&mut outgoing, &second.name, &replies);
    assert!(
        matches!(progress, HandoverProgress::Commit(_)),
        "{progress:?}"
    );
}

// A home hands over more records than an epoch of the successor holds. If adopted records counted
// as new ones, they would expire at once.
#[test]
fn a_large_table_does_not_expire_while_it_is_adopted() {
    let mut home_table = table();
    for nonce in 1..=100 {
        home_table.start(&ticket(nonce), FINGERPRINT);
        home_table.mark_started(nonce).unwrap();
        home_table.record_answer(nonce, answer("booked")).unwrap();
    }
    let mut outgoing = OutgoingHandover::begin(&mut home_table);
    let mut successor = Successor::new("dum-dum-1");
    let limits = TableLimits {
        records_per_epoch: 10,
        kept_epochs: 2,
        ..TableLimits::default()
    };
    successor.table = TicketTable::new("dum-dum-1", 9, limits);
    let replies = successor.receive(outgoing.offer(&successor.name));
    let HandoverProgress::Commit(commit) = last_progress(&mut outgoing, &successor.name, &replies)
    else {
        panic!("not committed");
    };
    successor.receive(commit);
    for nonce in 1..=100 {
        let start = successor.table.start(&ticket(nonce), FINGERPRINT);
        assert_eq!(
            start,
            StartDecision::Answered(answer("booked")),
            "ticket {nonce}"
        );
    }
    successor.table.assert_consistent();
}

// Homes are configured to keep more answers than a successor accepts. The oldest answers are left
// out, but the successor still knows that their requests ran.
#[test]
fn a_table_with_too_many_answers_is_transferred_without_the_oldest() {
    let limits = TableLimits {
        kept_answer_bytes: 64 << 20,
        ..TableLimits::default()
    };
    let mut home_table = TicketTable::new("salt-lake-1", 7, limits);
    let large_answer = Arc::new(Answer {
        body: vec![7; 1 << 20].into(),
        ..Answer::default()
    });
    for nonce in 1..=40 {
        home_table.start(&ticket(nonce), FINGERPRINT);
        home_table.mark_started(nonce).unwrap();
        home_table
            .record_answer(nonce, large_answer.clone())
            .unwrap();
    }
    let mut outgoing = OutgoingHandover::begin(&mut home_table);
    let mut successor = Successor::new("dum-dum-1");
    successor.table = TicketTable::new("dum-dum-1", 9, limits);
    let replies = successor.receive(outgoing.offer(&successor.name));
    let HandoverProgress::Commit(commit) = last_progress(&mut outgoing, &successor.name, &replies)
    else {
        panic!("not committed");
    };
    successor.receive(commit);
    assert_eq!(
        successor.table.start(&ticket(1), FINGERPRINT),
        StartDecision::AnswerNotKept
    );
    let latest = successor.table.start(&ticket(40), FINGERPRINT);
    assert_eq!(latest, StartDecision::Answered(large_answer));
}

#[test]
fn offers_of_nodes_that_are_gone_are_discarded() {
    let mut outgoing = OutgoingHandover::begin(&mut home_with_every_outcome());
    let mut successor = Successor::new("dum-dum-1");
    successor.receive(outgoing.offer(&successor.name));
    assert!(successor.incoming.entry_count() > 0);
    successor.incoming.retain_offers_of(|from| *from == home());
    assert!(successor.incoming.entry_count() > 0);
    successor.incoming.retain_offers_of(|from| *from != home());
    assert_eq!(successor.incoming.entry_count(), 0);
}
