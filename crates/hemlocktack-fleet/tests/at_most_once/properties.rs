//! Any order of steps, against what must hold at the least.

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
    GiveBack,
    GiveBackFrom(u8),
    Refuse,
    Answer,
    GiveUp,
    AdvanceEpoch,
    StopAccepting,
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => Just(Step::Start),
        4 => Just(Step::Started),
        4 => (0..2u8).prop_map(Step::Delegate),
        3 => Just(Step::GiveBack),
        3 => (0..2u8).prop_map(Step::GiveBackFrom),
        2 => Just(Step::Refuse),
        2 => Just(Step::Answer),
        2 => Just(Step::GiveUp),
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
    let_in: bool,
    out: bool,
    ended: bool,
}

proptest! {
    #![proptest_config(fixed_seed())]

    #[test]
    fn a_ticket_is_out_at_one_place_and_never_after_its_end(
        steps in prop::collection::vec((any_step(), 0..6u128, 1..3u64), 1..120),
    ) {
        let mut table = small_table();
        let mut seen: HashMap<u128, Seen> = HashMap::new();
        for (step, nonce, epoch) in steps {
            let seen = seen.entry(nonce).or_default();
            // The issuer signs a nonce once, with one epoch.
            let epoch = *seen.epoch.get_or_insert(epoch.min(table.current_epoch()));
            let ticket = Ticket::issue(&keys(), SERVICE.into(), home(), epoch, nonce).unwrap();
            let delegate = |number: u8| peer(["dum-dum-1", "howrah-1"][usize::from(number)]);
            match step {
                Step::Start => {
                    if table.start(&ticket, FINGERPRINT) == StartDecision::Run {
                        prop_assert!(!seen.let_in, "let in twice");
                        seen.let_in = true;
                    }
                }
                Step::Started | Step::Delegate(_) => {
                    let went_out = match step {
                        Step::Delegate(number) => table.delegate(nonce, delegate(number)),
                        _ => table.mark_started(nonce),
                    };
                    if went_out.is_ok() {
                        prop_assert!(seen.let_in && !seen.out && !seen.ended, "out twice");
                        seen.out = true;
                    }
                }
                Step::GiveBack => seen.out &= table.requeue(nonce).is_err(),
                Step::GiveBackFrom(number) => {
                    seen.out &= table.requeue_from(nonce, &delegate(number)).is_err();
                }
                Step::Refuse => {
                    if table.refuse(nonce, Reason::Shed).is_ok() {
                        prop_assert!(!seen.out, "refused what may run");
                        seen.ended = true;
                    }
                }
                Step::Answer | Step::GiveUp => {
                    let ended = match step {
                        Step::Answer => table.record_answer(nonce, answer("booked")),
                        _ => table.record_unknown(nonce, Reason::Timeout),
                    };
                    if ended.is_ok() {
                        prop_assert!(seen.out && !seen.ended, "ended what was not out");
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
    fn a_call_is_new_once_and_never_after_it_was_told_as_never_arrived(
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
        let mut treated = HashSet::new();
        let mut fenced = HashSet::new();
        for (step, sender, call_id) in steps {
            let key = (sender, call_id);
            let sender = &senders[sender];
            match step {
                0 if arrivals.record_arrival(sender, call_id) == Arrival::New => {
                    prop_assert!(treated.insert(key), "new twice");
                    prop_assert!(!fenced.contains(&key), "new after it was fenced");
                }
                1 => arrivals.finish(sender, call_id, Some(answer("booked"))),
                2 if arrivals.resolve(sender, call_id) == Resolution::NeverArrived => {
                    prop_assert!(!treated.contains(&key), "told as never arrived");
                    fenced.insert(key);
                }
                _ => {}
            }
            arrivals.assert_consistent();
        }
    }
}
