//! The times left that are sent with a call.

use std::time::Duration;

use hemlocktack_protocol::{Call, whole_micros};

/// Takes time that has passed off the times left of a call.
pub(super) fn take_off_time(call: &mut Call, passed: Duration) {
    let passed_us = whole_micros(passed);
    call.time_left_us = call.time_left_us.saturating_sub(passed_us);
    // Zero would mean that there is no objective.
    let has_objective = call.objective_left_us > 0;
    let objective_left_us = call.objective_left_us.saturating_sub(passed_us);
    call.objective_left_us = objective_left_us.max(u64::from(has_objective));
}
