//! Calls that tests and examples offer to an upstream's admission.

use std::time::{Duration, Instant};

use hemlocktack_decide::OfferedCall;
use hemlocktack_protocol::{CallId, ClassRank};

/// Returns a first attempt of a root request without an objective. Its fingerprint is its id, so
/// that no two calls are the same request.
pub(crate) fn first_attempt(
    call_id: CallId,
    class_rank: ClassRank,
    deadline: Instant,
) -> OfferedCall {
    OfferedCall {
        call_id,
        class_rank,
        deadline,
        objective: None,
        has_returned: false,
        root_request_id: call_id,
        work_spent: Duration::ZERO,
        fingerprint: call_id,
        kind: 1,
    }
}
