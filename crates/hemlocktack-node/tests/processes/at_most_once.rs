//! Bookings while processes are killed or frozen.

use crate::harness::{Booking, Caller, Fleet, Plan, Reply, assert_outcomes_are_true, wait_until};

const PATH: &str = "diaries/appointments";
/// Long enough to kill or freeze a process while a booking runs.
const LONG_SERVICE_MS: u64 = 3_000;

fn plans() -> [Plan; 2] {
    [Plan::new("listings", 2), Plan::new("diaries", 2)]
}

/// Gets tickets for `count` bookings through the entry.
async fn bookings_with_tickets(
    fleet: &Fleet,
    entry: usize,
    name: &str,
    count: usize,
) -> Vec<Booking> {
    let mut bookings = Vec::new();
    for number in 0..count {
        let marker = format!("{name} {number}");
        bookings.push(Booking {
            ticket: fleet.caller(entry).ticket(PATH, &marker).await,
            marker,
            replies: Vec::new(),
        });
    }
    bookings
}

/// Sends all bookings concurrently and adds their replies.
async fn send_all(caller: &Caller, bookings: &mut [Booking]) {
    let replies = spawn_sends(caller, bookings);
    collect_replies(replies, bookings).await;
}

type PendingReplies = Vec<tokio::task::JoinHandle<Reply>>;

fn spawn_sends(caller: &Caller, bookings: &[Booking]) -> PendingReplies {
    let mut pending = Vec::new();
    for booking in bookings {
        let caller = caller.clone();
        let booking = booking.clone();
        pending.push(tokio::spawn(async move {
            caller
                .post_with(PATH, &booking.marker, &booking.ticket)
                .await
        }));
    }
    pending
}

async fn collect_replies(pending: PendingReplies, bookings: &mut [Booking]) {
    for (pending, booking) in pending.into_iter().zip(bookings) {
        booking.replies.push(pending.await.unwrap());
    }
}

/// A node is killed while bookings run. Those that it ran are `unknown`, as their upstream may
/// have completed them. Each caller sends its booking again through another node: the record of
/// the killed node's starts is lost, so none of them may run again, and the bookings of the other
/// node are answered as before.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_is_killed_with_bookings_in_flight() {
    let mut fleet = Fleet::start(&plans()).await;
    let mut bookings = bookings_with_tickets(&fleet, 0, "viewing", 8).await;
    fleet.set_service_time_ms("diaries", LONG_SERVICE_MS).await;
    let pending = spawn_sends(&fleet.caller(0), &bookings);
    for booking in &bookings {
        fleet.wait_for_start("diaries", &booking.marker).await;
    }
    let killed = fleet.wait_for_start("diaries", &bookings[0].marker).await;
    fleet.nodes[killed].process.kill();
    collect_replies(pending, &mut bookings).await;
    assert_eq!(bookings[0].last().outcome, "unknown", "{bookings:#?}");
    send_all(&fleet.caller(1), &mut bookings).await;
    assert_ne!(bookings[0].last().outcome, "not-run", "{bookings:#?}");
    assert_outcomes_are_true(&fleet, "diaries", &bookings).await;
    let later = fleet.caller(1);
    wait_until("bookings are answered again", || async {
        let ticket = later.ticket(PATH, "later").await;
        later.post_with(PATH, "later", &ticket).await.is_answered()
    })
    .await;
    assert_outcomes_are_true(&fleet, "diaries", &bookings).await;
}

/// The entry node is killed while a booking that it forwarded runs on another node. The caller
/// loses its connection, sends the booking again through another node, joins the run in progress
/// and gets its answer.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_is_killed_and_the_booking_is_joined_through_another() {
    let mut fleet = Fleet::start(&plans()).await;
    let mut bookings = bookings_with_tickets(&fleet, 0, "viewing", 4).await;
    fleet.set_service_time_ms("diaries", LONG_SERVICE_MS).await;
    let pending = spawn_sends(&fleet.caller(0), &bookings);
    for booking in &bookings {
        fleet.wait_for_start("diaries", &booking.marker).await;
    }
    fleet.nodes[0].process.kill();
    collect_replies(pending, &mut bookings).await;
    send_all(&fleet.caller(1), &mut bookings).await;
    for booking in &bookings {
        assert_eq!(booking.replies[0].outcome, "cut", "{booking:#?}");
        assert!(booking.last().is_answered(), "{booking:#?}");
    }
    assert_outcomes_are_true(&fleet, "diaries", &bookings).await;
}

