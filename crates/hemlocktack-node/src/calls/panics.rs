//! A panic in the work on a request ends that request and nothing else.

use std::panic::AssertUnwindSafe;

use futures::FutureExt;
use hemlocktack_protocol::{Answer, Reason};
use hemlocktack_telemetry::{Event, log_event};

use super::unknown_answer;

/// What the work comes to; where it panics, that its end is unknown.
///
/// Failure: the task of a connection or of a call ends, and whoever waits for its
/// answer gets a closed connection, or waits for the whole patience.
pub(crate) async fn catch_panic(request_id: &str, work: impl Future<Output = Answer>) -> Answer {
    // What is shared is behind locks that take over after a panic.
    let worked = AssertUnwindSafe(work).catch_unwind().await;
    worked.unwrap_or_else(|_| {
        log_event!(Event::RequestPanicked, request_id);
        unknown_answer(Reason::Unspecified)
    })
}
