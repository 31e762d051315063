//! What must hold for a request that may not be repeated, whatever happened.

use super::{Fleet, Reply};

/// All that a caller was told of one booking, in order.
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

/// One ticket: at most one start, answered means one whole own answer and one
/// start, and `not-run` means no start.
pub(crate) async fn assert_honest(fleet: &Fleet, service: &str, bookings: &[Booking]) {
    for booking in bookings {
        let starts = fleet.starts(service, &booking.marker).await;
        assert!(starts <= 1, "{starts} starts of {booking:#?}");
        let mut answers = booking
            .replies
            .iter()
            .filter(|reply| reply.outcome == "answered");
        if let Some(first) = answers.next() {
            assert_eq!(starts, 1, "answered, not run: {booking:#?}");
            assert_eq!(
                first.body["marker"], booking.marker,
                "another's answer: {booking:#?}"
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
        assert!(!is_denied || starts == 0, "ran after not-run: {booking:#?}");
        for reply in &booking.replies {
            let is_known = ["answered", "not-run", "unknown"].contains(&reply.outcome.as_str());
            let is_lost = ["cut", "not-sent"].contains(&reply.outcome.as_str());
            assert!(is_known || is_lost, "no outcome: {booking:#?}");
        }
    }
}
