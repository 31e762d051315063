//! Links between nodes that are cut and restored, with calls in flight.

use std::time::Duration;

use hemlocktack_testkit::Relay;

use crate::harness::{Booking, Caller, Fleet, Plan, Reply, assert_honest, wait_until};

const PATH: &str = "diaries/appointments";
const LONG_SERVICE_MS: u64 = 1_500;

/// One entry, and one diary whose links pass through a relay.
async fn fleet_with_relay() -> (Fleet, Relay) {
    let mut fleet = Fleet::start(&[Plan::new("listings", 2)]).await;
    let relay = fleet.add_behind_relay(&Plan::new("diaries", 1), 1).await;
    fleet.wait_until_serving().await;
    (fleet, relay)
}

fn book(caller: &Caller, marker: &str, ticket: &str) -> tokio::task::JoinHandle<Reply> {
    let caller = caller.clone();
    let (marker, ticket) = (marker.to_owned(), ticket.to_owned());
    tokio::spawn(async move { caller.post_with(PATH, &marker, &ticket).await })
}

/// Bookings run at the diary when its link to the entry breaks, and is back
/// before they end. The entry asks the same start of the node what became of
/// them; the callers get their answers on the first send.
#[tokio::test(flavor = "multi_thread")]
async fn a_link_breaks_and_the_answers_come_over_the_next() {
    let (fleet, relay) = fleet_with_relay().await;
    let caller = fleet.caller(0);
    fleet.set_service_time_ms("diaries", LONG_SERVICE_MS).await;
    let mut bookings = Vec::new();
    let mut pending = Vec::new();
    for number in 0..6 {
        let marker = format!("viewing {number}");
        let ticket = caller.ticket(PATH, &marker).await;
        pending.push(book(&caller, &marker, &ticket));
        bookings.push(Booking {
            marker,
            ticket,
            replies: Vec::new(),
        });
    }
    for booking in &bookings {
        fleet.wait_for_start("diaries", &booking.marker).await;
    }
    relay.cut();
    tokio::time::sleep(Duration::from_millis(200)).await;
    relay.restore();
    for (pending, booking) in pending.into_iter().zip(&mut bookings) {
        booking.replies.push(pending.await.unwrap());
        assert!(booking.last().is_answered(), "{booking:#?}");
    }
    assert_honest(&fleet, "diaries", &bookings).await;
}

/// The link stays cut past the callers' patience, with bookings running and
/// others sent meanwhile. They are `unknown`, or `not-run` and then never run.
/// When the link is back, they are sent again with the same tickets.
#[tokio::test(flavor = "multi_thread")]
async fn a_link_is_cut_past_the_callers_patience() {
    let (fleet, relay) = fleet_with_relay().await;
    let caller = fleet.caller(0);
    let mut bookings = Vec::new();
    for number in 0..8 {
        let marker = format!("viewing {number}");
        bookings.push(Booking {
            ticket: caller.ticket(PATH, &marker).await,
            marker,
            replies: Vec::new(),
        });
    }
    fleet.set_service_time_ms("diaries", LONG_SERVICE_MS).await;
    let mut pending = Vec::new();
    for booking in &bookings[..4] {
        pending.push(book(&caller, &booking.marker, &booking.ticket));
    }
    for booking in &bookings[..4] {
        fleet.wait_for_start("diaries", &booking.marker).await;
    }
    relay.cut();
    for booking in &bookings[4..] {
        pending.push(book(&caller, &booking.marker, &booking.ticket));
    }
    for (pending, booking) in pending.into_iter().zip(&mut bookings) {
        booking.replies.push(pending.await.unwrap());
        assert_ne!(booking.last().outcome, "answered", "{booking:#?}");
    }
    assert_honest(&fleet, "diaries", &bookings).await;
    relay.restore();
    wait_until("the diary is reached again", || async {
        caller.get("diaries/slots", "back").await.is_answered()
    })
    .await;
    for booking in &mut bookings {
        let again = caller
            .post_with(PATH, &booking.marker, &booking.ticket)
            .await;
        booking.replies.push(again);
    }
    assert_honest(&fleet, "diaries", &bookings).await;
    for booking in &bookings[..4] {
        assert!(booking.last().is_answered(), "{booking:#?}");
    }
}

/// The link breaks again and again under browsing and booking. Nobody gets a
/// cut or another's answer, and no booking runs twice.
#[tokio::test(flavor = "multi_thread")]
async fn a_flapping_link_mixes_nothing_up() {
    let (fleet, relay) = fleet_with_relay().await;
    fleet.set_service_time_ms("diaries", 20).await;
    let mut workers = Vec::new();
    for worker in 0..6 {
        let caller = fleet.caller(worker % 2);
        workers.push(tokio::spawn(async move {
            let mut asked = Vec::new();
            for number in 0..30 {
                let marker = format!("worker {worker}, request {number}");
                let page_marker = format!("page of {marker}");
                let page = caller.get("diaries/slots", &page_marker).await;
                assert!(
                    !page.is_answered() || page.body["marker"] == page_marker,
                    "{page:?}"
                );
                let ticket = caller.ticket(PATH, &marker).await;
                let first = caller.post_with(PATH, &marker, &ticket).await;
                let again = caller.post_with(PATH, &marker, &ticket).await;
                asked.push(Booking {
                    marker,
                    ticket,
                    replies: vec![first, again],
                });
            }
            asked
        }));
    }
    for _ in 0..10 {
        relay.cut();
        tokio::time::sleep(Duration::from_millis(20)).await;
        relay.restore();
        tokio::time::sleep(Duration::from_millis(150)).await;
    }
    for worker in workers {
        let asked = worker.await.unwrap();
        for booking in &asked {
            let is_cut = |reply: &Reply| reply.outcome == "cut";
            assert!(!booking.replies.iter().any(is_cut), "{booking:#?}");
        }
        assert_honest(&fleet, "diaries", &asked).await;
    }
}
