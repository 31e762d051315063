//! The platform is out for as long as the test lasts.

use std::time::Duration;

use crate::harness::{Booking, Fleet, Plan, assert_honest, document_with_comment, wait_until};

const PATH: &str = "diaries/appointments";
/// Longer than anything in the fleet is kept without being renewed.
const LONG: Duration = Duration::from_secs(12);

/// The platform goes out. Families go on browsing and booking, with new
/// tickets, through every node. A node is replaced meanwhile: it gets the
/// configuration from the others and serves. An operator's change is refused
/// without effect. When the platform is back, the change is taken.
#[tokio::test(flavor = "multi_thread")]
async fn calls_tickets_and_configuration_go_on() {
    let plans = [Plan::new("listings", 1), Plan::new("diaries", 2)];
    let mut fleet = Fleet::start(&plans).await;
    fleet.platform.set_down(true).await;
    let mut bookings = book_everywhere(&fleet, "at once").await;
    tokio::time::sleep(LONG).await;
    bookings.extend(book_everywhere(&fleet, "much later").await);
    assert_honest(&fleet, "diaries", &bookings).await;

    let refused = fleet
        .operator(0, "asha")
        .apply(&document_with_comment("out"), 1)
        .await;
    assert_ne!(refused.exit_code, 0, "{refused:?}");

    let replaced = fleet.nodes.len() - 1;
    fleet.nodes[replaced].process.kill();
    fleet.nodes[replaced].upstream.process.kill();
    let replacement = fleet.add(&plans[1], 3);
    let node = &fleet.nodes[replacement];
    wait_until("the replacement is ready without the platform", || {
        node.is_ready()
    })
    .await;
    fleet.nodes.swap_remove(replaced);
    let caller = fleet.caller(0);
    wait_until("the replacement is called", || async {
        caller.get("diaries/slots", "replaced").await;
        let counts = fleet.nodes[replaced].upstream.counts().await;
        counts.starts_of("replaced") > 0
    })
    .await;
    let bookings = book_everywhere(&fleet, "replaced").await;
    assert_honest(&fleet, "diaries", &bookings).await;

    fleet.platform.set_down(false).await;
    let operator = fleet.operator(0, "asha");
    wait_until("a change is taken again", || async {
        operator
            .apply(&document_with_comment("back"), 1)
            .await
            .exit_code
            == 0
    })
    .await;
}

async fn book_everywhere(fleet: &Fleet, name: &str) -> Vec<Booking> {
    let mut bookings = Vec::new();
    for entry in 0..fleet.nodes.len() {
        let caller = fleet.caller(entry);
        let page = caller.get("listings/flats", name).await;
        assert!(page.is_answered(), "{page:?}");
        let marker = format!("{name}, entry {entry}");
        let ticket = caller.ticket(PATH, &marker).await;
        let reply = caller.post_with(PATH, &marker, &ticket).await;
        assert!(reply.is_answered(), "{reply:?}");
        bookings.push(Booking {
            marker,
            ticket,
            replies: vec![reply],
        });
    }
    bookings
}
