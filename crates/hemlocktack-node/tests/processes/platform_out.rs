//! Calls, tickets and new nodes while the platform is unavailable or slow.

use std::time::Duration;

use hemlocktack_testkit::platform::Switches;

use crate::harness::{
    Booking, Fleet, Plan, assert_outcomes_are_true, document_with_comment, wait_until,
};

const PATH: &str = "diaries/appointments";
/// Longer than the lifetime of anything in the fleet that has to be renewed.
const BEYOND_ALL_LIFETIMES: Duration = Duration::from_secs(12);

fn plans() -> [Plan; 2] {
    [Plan::new("listings", 1), Plan::new("diaries", 2)]
}

/// The platform is unavailable for longer than the lifetime of anything that has to be renewed.
/// Page requests and bookings with new tickets are answered through every node. An operator's
/// change is refused without effect, and accepted when the platform is back.
#[tokio::test(flavor = "multi_thread")]
async fn calls_and_tickets_work_without_the_platform() {
    let fleet = Fleet::start(&plans()).await;
    fleet.platform.set_down(true).await;
    let mut bookings = book_everywhere(&fleet, "at once").await;
    tokio::time::sleep(BEYOND_ALL_LIFETIMES).await;
    bookings.extend(book_everywhere(&fleet, "much later").await);
    assert_outcomes_are_true(&fleet, "diaries", &bookings).await;

    let operator = fleet.operator(0, "asha");
    let change = document_with_comment("during the outage");
    let refused = operator.apply(&change, 1).await;
    assert_ne!(refused.exit_code, 0, "{refused:?}");
    fleet.platform.set_down(false).await;
    wait_until("the change is accepted", || async {
        let applied = operator.apply(&change, 1).await;
        assert_ne!(applied.exit_code, 2, "{applied:?}");
        applied.generation() == Some(2)
    })
    .await;
}

/// The platform takes a minute for each request. No call waits for it, and an operator's change is
/// not reported as accepted.
#[tokio::test(flavor = "multi_thread")]
async fn a_slow_platform_delays_no_call() {
    let fleet = Fleet::start(&plans()).await;
    let switches = Switches {
        slow_ms: 60_000,
        ..Switches::default()
    };
    fleet.platform.set_switches(switches).await;
    let mut bookings = book_everywhere(&fleet, "at once").await;
    tokio::time::sleep(BEYOND_ALL_LIFETIMES).await;
    bookings.extend(book_everywhere(&fleet, "much later").await);
    assert_outcomes_are_true(&fleet, "diaries", &bookings).await;
    let change = document_with_comment("while it is slow");
    let refused = fleet.operator(0, "asha").apply(&change, 1).await;
    assert_ne!(refused.exit_code, 0, "{refused:?}");
}

/// A node and its upstream are replaced while the platform is unavailable. The new node gets the
/// configuration from the others, becomes ready and receives calls.
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
    assert_outcomes_are_true(&fleet, "diaries", &bookings).await;
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
