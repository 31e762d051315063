//! Memory of the process for bodies and frames.
//!
//! All bodies together stay within one budget, whoever sends or answers them: callers, other nodes
//! and the upstream. Each holds its part of it until the last reference to the body is dropped.

mod budget;
mod buffer;
mod caller_body;
mod gauge;
mod log;
#[cfg(test)]
pub(crate) mod tests;

pub(crate) use budget::{BodyMemory, BodyNeed, BudgetSizes, HeldBytes, NoMemory};
pub(crate) use buffer::{BodyBuffer, BodyPlan, CollectError, track};
pub(crate) use caller_body::CallerBody;
pub(crate) use gauge::{GaugedBytes, HeldFor, MemoryGauge};
pub(crate) use log::log_body_refused;

use std::time::Instant;

/// Returns until when a request may wait for memory: for half of its time, so that the other half
/// is left for running it, and a refusal is of use to its caller.
pub(crate) fn wait_limit(began: Instant, deadline: Instant) -> Instant {
    began + deadline.saturating_duration_since(began) / 2
}
