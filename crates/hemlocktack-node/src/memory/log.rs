//! Log lines about bodies that were turned away.

use std::time::Instant;

use hemlocktack_decide::BodyOwner;
use hemlocktack_telemetry::{Event, log_event};

use super::HeldFor;
use super::budget::NoMemory;
use crate::node::Node;

/// Logs a body for which there was no memory.
pub(crate) fn log_body_refused(
    node: &Node,
    request_id: &str,
    owner: BodyOwner,
    refusal: &NoMemory,
) {
    let Some(left_out) = node.call_log_limiter.try_acquire() else {
        return;
    };
    let held_for: &'static str = HeldFor::from(owner).into();
    log_event!(
        Event::BodyRefused,
        request_id,
        held_for,
        wanted_bytes = refusal.wanted_bytes,
        held_bytes = refusal.held_bytes,
        budget_bytes = node.memory.sizes().total_bytes(),
        waiting_count = refusal.waiting_count,
        waited_ms = refusal.waited.as_millis() as u64,
        left_out
    );
}

/// Logs a body that lost its memory because its sender stood still.
pub(crate) fn log_body_displaced(node: &Node, request_id: &str, began: Instant) {
    let Some(left_out) = node.call_log_limiter.try_acquire() else {
        return;
    };
    log_event!(
        Event::BodyDisplaced,
        request_id,
        waiting_count = node.memory.waiting_count(),
        elapsed_ms = began.elapsed().as_millis() as u64,
        left_out
    );
}
