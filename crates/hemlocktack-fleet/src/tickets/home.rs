//! Lookup of the node that may run a ticket's request.
//!
//! This is separate from the ticket table, so that another key scheme (for example keys chosen by
//! callers and assigned to homes by an agreed list of nodes) can replace this function and leave
//! the table unchanged.

use crate::peer::NodeIncarnation;
use crate::tickets::ticket::Ticket;

// Each successor may itself stop and hand over. A longer chain than this within the lifetime of a
// ticket means that the published successions are wrong, for example cyclic.
const SUCCESSION_HOPS_LIMIT: usize = 64;

/// Returns the ticket's home, or the node that took over its tickets in a completed handover.
///
/// `successor_of` returns what members publish. A stale view is harmless, because a node refuses
/// tickets whose home it is not.
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
