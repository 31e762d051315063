//! How often a call that was not run is put on another node.

use hemlocktack_protocol::{Reason, Refusal};

use crate::placement::may_move;

/// Moves of one call after a refusal: the second node is asked because the
/// first may be the slow one of its data centre; a third would only add calls
/// to a service that is full.
const AFTER_REFUSAL: u32 = 1;
/// Moves of one call to nodes that could not be reached. Where half of a fleet
/// loses power at once, one of sixteen calls finds a dead node four times in a
/// row; nobody has worked for it, so it costs nobody but the call itself.
const AFTER_NO_REACH: u32 = 3;

/// Moves of one call so far. They are no retries: nothing ran.
#[derive(Debug, Default)]
pub struct Moves {
    after_refusal: u32,
    after_no_reach: u32,
}

impl Moves {
    /// Whether the call may go to another node after this refusal; counts it.
    pub fn take(&mut self, refusal: &Refusal) -> bool {
        let (made, most) = match refusal.reason {
            Reason::LinkLost => (&mut self.after_no_reach, AFTER_NO_REACH),
            reason if may_move(reason) => (&mut self.after_refusal, AFTER_REFUSAL),
            _ => return false,
        };
        let may = *made < most;
        *made += u32::from(may);
        may
    }
}
