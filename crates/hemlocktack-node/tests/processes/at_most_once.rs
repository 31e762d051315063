//! Bookings while processes are killed or frozen.

use crate::harness::{Booking, Caller, Fleet, Plan, Reply, assert_honest, wait_until};

const PATH: &str = "diaries/appointments";
/// Long enough to do something to a process while a booking runs.
const LONG_SERVICE_MS: u64 = 3_000;

fn plans() -> [Plan; 2] {
    [Plan::new("listings", 2), Plan::new("diaries", 2)]
}

/// Tickets for so many bookings, through the entry.
async fn tickets(fleet: &Fleet, entry: usize, name: &str, count: usize) -> Vec<Booking> {
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

/// Sends all of them at once; the replies are added when all have come.
async fn send_all(caller: &Caller, bookings: &mut [Booking]) {
    let replies = start_all(caller, bookings);
    take_all(replies, bookings).await;
}

type Pending = Vec<tokio::task::JoinHandle<Reply>>;

fn start_all(caller: &Caller, bookings: &[Booking]) -> Pending {
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

async fn take_all(pending: Pending, bookings: &mut [Booking]) {
    for (pending, booking) in pending.into_iter().zip(bookings) {
        booking.replies.push(pending.await.unwrap());
    }
}

/// Families' bookings are running when the node beside one diary dies. Those
/// that it ran are `unknown`: their upstream may have done them. Each caller
/// sends its booking again through another node; the dead node's start is gone
/// for good, so nobody may run them again, and those of the living node are
/// answered as before.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_dies_with_bookings_in_flight() {
    let mut fleet = Fleet::start(&plans()).await;
    let mut bookings = tickets(&fleet, 0, "viewing", 8).await;
    fleet.set_service_time_ms("diaries", LONG_SERVICE_MS).await;
    let pending = start_all(&fleet.caller(0), &bookings);
    for booking in &bookings {
        fleet.wait_for_start("diaries", &booking.marker).await;
    }
    let victim = fleet.wait_for_start("diaries", &bookings[0].marker).await;
    fleet.nodes[victim].process.kill();
    take_all(pending, &mut bookings).await;
    assert_eq!(bookings[0].last().outcome, "unknown", "{bookings:#?}");
    send_all(&fleet.caller(1), &mut bookings).await;
    assert_ne!(bookings[0].last().outcome, "not-run", "{bookings:#?}");
    assert_honest(&fleet, "diaries", &bookings).await;
    let later = fleet.caller(1);
    wait_until("bookings are taken again", || async {
        let ticket = later.ticket(PATH, "later").await;
        later.post_with(PATH, "later", &ticket).await.is_answered()
    })
    .await;
    assert_honest(&fleet, "diaries", &bookings).await;
}

/// The entry node dies while the booking that it passed on runs elsewhere. The
/// caller's connection breaks; it sends the booking again through another node,
/// joins the run that is under way, and gets its answer.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_dies_and_the_booking_is_joined_through_another() {
    let mut fleet = Fleet::start(&plans()).await;
    let mut bookings = tickets(&fleet, 0, "viewing", 4).await;
    fleet.set_service_time_ms("diaries", LONG_SERVICE_MS).await;
    let pending = start_all(&fleet.caller(0), &bookings);
    for booking in &bookings {
        fleet.wait_for_start("diaries", &booking.marker).await;
    }
    fleet.nodes[0].process.kill();
    take_all(pending, &mut bookings).await;
    send_all(&fleet.caller(1), &mut bookings).await;
    for booking in &bookings {
        assert_eq!(booking.replies[0].outcome, "cut", "{booking:#?}");
        assert!(booking.last().is_answered(), "{booking:#?}");
    }
    assert_honest(&fleet, "diaries", &bookings).await;
}

/// The upstream dies while it runs bookings; its node lives. They may have run:
/// `unknown`, at once and whenever they are sent again, and never a second run
/// when the upstream is back.
#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_dies_with_bookings_in_flight() {
    let mut fleet = Fleet::start(&[Plan::new("listings", 1), Plan::new("diaries", 1)]).await;
    let mut bookings = tickets(&fleet, 0, "viewing", 4).await;
    fleet.set_service_time_ms("diaries", LONG_SERVICE_MS).await;
    let pending = start_all(&fleet.caller(0), &bookings);
    for booking in &bookings {
        fleet.wait_for_start("diaries", &booking.marker).await;
    }
    fleet.nodes[1].upstream.restart();
    take_all(pending, &mut bookings).await;
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
        // The new process counts from nothing: the booking is not run again.
        assert_eq!(fleet.starts("diaries", &booking.marker).await, 0);
    }
}

/// A diary's node is frozen while it is home of bookings: some running, some
/// not sent yet. Their callers give up, and send again through another node.
/// Everyone has taken the node for dead when it wakes, still believing that
/// these bookings are its own, with the sends of minutes ago in its sockets.
/// It may run what it is home of once; nobody else may.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_is_frozen_past_every_timeout_and_wakes() {
    let fleet = Fleet::start(&plans()).await;
    let mut running = tickets(&fleet, 0, "running", 6).await;
    let mut waiting = tickets(&fleet, 0, "waiting", 6).await;
    fleet.set_service_time_ms("diaries", LONG_SERVICE_MS).await;
    let pending = start_all(&fleet.caller(0), &running);
    for booking in &running {
        fleet.wait_for_start("diaries", &booking.marker).await;
    }
    let frozen = fleet.wait_for_start("diaries", &running[0].marker).await;
    fleet.nodes[frozen].process.signal("STOP");
    let sent_while_frozen = start_all(&fleet.caller(0), &waiting);
    take_all(pending, &mut running).await;
    take_all(sent_while_frozen, &mut waiting).await;
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
    assert_honest(&fleet, "diaries", &running).await;
    assert_honest(&fleet, "diaries", &waiting).await;
    fleet.nodes[frozen].process.signal("CONT");
    let woken = fleet.caller(frozen);
    wait_until("the woken node serves", || async {
        woken.get("diaries/slots", "woken").await.is_answered()
    })
    .await;
    send_all(&other, &mut running).await;
    send_all(&other, &mut waiting).await;
    send_all(&fleet.caller(frozen), &mut waiting).await;
    assert_honest(&fleet, "diaries", &running).await;
    assert_honest(&fleet, "diaries", &waiting).await;
}

/// An entry has just started and is ready. A family sends its booking again
/// through it, as after a lost answer, before the new node can have heard of
/// everyone. The booking's home lives, so the answer is the kept one and not
/// `home-gone`, after which the family would take its viewing for lost.
#[tokio::test(flavor = "multi_thread")]
async fn a_fresh_entry_asks_the_home_before_it_calls_it_gone() {
    let mut fleet = Fleet::start(&plans()).await;
    let mut bookings = tickets(&fleet, 0, "viewing", 8).await;
    send_all(&fleet.caller(0), &mut bookings).await;
    for number in 3..=6 {
        let fresh = fleet.add(&plans()[0], number);
        let node = &fleet.nodes[fresh];
        let is_ready = wait_until("the fresh entry is ready", || node.is_ready());
        is_ready.await;
        send_all(&fleet.caller(fresh), &mut bookings).await;
    }
    assert_honest(&fleet, "diaries", &bookings).await;
    for booking in &bookings {
        let verdicts: Vec<String> = booking.replies.iter().map(Reply::verdict).collect();
        let is_answered = booking.replies.iter().all(Reply::is_answered);
        assert!(is_answered, "{}: {verdicts:#?}", booking.marker);
    }
}
