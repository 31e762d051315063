//! Limits on moving a call that was not run to another node.

use hemlocktack_protocol::{Reason, Refusal};

use crate::placement::may_move;

/// Maximum moves of one call after refusals. A second node is tried because the first may be the
/// slow one of its data centre; a third would only add calls to a service that is full.
const MAX_MOVES_AFTER_REFUSAL: u32 = 1;
/// Maximum moves of one call away from unreachable nodes. When half of a fleet loses power at
/// once, one call in sixteen picks a dead node four times in a row. No node has done work for
/// such a call, so moving it costs nothing but its own time.
const MAX_MOVES_WHEN_UNREACHABLE: u32 = 3;

/// Maximum moves of one call away from upstreams without tokens. The entry learns of each limit by
/// such a refusal, and other upstreams of the service may have room.
const MAX_MOVES_WHEN_RATE_LIMITED: u32 = 3;

/// Counts the moves of one call. Moves are not retries, since nothing ran.
#[derive(Debug, Default)]
pub struct MoveCounter {
    after_refusal: u32,
    when_unreachable: u32,
    when_rate_limited: u32,
}

impl MoveCounter {
    /// Returns whether the call may move to another node after this refusal, and counts the
    /// move.
    pub fn try_move(&mut self, refusal: &Refusal) -> bool {
        let (made, most) = match refusal.reason {
            Reason::LinkLost => (&mut self.when_unreachable, MAX_MOVES_WHEN_UNREACHABLE),
            Reason::UpstreamRateLimited => {
                (&mut self.when_rate_limited, MAX_MOVES_WHEN_RATE_LIMITED)
            }
            reason if may_move(reason) => (&mut self.after_refusal, MAX_MOVES_AFTER_REFUSAL),
            _ => return false,
        };
        let may = *made < most;
        *made += u32::from(may);
        may
    }
}