/// The upstream is killed while it runs bookings; its node keeps running. The bookings may have
/// been completed, so they are `unknown` immediately and on every re-send, and they do not run
/// again when the upstream is back.
#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_is_killed_with_bookings_in_flight() {
    let mut fleet = Fleet::start(&[Plan::new("listings", 1), Plan::new("diaries", 1)]).await;
    let mut bookings = bookings_with_tickets(&fleet, 0, "viewing", 4).await;
    fleet.set_service_time_ms("diaries", LONG_SERVICE_MS).await;
    let pending = spawn_sends(&fleet.caller(0), &bookings);
    for booking in &bookings {
        fleet.wait_for_start("diaries", &booking.marker).await;
    }
    fleet.nodes[1].upstream.restart();
    collect_replies(pending, &mut bookings).await;
    let caller = fleet.caller(0);
    wait_until("the upstream is back", || async {
        caller.get("diaries/slots", "back").await.is_answered()
    })
    .await;
    send_all(&caller, &mut bookings).await;
    for booking in &bookings {
        let outcomes: Vec<&str> = booking
            .replies
            .iter()
            .map(|reply| reply.outcome.as_str())
            .collect();
        assert_eq!(outcomes, ["unknown", "unknown"], "{booking:#?}");
        // The new process counts from zero: the booking has not run again.
        assert_eq!(fleet.starts("diaries", &booking.marker).await, 0);
    }
}

/// A node is frozen while it is the home of bookings, some running and some not sent yet. Their
/// callers time out and send again through another node. When the node resumes, the others have
/// declared it dead, but it still holds these bookings, and old sends wait in its sockets. It may
/// run each booking that it is the home of once; no other node may.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_resumes_after_every_timeout_has_passed() {
    let fleet = Fleet::start(&plans()).await;
    let mut running = bookings_with_tickets(&fleet, 0, "running", 6).await;
    let mut waiting = bookings_with_tickets(&fleet, 0, "waiting", 6).await;
    fleet.set_service_time_ms("diaries", LONG_SERVICE_MS).await;
    let pending = spawn_sends(&fleet.caller(0), &running);
    for booking in &running {
        fleet.wait_for_start("diaries", &booking.marker).await;
    }
    let frozen = fleet.wait_for_start("diaries", &running[0].marker).await;
    fleet.nodes[frozen].process.signal("STOP");
    let sent_while_frozen = spawn_sends(&fleet.caller(0), &waiting);
    collect_replies(pending, &mut running).await;
    collect_replies(sent_while_frozen, &mut waiting).await;
    fleet.set_service_time_ms("diaries", 5).await;
    let other = fleet.caller(1);
    wait_until("browsing goes on without the frozen node", || async {
        let mut answered = 0;
        for _ in 0..10 {
            answered += u32::from(other.get("diaries/slots", "browse").await.is_answered());
        }
        answered == 10
    })
    .await;
    send_all(&other, &mut running).await;
    assert_outcomes_are_true(&fleet, "diaries", &running).await;
    assert_outcomes_are_true(&fleet, "diaries", &waiting).await;
    fleet.nodes[frozen].process.signal("CONT");
    let resumed = fleet.caller(frozen);
    wait_until("the resumed node serves", || async {
        resumed.get("diaries/slots", "woken").await.is_answered()
    })
    .await;
    send_all(&other, &mut running).await;
    send_all(&other, &mut waiting).await;
    send_all(&fleet.caller(frozen), &mut waiting).await;
    assert_outcomes_are_true(&fleet, "diaries", &running).await;
    assert_outcomes_are_true(&fleet, "diaries", &waiting).await;
}

/// A caller sends its booking again, as after a lost answer, through an entry that has just become
/// ready and may not know all members yet. The booking's home is alive, so the reply must be the
/// kept answer. Guards against `home-gone`, after which the caller would take its booking for lost.
#[tokio::test(flavor = "multi_thread")]
async fn a_new_entry_queries_the_home_before_reporting_it_gone() {
    let mut fleet = Fleet::start(&plans()).await;
    let mut bookings = bookings_with_tickets(&fleet, 0, "viewing", 8).await;
    send_all(&fleet.caller(0), &mut bookings).await;
    for number in 3..=6 {
        let fresh = fleet.add(&plans()[0], number);
        let node = &fleet.nodes[fresh];
        let is_ready = wait_until("the fresh entry is ready", || node.is_ready());
        is_ready.await;
        send_all(&fleet.caller(fresh), &mut bookings).await;
    }
    assert_outcomes_are_true(&fleet, "diaries", &bookings).await;
    for booking in &bookings {
        let verdicts: Vec<String> = booking.replies.iter().map(Reply::summary).collect();
        let is_answered = booking.replies.iter().all(Reply::is_answered);
        assert!(is_answered, "{}: {verdicts:#?}", booking.marker);
    }
}
