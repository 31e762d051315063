//! Links between nodes that are cut and restored.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use reqwest::Method;

use crate::harness::{
    Booking, Caller, Fleet, Plan, Reply, WAIT_TIMEOUT, assert_outcomes_are_true, wait_until,
};

const PATH: &str = "diaries/appointments";
const SERVICE_MS: u64 = 1_500;
/// Longer than the delay between two attempts to connect to a peer, shorter than a run.
const CUT_DURATION: Duration = Duration::from_millis(300);
/// With [`LARGE_BODY_BYTES`], 18 MB: more than loopback sockets and a link's outbox hold.
const PAGES_TO_FILL_SOCKETS: usize = 300;
const LARGE_BODY_BYTES: usize = 60_000;

fn plans() -> [Plan; 2] {
    [Plan::new("listings", 2), Plan::new("diaries", 2).relayed()]
}

async fn book(caller: &Caller, marker: &str) -> Booking {
    let ticket = caller.ticket(PATH, marker).await;
    let reply = caller.post_with(PATH, marker, &ticket).await;
    Booking {
        marker: marker.to_owned(),
        ticket,
        replies: vec![reply],
    }
}

/// Every link to the nodes of `diaries` is cut briefly while bookings run. The entry queries the
/// homes over new links and learns that the bookings are running: each caller gets its answer on
/// the first send, and nothing runs twice.
#[tokio::test(flavor = "multi_thread")]
async fn a_briefly_cut_link_loses_no_answer() {
    let fleet = Fleet::start(&plans()).await;
    let caller = fleet.caller(0);
    let mut tickets = Vec::new();
    for number in 0..6 {
        let marker = format!("viewing {number}");
        tickets.push((caller.ticket(PATH, &marker).await, marker));
    }
    fleet.set_service_time_ms("diaries", SERVICE_MS).await;
    let mut pending = Vec::new();
    for (ticket, marker) in &tickets {
        let (caller, ticket, marker) = (caller.clone(), ticket.clone(), marker.clone());
        pending.push(tokio::spawn(async move {
            let replies = vec![caller.post_with(PATH, &marker, &ticket).await];
            Booking {
                marker,
                ticket,
                replies,
            }
        }));
    }
    for (_, marker) in &tickets {
        fleet.wait_for_start("diaries", marker).await;
    }
    fleet.cut_links();
    tokio::time::sleep(CUT_DURATION).await;
    fleet.restore_links();
    let mut bookings = Vec::new();
    for pending in pending {
        bookings.push(pending.await.unwrap());
    }
    for booking in &bookings {
        assert!(booking.last().is_answered(), "{booking:#?}");
    }
    assert_outcomes_are_true(&fleet, "diaries", &bookings).await;
}

/// The link stays cut for longer than the caller timeout while pages and bookings run and further
/// bookings are sent. Those that run are `unknown`; the others are `unknown` as well, or `not-run`
/// and then never run. When the link is restored, the bookings are sent again with the same tickets.
#[tokio::test(flavor = "multi_thread")]
async fn a_link_is_cut_for_longer_than_the_caller_timeout() {
    let plans = [Plan::new("listings", 2), Plan::new("diaries", 1).relayed()];
    let fleet = Fleet::start(&plans).await;
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
    fleet.set_service_time_ms("diaries", SERVICE_MS).await;
    let mut pending = Vec::new();
    for booking in &bookings[..4] {
        pending.push(send(&caller, booking));
    }
    let page = tokio::spawn({
        let caller = caller.clone();
        async move { caller.get("diaries/slots", "page").await }
    });
    for booking in &bookings[..4] {
        fleet.wait_for_start("diaries", &booking.marker).await;
    }
    fleet.wait_for_start("diaries", "page").await;
    fleet.cut_links();
    for booking in &bookings[4..] {
        pending.push(send(&caller, booking));
    }
    let page = page.await.unwrap();
    assert_eq!(page.outcome, "unknown", "{page:?}");
    for (pending, booking) in pending.into_iter().zip(&mut bookings) {
        booking.replies.push(pending.await.unwrap());
        assert_ne!(booking.last().outcome, "answered", "{booking:#?}");
    }
    assert_outcomes_are_true(&fleet, "diaries", &bookings).await;
    fleet.restore_links();
    wait_until("the node of diaries is reached again", || async {
        caller.get("diaries/slots", "back").await.is_answered()
    })
    .await;
    for booking in &mut bookings {
        let again = caller
            .post_with(PATH, &booking.marker, &booking.ticket)
            .await;
        booking.replies.push(again);
    }
    assert_outcomes_are_true(&fleet, "diaries", &bookings).await;
    for booking in &bookings[..4] {
        assert!(booking.last().is_answered(), "{booking:#?}");
    }
}

fn send(caller: &Caller, booking: &Booking) -> tokio::task::JoinHandle<Reply> {
    let (caller, booking) = (caller.clone(), booking.clone());
    tokio::spawn(async move {
        caller
            .post_with(PATH, &booking.marker, &booking.ticket)
            .await
    })
}

