//! Load above the capacity of an upstream.

use crate::harness::{Booking, Fleet, Load, Plan, assert_outcomes_are_true};

const SLOTS: &str = "4";
const SERVICE_MS: &str = "40";
/// Many times the number of slots.
const BROWSERS: usize = 60;
/// Bookings alone are within the capacity.
const BOOKERS: usize = 2;

/// Page requests alone exceed the capacity many times over, and a few callers make bookings. Page
/// requests are shed as `not-run`; every booking is answered and runs once.
#[tokio::test(flavor = "multi_thread")]
async fn browsing_is_shed_before_bookings() {
    let diaries = Plan::new("diaries", 1).with_upstream_flags(&[
        "--slots",
        SLOTS,
        "--service-time-ms",
        SERVICE_MS,
    ]);
    let fleet = Fleet::start(&[Plan::new("listings", 2), diaries]).await;
    let load = Load::start(BROWSERS, BOOKERS, &[fleet.caller(0), fleet.caller(1)]);
    load.wait_for_more(400).await;
    let requests = load.end().await;
    let (bookings, pages): (Vec<Booking>, Vec<Booking>) = requests
        .into_iter()
        .partition(|requests| !requests.ticket.is_empty());
    let unanswered = |requests: &[Booking]| -> Vec<String> {
        let unanswered = requests
            .iter()
            .filter(|requests| !requests.last().is_answered());
        unanswered
            .map(|requests| requests.last().summary())
            .collect()
    };
    let shed = unanswered(&pages);
    assert!(
        !shed.is_empty(),
        "{} pages, none shed: no overload",
        pages.len()
    );
    for summary in &shed {
        assert!(summary.contains("not-run"), "{summary}");
    }
    assert!(bookings.len() > 10, "{} bookings", bookings.len());
    assert_eq!(unanswered(&bookings), Vec::<String>::new());
    assert_outcomes_are_true(&fleet, "diaries", &bookings).await;
}
