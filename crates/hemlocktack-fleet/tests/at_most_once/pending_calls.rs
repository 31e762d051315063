use hemlocktack_fleet::calls::{LinkLoss, PendingCalls, Resolved};
use hemlocktack_protocol::CallProgress;

use crate::peer;

fn sends() -> PendingCalls<&'static str> {
    let mut sends = PendingCalls::new(peer("dum-dum-1"));
    for (call_id, waiter) in [(1, "first"), (2, "second"), (3, "third")] {
        sends.insert(call_id, waiter);
    }
    sends
}

#[test]
fn settles_each_call_once() {
    let mut sends = sends();
    assert!(sends.mark_sent(1));
    assert_eq!(sends.answered(1), Some("first"));
    assert_eq!(sends.answered(1), None);
    assert_eq!(
        sends.resolved(1, CallProgress::Forgotten),
        Resolved::Ignored
    );
    assert_eq!(sends.abandon(2), Some("second"));
    assert!(!sends.mark_sent(2));
    assert_eq!((sends.dropped_answers(), sends.waiting_count()), (1, 1));
}

#[test]
fn tells_not_run_only_for_what_never_left_or_is_fenced() {
    let mut sends = sends();
    sends.mark_sent(1);
    sends.mark_sent(2);
    let expected = LinkLoss {
        not_sent: vec!["third"],
        in_doubt: vec![1, 2],
    };
    assert_eq!(sends.link_lost(), expected);
    assert_eq!(
        sends.resolved(1, CallProgress::NeverArrived),
        Resolved::NotRun("first")
    );
    assert_eq!(sends.resolved(2, CallProgress::Running), Resolved::Waiting);
    assert_eq!(sends.unresolved(), []);
    sends.link_lost();
    assert_eq!(sends.unresolved(), [2]);
    assert_eq!(
        sends.resolved(2, CallProgress::Finished),
        Resolved::Unknown("second")
    );
}

#[test]
fn another_incarnation_leaves_every_call_unknown() {
    let mut sends = sends();
    sends.mark_sent(1);
    assert_eq!(
        sends.resolved(1, CallProgress::NeverArrived),
        Resolved::Ignored
    );
    assert_eq!(sends.peer_gone(), ["first", "second", "third"]);
    assert_eq!(sends.waiting_count(), 0);
}
