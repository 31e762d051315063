//! Property tests: invariants of the ticket table and of arrivals under arbitrary sequences of
//! steps.

use std::collections::{HashMap, HashSet};

use hemlocktack_fleet::calls::{Arrival, ArrivalLimits, Arrivals, Resolution};
use hemlocktack_fleet::tickets::{StartDecision, TableLimits, Ticket, TicketTable};
use hemlocktack_protocol::Reason;
use proptest::prelude::*;

use crate::{FINGERPRINT, SERVICE, answer, fixed_seed, home, keys, peer};

#[derive(Clone, Debug)]
enum Step {
    Start,
    Started,
    Delegate(u8),
    Requeue,
    RequeueFrom(u8),
    Refuse,
    Answer,
    RecordUnknown,
    AdvanceEpoch,
    StopAccepting,
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => Just(Step::Start),
        4 => Just(Step::Started),
        4 => (0..2u8).prop_map(Step::Delegate),
        3 => Just(Step::Requeue),
        3 => (0..2u8).prop_map(Step::RequeueFrom),
        2 => Just(Step::Refuse),
        2 => Just(Step::Answer),
        2 => Just(Step::RecordUnknown),
        1 => Just(Step::AdvanceEpoch),
        1 => Just(Step::StopAccepting),
    ]
}

fn small_table() -> TicketTable {
    let limits = TableLimits {
        records_per_epoch: 3,
        kept_epochs: 2,
        kept_answer_bytes: 600,
        adopted_homes: 1,
    };
    TicketTable::new("salt-lake-1", 7, limits)
}

#[derive(Default)]
struct Seen {
    epoch: Option<u64>,
    admitted: bool,
    may_run: bool,
    ended: bool,
}

proptest! {
    #![proptest_config(fixed_seed())]

    #[test]
    fn a_ticket_runs_at_one_place_and_never_after_its_outcome(
        steps in prop::collection::vec((any_step(), 0..6u128, 1..3u64), 1..120),
    ) {
        let mut table = small_table();
        let mut seen: HashMap<u128, Seen> = HashMap::new();
        for (step, nonce, epoch) in steps {
            let seen = seen.entry(nonce).or_default();
            // A nonce is issued only once, with one epoch.
            let epoch = *seen.epoch.get_or_insert(epoch.min(table.current_epoch()));
            let ticket = Ticket::issue(&keys(), SERVICE.into(), home(), epoch, nonce).unwrap();
            let delegate = |number: u8| peer(["dum-dum-1", "howrah-1"][usize::from(number)]);
            match step {
                Step::Start => {
                    if table.start(&ticket, FINGERPRINT) == StartDecision::Run {
                        prop_assert!(!seen.admitted, "admitted twice");
                        seen.admitted = true;
                    }
                }
                Step::Started | Step::Delegate(_) => {
                    let recorded = match step {
                        Step::Delegate(number) => table.delegate(nonce, delegate(number)),
                        _ => table.mark_started(nonce),
                    };
                    if recorded.is_ok() {
                        prop_assert!(seen.admitted && !seen.may_run && !seen.ended, "ran twice");
                        seen.may_run = true;
                    }
                }
                Step::Requeue => seen.may_run &= table.requeue(nonce).is_err(),
                Step::RequeueFrom(number) => {
                    seen.may_run &= table.requeue_from(nonce, &delegate(number)).is_err();
                }
                Step::Refuse => {
                    if table.refuse(nonce, Reason::Shed).is_ok() {
                        prop_assert!(!seen.may_run, "refused a request that may run");
                        seen.ended = true;
                    }
                }
                Step::Answer | Step::RecordUnknown => {
                    let ended = match step {
                        Step::Answer => table.record_answer(nonce, answer("booked")),
                        _ => table.record_unknown(nonce, Reason::Timeout),
                    };
                    if ended.is_ok() {
                        prop_assert!(seen.may_run && !seen.ended, "ended before its start");
                        seen.ended = true;
                    }
                }
                Step::AdvanceEpoch => table.advance_epoch(),
                Step::StopAccepting => table.stop_accepting(),
            }
            table.assert_consistent();
        }
    }

    #[test]
    fn a_call_is_new_once_and_never_after_it_was_reported_as_never_arrived(
        steps in prop::collection::vec((0..3u8, 0..4usize, 0..14u64), 1..200),
    ) {
        let limits = ArrivalLimits {
            settled_per_sender: 2,
            senders: 2,
            forgotten_senders: 4,
            kept_answer_bytes: 600,
        };
        let mut arrivals = Arrivals::new(limits);
        let senders = ["a", "b", "c", "d"].map(peer);
        let mut processed = HashSet::new();
        let mut fenced = HashSet::new();
        for (step, sender, call_id) in steps {
            let key = (sender, call_id);
            let sender = &senders[sender];
            match step {
                0 if arrivals.record_arrival(sender, call_id) == Arrival::New => {
                    prop_assert!(processed.insert(key), "new twice");
                    prop_assert!(!fenced.contains(&key), "new after it was fenced");
                }
                1 => arrivals.finish(sender, call_id, Some(answer("booked"))),
                2 if arrivals.resolve(sender, call_id) == Resolution::NeverArrived => {
                    prop_assert!(!processed.contains(&key), "reported as never arrived");
                    fenced.insert(key);
                }
                _ => {}
            }
            arrivals.assert_consistent();
        }
    }
}
