//! More callers than an upstream can serve.

use crate::harness::{Booking, Fleet, Load, Plan, assert_honest};

const SLOTS: &str = "4";
const SERVICE_MS: &str = "40";
/// Many times what the slots can hold.
const BROWSERS: usize = 60;
/// Their bookings alone fit.
const BOOKERS: usize = 2;

/// Browsing alone would take many times what the one diary can do, and a few
/// families book. Browsing is shed, as `not-run` and with a reason; bookings
/// are answered, every one, and run once.
#[tokio::test(flavor = "multi_thread")]
async fn browsing_is_shed_before_bookings() {
    let diaries =
        Plan::new("diaries", 1).with(&["--slots", SLOTS, "--service-time-ms", SERVICE_MS]);
    let fleet = Fleet::start(&[Plan::new("listings", 2), diaries]).await;
    let load = Load::start(BROWSERS, BOOKERS, &[fleet.caller(0), fleet.caller(1)]);
    load.wait_for_more(400).await;
    let asked = load.end().await;
    let (bookings, pages): (Vec<Booking>, Vec<Booking>) = asked
        .into_iter()
        .partition(|asked| !asked.ticket.is_empty());
    let unanswered = |asked: &[Booking]| -> Vec<String> {
        let unanswered = asked.iter().filter(|asked| !asked.last().is_answered());
        unanswered.map(|asked| asked.last().verdict()).collect()
    };
    let shed = unanswered(&pages);
    assert!(
        !shed.is_empty(),
        "{} pages, none shed: no overload",
        pages.len()
    );
    for verdict in &shed {
        assert!(verdict.contains("not-run"), "{verdict}");
    }
    assert!(bookings.len() > 10, "{} bookings", bookings.len());
    assert_eq!(unanswered(&bookings), Vec::<String>::new());
    assert_honest(&fleet, "diaries", &bookings).await;
}