/// Links are cut repeatedly under load, so that frames are lost at any point on their way. Every
/// outcome that callers are told must be true; they send each unknown booking again through the
/// other entry.
#[tokio::test(flavor = "multi_thread")]
async fn links_are_cut_repeatedly_under_load() {
    let fleet = Fleet::start(&plans()).await;
    fleet.set_service_time_ms("diaries", 20).await;
    let stop = Arc::new(AtomicBool::new(false));
    let mut workers = Vec::new();
    for worker in 0..4 {
        let callers = [fleet.caller(worker % 2), fleet.caller((worker + 1) % 2)];
        workers.push(tokio::spawn(book_until_stopped(
            worker,
            callers.clone(),
            stop.clone(),
        )));
        workers.push(tokio::spawn(browse_until_stopped(
            worker,
            callers,
            stop.clone(),
        )));
    }
    for round in 0..20 {
        tokio::time::sleep(Duration::from_millis(40 + 13 * (round % 5))).await;
        fleet.cut_links();
        tokio::time::sleep(Duration::from_millis(10 + 31 * (round % 4))).await;
        fleet.restore_links();
    }
    stop.store(true, Ordering::Relaxed);
    let mut requests = Vec::new();
    for worker in workers {
        requests.extend(worker.await.unwrap());
    }
    let (bookings, pages): (Vec<_>, Vec<_>) = requests
        .into_iter()
        .partition(|requests| !requests.ticket.is_empty());
    assert_outcomes_are_true(&fleet, "diaries", &bookings).await;
    for page in &pages {
        let starts = fleet.starts("diaries", &page.marker).await;
        let summary = page.last().summary();
        assert!(
            starts == 0 || page.last().outcome != "not-run",
            "{starts} starts of {page:#?}"
        );
        assert!(
            starts > 0 || page.last().outcome != "answered",
            "{summary}: {page:#?}"
        );
    }
    for requests in [bookings, pages] {
        let answered = requests
            .iter()
            .filter(|requests| requests.last().is_answered());
        assert!(answered.count() > 0, "{requests:#?}");
    }
}

async fn browse_until_stopped(
    worker: usize,
    callers: [Caller; 2],
    stop: Arc<AtomicBool>,
) -> Vec<Booking> {
    let mut pages = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let marker = format!("worker {worker}, page {}", pages.len());
        pages.push(Booking {
            replies: vec![callers[0].get("diaries/slots", &marker).await],
            ticket: String::new(),
            marker,
        });
    }
    pages
}

async fn book_until_stopped(
    worker: usize,
    callers: [Caller; 2],
    stop: Arc<AtomicBool>,
) -> Vec<Booking> {
    let mut bookings = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let marker = format!("worker {worker}, viewing {}", bookings.len());
        let mut booking = book(&callers[0], &marker).await;
        for _ in 0..3 {
            if booking.last().outcome != "unknown" {
                break;
            }
            let again = callers[1].post_with(PATH, &marker, &booking.ticket).await;
            booking.replies.push(again);
        }
        bookings.push(booking);
    }
    bookings
}

/// A node is frozen with its sockets open, and the entry has more to send than the socket buffers
/// hold. Every caller gets a reply within its timeout, including those whose calls wait for buffer
/// space. The node resumes and reads what was sent: it must not start calls whose callers were told
/// `not-run`.
#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_node_with_full_sockets_blocks_no_caller() {
    let fleet = Fleet::start(&[Plan::new("listings", 1), Plan::new("diaries", 1)]).await;
    let frozen = fleet.positions_of("diaries")[0];
    fleet.nodes[frozen].process.signal("STOP");
    let mut pending = Vec::new();
    for number in 0..PAGES_TO_FILL_SOCKETS {
        let caller = fleet.caller(0);
        pending.push(tokio::spawn(async move {
            let marker = format!("page {number}");
            let headers = [("x-marker", &*marker), ("hemlocktack-caller-kind", "kiosk")];
            let body = "x".repeat(LARGE_BODY_BYTES);
            let reply = caller
                .send(Method::GET, "diaries/slots", &headers, &body)
                .await;
            (marker, reply)
        }));
    }
    let mut pages = Vec::new();
    for page in pending {
        let ended = tokio::time::timeout(WAIT_TIMEOUT, page).await;
        pages.push(ended.expect("a caller without a reply").unwrap());
    }
    fleet.nodes[frozen].process.signal("CONT");
    let caller = fleet.caller(0);
    wait_until("the resumed node serves", || async {
        caller.get("diaries/slots", "woken").await.is_answered()
    })
    .await;
    for (marker, reply) in &pages {
        let is_end = ["not-run", "unknown"].contains(&reply.outcome.as_str());
        assert!(is_end, "{marker}: {reply:?}");
        let starts = fleet.starts("diaries", marker).await;
        assert!(
            starts == 0 || reply.outcome == "unknown",
            "{starts} of {marker}: {reply:?}"
        );
    }
}
