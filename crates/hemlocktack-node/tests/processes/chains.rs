//! Bookings that make bookings deeper down.

use crate::harness::{Fleet, Plan, Reply};

const PATH: &str = "listings/viewings";
const DEEPER_PATH: &str = "diaries/appointments";
const LONG_SERVICE_MS: u64 = 2_000;

/// Each viewing at the listings books an appointment in a diary.
fn plans() -> [Plan; 2] {
    [
        Plan::new("listings", 2).with(&["--deeper", "POST diaries/appointments"]),
        Plan::new("diaries", 2),
    ]
}

fn deeper_verdict(reply: &Reply) -> String {
    let deeper = &reply.body["deeper"][0];
    format!("{} {}", deeper["outcome"], deeper["reason"])
}

async fn assert_started_once(fleet: &Fleet, marker: &str) {
    for service in ["listings", "diaries"] {
        assert_eq!(
            fleet.starts(service, marker).await,
            1,
            "{service}, {marker}"
        );
    }
}

/// A family books a viewing, which books an appointment in an agent's diary,
/// and sends it again through every node, as after lost answers. It gets the
/// same answer each time, and each of the two ran once.
#[tokio::test(flavor = "multi_thread")]
async fn a_chain_of_bookings_runs_once_at_each_service() {
    let fleet = Fleet::start(&plans()).await;
    let ticket = fleet.caller(0).ticket(PATH, "viewing").await;
    let first = fleet.caller(0).post_with(PATH, "viewing", &ticket).await;
    assert!(first.is_answered(), "{first:?}");
    assert_eq!(first.body["deeper"][0]["outcome"], "answered", "{first:?}");
    for entry in 0..fleet.nodes.len() {
        let again = fleet
            .caller(entry)
            .post_with(PATH, "viewing", &ticket)
            .await;
        assert_eq!(again.body, first.body);
    }
    assert_started_once(&fleet, "viewing").await;
}

/// A page may be asked for again at any time, and each time it would book an
/// appointment. The deeper call is refused, and nothing is booked.
#[tokio::test(flavor = "multi_thread")]
async fn a_page_cannot_book() {
    let fleet = Fleet::start(&plans()).await;
    for entry in 0..fleet.nodes.len() {
        let page = fleet.caller(entry).get("listings/flats", "page").await;
        assert_eq!(
            deeper_verdict(&page),
            "\"not-run\" \"ticket-required\"",
            "{page:?}"
        );
    }
    assert_eq!(fleet.starts("diaries", "page").await, 0);
}

/// The node beside a diary dies while that diary books the appointment of a
/// viewing. The viewing's upstream hears that the appointment is unknown. The
/// family sends the viewing again: neither is run a second time.
#[tokio::test(flavor = "multi_thread")]
async fn a_chain_is_not_repeated_when_its_deeper_node_dies() {
    let mut fleet = Fleet::start(&plans()).await;
    let ticket = fleet.caller(0).ticket(PATH, "viewing").await;
    fleet.set_service_time_ms("diaries", LONG_SERVICE_MS).await;
    let caller = fleet.caller(0);
    let sent = ticket.clone();
    let first = tokio::spawn(async move { caller.post_with(PATH, "viewing", &sent).await });
    let victim = fleet.wait_for_start("diaries", "viewing").await;
    fleet.nodes[victim].process.kill();
    let first = first.await.unwrap();
    assert_ne!(first.outcome, "not-run", "{first:?}");
    for entry in [0, 1] {
        let again = fleet
            .caller(entry)
            .post_with(PATH, "viewing", &ticket)
            .await;
        assert_ne!(again.outcome, "not-run", "{again:?}");
    }
    assert_started_once(&fleet, "viewing").await;
    let deeper = fleet
        .caller(0)
        .ticket(DEEPER_PATH, "next appointment")
        .await;
    assert!(!deeper.is_empty());
}

/// A viewing books its appointment; a later deeper call of it is shed, and the
/// viewing's upstream passes that refusal up as its own. The viewing did begin,
/// so the family hears `unknown` and gets no fresh ticket: with one, it would
/// book the appointment a second time.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_after_a_deeper_booking_is_not_believed() {
    let fleet = Fleet::start(&plans()).await;
    let path = "listings/viewings?fault=shed-after-run";
    let ticket = fleet.caller(0).ticket(path, "viewing").await;
    for entry in 0..fleet.nodes.len() {
        let reply = fleet
            .caller(entry)
            .post_with(path, "viewing", &ticket)
            .await;
        assert_eq!(reply.verdict(), "502 unknown upstream-failed");
        assert!(reply.ticket.is_none());
    }
    assert_started_once(&fleet, "viewing").await;
}
