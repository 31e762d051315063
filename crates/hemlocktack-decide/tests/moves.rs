//! Calls that were not run where they were sent first.

use hemlocktack_decide::MoveCounter;
use hemlocktack_protocol::{Reason, Refusal};

fn moves(reasons: &[Reason]) -> Vec<bool> {
    let mut moves = MoveCounter::default();
    let refused = |reason: &Reason| Refusal {
        reason: *reason,
        retry_after: None,
    };
    reasons
        .iter()
        .map(|reason| moves.try_move(&refused(reason)))
        .collect()
}

/// Half of the nodes lost power, and the entry's view still has them. A booking
/// that reached none of the first three has not run anywhere, and is not given
/// back to its caller while the entry can go on.
#[test]
fn a_call_that_reaches_nobody_goes_on_to_the_next() {
    let lost = [Reason::LinkLost; 4];
    assert_eq!(moves(&lost), [true, true, true, false]);
}

/// A full service refuses on each node. Asking all of them would multiply the
/// load that they refuse for.
#[test]
fn a_refused_call_is_moved_once_and_a_shed_one_never() {
    assert_eq!(
        moves(&[Reason::QueueFull, Reason::QueueFull]),
        [true, false]
    );
    assert_eq!(moves(&[Reason::Shed]), [false]);
    let mixed = [Reason::LinkLost, Reason::Draining, Reason::LinkLost];
    assert_eq!(moves(&mixed), [true, true, true]);
}
