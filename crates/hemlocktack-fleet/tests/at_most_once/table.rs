use hemlocktack_fleet::NodeIncarnation;
use hemlocktack_fleet::tickets::{StartDecision, TableLimits, Ticket, TicketTable, WrongState};
use hemlocktack_protocol::{CallFailure, Reason, Refusal};

use crate::{FINGERPRINT, SERVICE, answer, home, keys, peer, table, ticket};

fn not_run(reason: Reason) -> StartDecision {
    StartDecision::Refused(CallFailure::NotRun(Refusal {
        reason,
        retry_after: None,
    }))
}

fn unknown(reason: Reason) -> StartDecision {
    StartDecision::Refused(CallFailure::Unknown(reason))
}

fn issue(home: NodeIncarnation, epoch: u64, nonce: u128) -> Ticket {
    Ticket::issue(&keys(), SERVICE.into(), home, epoch, nonce).unwrap()
}

// The answer to a booking is late, and the caller sends it again through another node. Both sends
// must get the answer of a single run.
#[test]
fn resends_join_and_get_the_one_answer() {
    let mut table = table();
    assert_eq!(table.start(&ticket(1), FINGERPRINT), StartDecision::Run);
    assert_eq!(table.start(&ticket(1), FINGERPRINT), StartDecision::Join);
    table.mark_started(1).unwrap();
    assert_eq!(table.mark_started(1), Err(WrongState));
    assert_eq!(table.start(&ticket(1), FINGERPRINT), StartDecision::Join);
    table.record_answer(1, answer("booked")).unwrap();
    assert_eq!(
        table.start(&ticket(1), FINGERPRINT),
        StartDecision::Answered(answer("booked"))
    );
    for late_step in [
        table.mark_started(1),
        table.delegate(1, peer("dum-dum-1")),
        table.requeue(1),
        table.refuse(1, Reason::Shed),
        table.record_answer(1, answer("booked twice")),
        table.record_unknown(1, Reason::Timeout),
    ] {
        assert_eq!(late_step, Err(WrongState));
    }
    table.assert_consistent();
}

// The caller is told `not_run`, and then an earlier send of the same ticket arrives that was
// delayed in another node. It must find the ticket fenced; otherwise the request would run after
// all.
#[test]
fn a_ticket_reported_as_not_run_never_starts_later() {
    let mut table = table();
    assert_eq!(table.start(&ticket(1), FINGERPRINT), StartDecision::Run);
    table.refuse(1, Reason::Shed).unwrap();
    assert_eq!(table.start(&ticket(1), FINGERPRINT), not_run(Reason::Shed));
    assert_eq!(table.mark_started(1), Err(WrongState));
}

#[test]
fn a_ticket_that_may_have_run_never_starts_again() {
    let mut table = table();
    table.start(&ticket(1), FINGERPRINT);
    assert_eq!(table.record_unknown(1, Reason::LinkLost), Err(WrongState));
    table.mark_started(1).unwrap();
    assert_eq!(table.refuse(1, Reason::Shed), Err(WrongState));
    table.record_unknown(1, Reason::UpstreamFailed).unwrap();
    assert_eq!(
        table.start(&ticket(1), FINGERPRINT),
        unknown(Reason::UpstreamFailed)
    );
}

// A busy home delegates a call, the delegate refuses it, and the home delegates it to a second
// node. A late message from the first delegate must not return the ticket to the queue again.
#[test]
fn only_the_recorded_delegate_can_return_a_ticket() {
    let mut table = table();
    let (first, second) = (peer("dum-dum-1"), peer("howrah-1"));
    table.start(&ticket(1), FINGERPRINT);
    table.delegate(1, first.clone()).unwrap();
    assert_eq!(table.delegate(1, second.clone()), Err(WrongState));
    assert_eq!(table.mark_started(1), Err(WrongState));
    assert_eq!(table.requeue_from(1, &second), Err(WrongState));
    table.requeue_from(1, &first).unwrap();
    table.delegate(1, second.clone()).unwrap();
    assert_eq!(table.requeue_from(1, &first), Err(WrongState));
    table.record_answer(1, answer("booked")).unwrap();
    assert_eq!(table.in_flight_count(), 0);
}

#[test]
fn refuses_tickets_of_other_incarnations_and_epochs() {
    let mut table = table();
    let earlier_incarnation = NodeIncarnation::new("salt-lake-1", 6);
    assert_eq!(
        table.start(&issue(earlier_incarnation, 1, 1), FINGERPRINT),
        unknown(Reason::HomeGone)
    );
    assert_eq!(
        table.start(&issue(peer("dum-dum-1"), 1, 2), FINGERPRINT),
        unknown(Reason::HomeGone)
    );
    assert_eq!(
        table.start(&issue(home(), 0, 3), FINGERPRINT),
        unknown(Reason::TicketExpired)
    );
    assert_eq!(
        table.start(&issue(home(), 2, 4), FINGERPRINT),
        unknown(Reason::TicketForeign)
    );
}

