//! Bookings whose upstream makes bookings as child calls.

use crate::harness::{Fleet, Plan, Reply};

const PATH: &str = "listings/viewings";
const CHILD_PATH: &str = "diaries/appointments";
const LONG_SERVICE_MS: u64 = 2_000;

/// Each viewing at `listings` books an appointment at `diaries`.
fn plans() -> [Plan; 2] {
    [
        Plan::new("listings", 2).with_upstream_flags(&["--deeper", "POST diaries/appointments"]),
        Plan::new("diaries", 2),
    ]
}

fn child_summary(reply: &Reply) -> String {
    let child = &reply.body["deeper"][0];
    format!("{} {}", child["outcome"], child["reason"])
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

/// A caller books a viewing, which books an appointment, and sends it again through every node, as
/// after lost answers. It gets the same answer each time, and each of the two bookings runs once.
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

/// A page request is idempotent and may be repeated; each repetition would book an appointment.
/// The child call is refused and nothing is booked.
#[tokio::test(flavor = "multi_thread")]
async fn a_page_request_cannot_make_a_booking() {
    let fleet = Fleet::start(&plans()).await;
    for entry in 0..fleet.nodes.len() {
        let page = fleet.caller(entry).get("listings/flats", "page").await;
        assert_eq!(
            child_summary(&page),
            "\"not-run\" \"ticket-required\"",
            "{page:?}"
        );
    }
    assert_eq!(fleet.starts("diaries", "page").await, 0);
}

/// The node that runs the appointment of a viewing is killed. The viewing's upstream is told that
/// the appointment is unknown. The caller sends the viewing again: neither runs a second time.
#[tokio::test(flavor = "multi_thread")]
async fn a_chain_is_not_repeated_when_the_node_of_its_child_call_is_killed() {
    let mut fleet = Fleet::start(&plans()).await;
    let ticket = fleet.caller(0).ticket(PATH, "viewing").await;
    fleet.set_service_time_ms("diaries", LONG_SERVICE_MS).await;
    let caller = fleet.caller(0);
    let sent = ticket.clone();
    let first = tokio::spawn(async move { caller.post_with(PATH, "viewing", &sent).await });
    let killed = fleet.wait_for_start("diaries", "viewing").await;
    fleet.nodes[killed].process.kill();
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
    let next_ticket = fleet.caller(0).ticket(CHILD_PATH, "next appointment").await;
    assert!(!next_ticket.is_empty());
}

/// A viewing books its appointment; a later child call is shed, and the viewing's upstream returns
/// that refusal as its own. The viewing was started, so the caller is told `unknown` and gets no
/// new ticket, with which it would book the appointment a second time.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_after_a_child_booking_is_answered_as_unknown() {
    let fleet = Fleet::start(&plans()).await;
    let path = "listings/viewings?fault=shed-after-run";
    let ticket = fleet.caller(0).ticket(path, "viewing").await;
    for entry in 0..fleet.nodes.len() {
        let reply = fleet
            .caller(entry)
            .post_with(path, "viewing", &ticket)
            .await;
        assert_eq!(reply.summary(), "502 unknown upstream-failed");
        assert!(reply.ticket.is_none());
    }
    assert_started_once(&fleet, "viewing").await;
}
