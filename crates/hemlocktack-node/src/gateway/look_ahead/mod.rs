//! Starts pipelined requests before hyper reads them.
//!
//! Hyper reads the next request of a connection only after the response to the previous one.
//! The look-ahead sees the same bytes, splits off the heads of the requests behind the one
//! being served and starts those that may be run early. Hyper remains the only parser and
//! writer: the service takes an early response only for a request that equals the head.

mod early;
mod heads;
mod observer;
mod pipeline;
#[cfg(test)]
mod tests;

pub(super) use early::{EarlyEnd, EarlyRequest};
pub(super) use observer::{LookAhead, RouteGate};
