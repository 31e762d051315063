//! Limits a panic while handling a request to that request.

use std::panic::AssertUnwindSafe;

use futures::FutureExt;
use hemlocktack_protocol::{Answer, Reason};
use hemlocktack_telemetry::{Event, log_event};

use super::unknown_answer;

/// Returns the answer of `work`, or an unknown outcome if it panics.
///
/// An uncaught panic would end the task of a connection or of a call. Whoever waits for the
/// answer would get a closed connection or wait until its timeout.
pub(crate) async fn catch_panic(request_id: &str, work: impl Future<Output = Answer>) -> Answer {
    // Shared state is behind locks that recover from poisoning.
    let worked = AssertUnwindSafe(work).catch_unwind().await;
    worked.unwrap_or_else(|_| {
        log_event!(Event::RequestPanicked, request_id);
        unknown_answer(Reason::Unspecified)
    })
}
