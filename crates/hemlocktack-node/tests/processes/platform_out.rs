//! The platform is out or slow for as long as the test lasts.

use std::time::Duration;

use hemlocktack_testkit::platform::Switches;

use crate::harness::{Booking, Fleet, Plan, assert_honest, document_with_comment, wait_until};

const PATH: &str = "diaries/appointments";
/// Longer than anything in the fleet is kept without being renewed.
const LONG: Duration = Duration::from_secs(12);

fn plans() -> [Plan; 2] {
    [Plan::new("listings", 1), Plan::new("diaries", 2)]
}

/// The platform goes out for longer than anything is kept without being
/// renewed. Families go on browsing and booking, with new tickets, through
/// every node. An operator's change is refused without effect; when the
/// platform is back, it is taken.
#[tokio::test(flavor = "multi_thread")]
async fn calls_and_tickets_go_on() {
    let fleet = Fleet::start(&plans()).await;
    fleet.platform.set_down(true).await;
    let mut bookings = book_everywhere(&fleet, "at once").await;
    tokio::time::sleep(LONG).await;
    bookings.extend(book_everywhere(&fleet, "much later").await);
    assert_honest(&fleet, "diaries", &bookings).await;

    let operator = fleet.operator(0, "asha");
    let change = document_with_comment("during the outage");
    let refused = operator.apply(&change, 1).await;
    assert_ne!(refused.exit_code, 0, "{refused:?}");
    fleet.platform.set_down(false).await;
    wait_until("the change is taken", || async {
        let applied = operator.apply(&change, 1).await;
        assert_ne!(applied.exit_code, 2, "{applied:?}");
        applied.generation() == Some(2)
    })
    .await;
}

/// The platform takes a minute for each call. Nothing on the way of a call
/// waits for it, and an operator's change is not told as accepted.
#[tokio::test(flavor = "multi_thread")]
async fn a_slow_platform_holds_no_call_up() {
    let fleet = Fleet::start(&plans()).await;
    let switches = Switches {
        slow_ms: 60_000,
        ..Switches::default()
    };
    fleet.platform.set(switches).await;
    let mut bookings = book_everywhere(&fleet, "at once").await;
    tokio::time::sleep(LONG).await;
    bookings.extend(book_everywhere(&fleet, "much later").await);
    assert_honest(&fleet, "diaries", &bookings).await;
    let change = document_with_comment("while it is slow");
    let refused = fleet.operator(0, "asha").apply(&change, 1).await;
    assert_ne!(refused.exit_code, 0, "{refused:?}");
}

/// A node and its upstream are replaced while the platform is out. The new
/// node gets the configuration from the others, becomes ready, and is called.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_is_replaced() {
    let mut fleet = Fleet::start(&plans()).await;
    fleet.platform.set_down(true).await;
    let replaced = fleet.nodes.len() - 1;
    fleet.nodes[replaced].process.kill();
    fleet.nodes[replaced].upstream.process.kill();
    let replacement = fleet.add(&plans()[1], 3);
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
