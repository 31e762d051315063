//! Planned stops and leaving upstreams, under load.

use std::time::Duration;

use crate::harness::{Booking, Fleet, Load, Plan, Reply, assert_honest, book};

const PATH: &str = "diaries/appointments";
const BROWSERS: usize = 3;
const BOOKERS: usize = 3;
const SERVICE_MS: u64 = 50;
/// After which a leaving upstream must get no new work. Shorter than the few
/// seconds of the promise, and than the lapse of its announcement, which would
/// keep new work away as well.
const LEAVING: Duration = Duration::from_secs(1);
/// Longer than the HTTP listener's own grace, which would let calls end too.
const LONG_SERVICE_MS: u64 = 7_000;

fn assert_nothing_cut(asked: &[Booking]) {
    let is_cut = |reply: &Reply| ["cut", "unknown", "not-sent"].contains(&reply.outcome.as_str());
    let cut: Vec<&Booking> = asked
        .iter()
        .filter(|asked| asked.replies.iter().any(is_cut))
        .collect();
    assert!(cut.is_empty(), "{} of {}: {cut:#?}", cut.len(), asked.len());
}

/// An operator stops one diary's node under load (SIGTERM), as for a new
/// version. Callers come in at other nodes: none of their requests is cut or
/// left unknown, each booking ran once, and the node ends with code 0.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_is_stopped_under_load() {
    let mut fleet = Fleet::start(&[Plan::new("listings", 2), Plan::new("diaries", 2)]).await;
    fleet.set_service_time_ms("diaries", SERVICE_MS).await;
    let load = Load::start(BROWSERS, BOOKERS, &[fleet.caller(0), fleet.caller(1)]);
    load.wait_for_more(60).await;
    let leaving = fleet.of("diaries")[0];
    fleet.nodes[leaving].process.signal("TERM");
    assert_eq!(fleet.nodes[leaving].process.exit_code().await, Some(0));
    load.wait_for_more(60).await;
    let asked = load.end().await;
    assert_nothing_cut(&asked);
    let bookings: Vec<Booking> = asked
        .into_iter()
        .filter(|asked| !asked.ticket.is_empty())
        .collect();
    assert_honest(&fleet, "diaries", &bookings).await;
}

/// Pages are in flight at the very node that is stopped, as entry and as the
/// one that runs them, and bookings that came in elsewhere. All are answered
/// on their first send before the node ends.
#[tokio::test(flavor = "multi_thread")]
async fn calls_at_the_stopping_node_itself_are_answered() {
    let mut fleet = Fleet::start(&[Plan::new("listings", 1), Plan::new("diaries", 1)]).await;
    let stopping = fleet.of("diaries")[0];
    let mut pending = Vec::new();
    let mut markers = Vec::new();
    for number in 0..3 {
        let marker = format!("viewing {number}");
        let ticket = fleet.caller(0).ticket(PATH, &marker).await;
        markers.push((marker, Some(ticket)));
        markers.push((format!("page {number}"), None));
    }
    fleet.set_service_time_ms("diaries", LONG_SERVICE_MS).await;
    for (marker, ticket) in markers.clone() {
        let entry = fleet.caller(0);
        let itself = fleet.caller(stopping);
        pending.push(tokio::spawn(async move {
            match ticket {
                Some(ticket) => entry.post_with(PATH, &marker, &ticket).await,
                None => itself.get("diaries/slots", &marker).await,
            }
        }));
    }
    for (marker, _) in &markers {
        fleet.wait_for_start("diaries", marker).await;
    }
    fleet.nodes[stopping].process.signal("TERM");
    for pending in pending {
        let reply = pending.await.unwrap();
        assert!(reply.is_answered(), "{reply:?}");
    }
    assert_eq!(fleet.nodes[stopping].process.exit_code().await, Some(0));
}

/// A booking was answered by a node that is then stopped. Its caller never saw
/// the answer and sends it again through another node: it gets that answer,
/// from the successor that took the tickets over.
#[tokio::test(flavor = "multi_thread")]
async fn a_booking_of_a_stopped_node_is_still_known() {
    let mut fleet = Fleet::start(&[Plan::new("listings", 1), Plan::new("diaries", 2)]).await;
    let caller = fleet.caller(0);
    let mut bookings = Vec::new();
    for number in 0..8 {
        bookings.push(book(&caller, PATH, &format!("viewing {number}")).await);
    }
    let leaving = fleet.wait_for_start("diaries", "viewing 0").await;
    fleet.nodes[leaving].process.signal("TERM");
    assert_eq!(fleet.nodes[leaving].process.exit_code().await, Some(0));
    for booking in &mut bookings {
        let again = caller
            .post_with(PATH, &booking.marker, &booking.ticket)
            .await;
        booking.replies.push(again);
    }
    assert_honest(&fleet, "diaries", &bookings).await;
    for booking in &bookings {
        assert!(booking.last().is_answered(), "{booking:#?}");
    }
}

/// An upstream tells its node that it is leaving. What it runs is answered;
/// a few seconds later it gets nothing new, whichever node callers come in at.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_upstream_gets_no_new_work() {
    let fleet = Fleet::start(&[Plan::new("listings", 2), Plan::new("diaries", 2)]).await;
    fleet.set_service_time_ms("diaries", SERVICE_MS).await;
    let leaving = fleet.of("diaries")[0];
    let load = Load::start(
        BROWSERS,
        BOOKERS,
        &[fleet.caller(0), fleet.caller(1), fleet.caller(leaving)],
    );
    load.wait_for_more(60).await;
    let upstream = &fleet.nodes[leaving].upstream;
    upstream.drain().await;
    tokio::time::sleep(LEAVING).await;
    let starts_before = upstream.counts().await.all_starts();
    load.wait_for_more(60).await;
    let asked = load.end().await;
    assert_nothing_cut(&asked);
    assert_eq!(upstream.counts().await.all_starts(), starts_before);
}
