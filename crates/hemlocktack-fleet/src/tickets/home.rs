//! Which node may start a ticket's request.
//!
//! Apart from the table on purpose: another key scheme (keys that callers
//! make, homed by an agreed roster) would replace this function and leave the
//! table as it is.

use crate::peer::NodeIncarnation;
use crate::tickets::ticket::Ticket;

// A home stops, its successor stops later, and so on. A longer chain than this
// within the life of a ticket means that the records are wrong.
const SUCCESSION_HOPS_LIMIT: usize = 64;

/// The ticket's home, or who took over from it by a finished handover.
///
/// `successor_of` tells what members publish. A stale view is harmless: the
/// incarnation that is asked refuses tickets that aren't its own.
pub fn find_home(
    ticket: &Ticket,
    successor_of: impl Fn(&NodeIncarnation) -> Option<NodeIncarnation>,
) -> NodeIncarnation {
    let mut home = ticket.home.clone();
    for _ in 0..SUCCESSION_HOPS_LIMIT {
        let Some(successor) = successor_of(&home) else {
            break;
        };
        home = successor;
    }
    home
}
