use hemlocktack_fleet::calls::{LinkLoss, PendingCalls, Resolved};
use hemlocktack_protocol::CallProgress;

use crate::peer;

fn pending_calls() -> PendingCalls<&'static str> {
    let mut calls = PendingCalls::new(peer("dum-dum-1"));
    for (call_id, waiter) in [(1, "first"), (2, "second"), (3, "third")] {
        calls.insert(call_id, waiter);
    }
    calls
}

#[test]
fn settles_each_call_once() {
    let mut calls = pending_calls();
    assert!(calls.mark_sent(1));
    assert_eq!(calls.answered(1), Some("first"));
    assert_eq!(calls.answered(1), None);
    assert_eq!(
        calls.resolved(1, CallProgress::Forgotten),
        Resolved::Ignored
    );
    assert_eq!(calls.abandon(2), Some("second"));
    assert!(!calls.mark_sent(2));
    assert_eq!((calls.dropped_answers(), calls.waiting_count()), (1, 1));
}

#[test]
fn reports_not_run_only_for_unsent_or_fenced_calls() {
    let mut calls = pending_calls();
    calls.mark_sent(1);
    calls.mark_sent(2);
    let expected = LinkLoss {
        not_sent: vec!["third"],
        in_doubt: vec![1, 2],
    };
    assert_eq!(calls.link_lost(), expected);
    assert_eq!(
        calls.resolved(1, CallProgress::NeverArrived),
        Resolved::NotRun("first")
    );
    assert_eq!(calls.resolved(2, CallProgress::Running), Resolved::Waiting);
    assert_eq!(calls.unresolved(), []);
    calls.link_lost();
    assert_eq!(calls.unresolved(), [2]);
    assert_eq!(
        calls.resolved(2, CallProgress::Finished),
        Resolved::Unknown("second")
    );
}

#[test]
fn another_incarnation_leaves_every_call_unknown() {
    let mut calls = pending_calls();
    calls.mark_sent(1);
    assert_eq!(
        calls.resolved(1, CallProgress::NeverArrived),
        Resolved::Ignored
    );
    assert_eq!(calls.peer_gone(), ["first", "second", "third"]);
    assert_eq!(calls.waiting_count(), 0);
}
