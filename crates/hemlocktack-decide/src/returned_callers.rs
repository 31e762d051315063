//! Order of callers that return after a refusal.

use std::time::Duration;

use hemlocktack_protocol::RootRequestId;

use crate::mix::mix;
use crate::retry_after::MIN_CAPPED_WAIT;

/// Draws among which the id of a returned caller is the best one. While two thirds of a class are
/// shed, such a caller is refused again once in 25 times, and every third first attempt is still
/// admitted. With four draws it would be once in five times. If returned callers always went first,
/// they could leave nothing to first attempts.
const DRAWS: usize = 8;

/// Returns whether a caller that has waited this long returns no earlier than any refusal for lack
/// of capacity told it to.
pub fn has_returned_on_time(waited: Duration) -> bool {
    waited >= MIN_CAPPED_WAIT
}

/// Draws the id of a root request whose caller has waited this long since its first attempt.
///
/// The shed level, the priority for retries and the queue order the requests of a class by a hash
/// of this id. If it were drawn anew for each attempt without regard to the ones before, callers
/// that wait as they were told would be refused as often as those that have just come, and some
/// of them several times in a row. The id of a returned caller therefore lies in the preferred part
/// of the order, and so do all calls of its chain. A caller that returns earlier than any refusal
/// tells it to draws as a first attempt does.
pub fn draw_root_request_id(
    waited: Duration,
    draw: impl FnMut() -> RootRequestId,
) -> RootRequestId {
    let draws = if has_returned_on_time(waited) {
        DRAWS
    } else {
        1
    };
    let ids = std::iter::repeat_with(draw).take(draws);
    ids.min_by_key(|id| mix(*id)).unwrap_or_default()
}
