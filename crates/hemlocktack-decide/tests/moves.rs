//! Moves of calls that were not run on the first node.

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

/// Half of the nodes lost power and are still in the entry's view. A booking that did not reach
/// any of the first three has not run anywhere, so the entry tries further nodes instead of
/// returning it to the caller.
#[test]
fn a_call_to_unreachable_nodes_is_moved_up_to_three_times() {
    let lost = [Reason::LinkLost; 4];
    assert_eq!(moves(&lost), [true, true, true, false]);
}

/// A full service refuses on each node. Trying all of them would multiply the load that they
/// refuse for.
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