// A ticket is re-sent after the home has dropped its record to stay within its memory limit.
// Without the epoch in the ticket, the home would treat it as a new one.
#[test]
fn memory_is_bounded_and_expired_tickets_do_not_start() {
    let limits = TableLimits {
        records_per_epoch: 10,
        kept_epochs: 3,
        kept_answer_bytes: 3000,
        adopted_homes: 1,
    };
    let mut table = TicketTable::new("salt-lake-1", 7, limits);
    let running = issue(home(), 1, 1_000_000);
    assert_eq!(table.start(&running, FINGERPRINT), StartDecision::Run);
    table.mark_started(running.nonce).unwrap();
    for nonce in 0..1000 {
        let ticket = issue(home(), table.current_epoch(), nonce);
        assert_eq!(table.start(&ticket, FINGERPRINT), StartDecision::Run);
        table.mark_started(nonce).unwrap();
        table.record_answer(nonce, answer("booked")).unwrap();
        assert!(table.record_count() <= 10 * 4 + 1);
        table.assert_consistent();
    }
    assert_eq!(
        table.start(&issue(home(), 1, 0), FINGERPRINT),
        unknown(Reason::TicketExpired)
    );
    assert_eq!(table.start(&running, FINGERPRINT), StartDecision::Join);
    table.record_answer(running.nonce, answer("late")).unwrap();
    let latest = issue(home(), table.current_epoch(), 999);
    assert_eq!(
        table.start(&latest, FINGERPRINT),
        StartDecision::Answered(answer("booked"))
    );
    let earlier = issue(home(), table.current_epoch() - 2, 985);
    assert_eq!(
        table.start(&earlier, FINGERPRINT),
        StartDecision::AnswerNotKept
    );
    assert_eq!(
        table.start(&running, FINGERPRINT),
        unknown(Reason::TicketExpired)
    );
    assert_eq!(table.in_flight_count(), 0);
}

// A stopping home reports `not_run`, and an earlier send of the same ticket may still arrive later.
#[test]
fn a_stopping_home_fences_new_tickets_and_finishes_those_in_flight() {
    let mut table = table();
    table.start(&ticket(1), FINGERPRINT);
    table.stop_accepting();
    assert_eq!(
        table.start(&ticket(2), FINGERPRINT),
        not_run(Reason::Draining)
    );
    assert_eq!(table.start(&ticket(1), FINGERPRINT), StartDecision::Join);
    table.mark_started(1).unwrap();
    table.record_answer(1, answer("booked")).unwrap();
    assert_eq!(
        table.start(&ticket(1), FINGERPRINT),
        StartDecision::Answered(answer("booked"))
    );
}

// A caller sends a second booking with the ticket of its first. The answer to the first would
// report the wrong appointment.
#[test]
fn a_ticket_is_bound_to_its_first_request() {
    let mut table = table();
    let other_request = FINGERPRINT + 1;
    assert_eq!(table.start(&ticket(1), FINGERPRINT), StartDecision::Run);
    assert_eq!(
        table.start(&ticket(1), other_request),
        not_run(Reason::TicketForeign)
    );
    table.mark_started(1).unwrap();
    table.record_answer(1, answer("booked")).unwrap();
    assert_eq!(
        table.start(&ticket(1), other_request),
        not_run(Reason::TicketForeign)
    );
    assert_eq!(
        table.start(&ticket(1), FINGERPRINT),
        StartDecision::Answered(answer("booked"))
    );
}

// The budget for kept answers is halved while some are kept. The oldest are evicted at once, but
// their requests are still known to have run and never run again.
#[test]
fn a_smaller_budget_drops_answers_but_keeps_records() {
    let mut table = table();
    for nonce in 1..=2 {
        assert_eq!(table.start(&ticket(nonce), FINGERPRINT), StartDecision::Run);
        table.mark_started(nonce).unwrap();
        table.record_answer(nonce, answer("booked")).unwrap();
    }
    table.set_kept_answer_bytes(table.kept_answer_bytes() / 2);
    assert_eq!(
        table.start(&ticket(1), FINGERPRINT),
        StartDecision::AnswerNotKept
    );
    assert_eq!(
        table.start(&ticket(2), FINGERPRINT),
        StartDecision::Answered(answer("booked"))
    );
    table.set_kept_answer_bytes(0);
    assert_eq!(
        table.start(&ticket(2), FINGERPRINT),
        StartDecision::AnswerNotKept
    );
    table.assert_consistent();
}
