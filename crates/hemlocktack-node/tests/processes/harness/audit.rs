//! Checks that the reported outcomes of non-idempotent requests are true.

use super::{Fleet, Reply};

/// All replies to the sends of one booking or page request, in order.
#[derive(Clone, Debug)]
pub(crate) struct Booking {
    pub(crate) marker: String,
    pub(crate) ticket: String,
    pub(crate) replies: Vec<Reply>,
}

impl Booking {
    pub(crate) fn last(&self) -> &Reply {
        self.replies.last().unwrap()
    }
}

/// Asserts for each ticket that it was started at most once, that `answered` means one start and
/// always the same answer of its own, and that `not-run` means no start.
pub(crate) async fn assert_outcomes_are_true(fleet: &Fleet, service: &str, bookings: &[Booking]) {
    for booking in bookings {
        let starts = fleet.starts(service, &booking.marker).await;
        assert!(starts <= 1, "{starts} starts of {booking:#?}");
        let mut answers = booking
            .replies
            .iter()
            .filter(|reply| reply.outcome == "answered");
        if let Some(first) = answers.next() {
            assert_eq!(starts, 1, "answered, but not run: {booking:#?}");
            assert_eq!(
                first.body["marker"], booking.marker,
                "answer to another request: {booking:#?}"
            );
            assert!(
                answers.all(|answer| answer.body == first.body),
                "{booking:#?}"
            );
        }
        let is_denied = booking
            .replies
            .iter()
            .any(|reply| reply.outcome == "not-run");
        assert!(
            !is_denied || starts == 0,
            "not-run, but started: {booking:#?}"
        );
        for reply in &booking.replies {
            let is_known = ["answered", "not-run", "unknown"].contains(&reply.outcome.as_str());
            let is_lost = ["cut", "not-sent"].contains(&reply.outcome.as_str());
            assert!(is_known || is_lost, "no outcome: {booking:#?}");
        }
    }
}
