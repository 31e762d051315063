//! Planned stops and leaving upstreams, under load.

use std::time::Duration;

use hemlocktack_protocol::{Call, CallPurpose, frame};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::frames;
use crate::harness::{
    Booking, FLEET_KEY, Fleet, Load, Node, Plan, Reply, assert_honest, book, wait_until,
};

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
/// More than the sockets on both sides hold.
const LARGE_ANSWER_BYTES: usize = 12_000_000;
/// The HTTP server hands an upload over once its first few bytes have come.
const UPLOAD_BYTES: usize = 2_000;
/// For which a reader pauses: longer than the drain of an idle node together
/// with the HTTP listener's own grace, and shorter than the drain limit.
const READERS_PAUSE: Duration = Duration::from_secs(8);

/// Tells the node to stop and pauses until an idle node would have ended.
async fn stop_and_pause(node: &Node) {
    node.process.signal("TERM");
    tokio::time::sleep(READERS_PAUSE).await;
}

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

/// A phone asks a node for a large page and reads it slowly. The page is ready,
/// so nothing runs any more when the node is stopped, but most of it has not
/// left yet. The phone gets all of it before the node ends.
#[tokio::test(flavor = "multi_thread")]
async fn a_large_answer_that_is_read_slowly_is_whole() {
    let mut fleet = Fleet::start(&[Plan::new("keys", 1)]).await;
    let url = format!(
        "http://{}/keys/box?padding-bytes={LARGE_ANSWER_BYTES}",
        fleet.nodes[0].callers
    );
    let answer = reqwest::get(url).await.unwrap();
    assert_eq!(answer.status(), 200);
    stop_and_pause(&fleet.nodes[0]).await;
    let body = answer.bytes().await.expect("the answer is cut");
    assert!(body.len() > LARGE_ANSWER_BYTES);
    assert_eq!(fleet.nodes[0].process.exit_code().await, Some(0));
}

/// Another node sent a call and reads its link slowly. The answer waits in the
/// link's buffer when the node that ran the call is stopped. It is whole.
#[tokio::test(flavor = "multi_thread")]
async fn a_large_answer_to_a_slow_node_is_whole() {
    let mut fleet = Fleet::start(&[Plan::new("keys", 1)]).await;
    let mut link = frames::open(&fleet.nodes[0], FLEET_KEY).await;
    let call = Call {
        call_id: 1,
        service: "keys".to_owned(),
        purpose: CallPurpose::Placed.into(),
        method: "GET".to_owned(),
        path: format!("/box?marker=slow&padding-bytes={LARGE_ANSWER_BYTES}"),
        time_left_us: Duration::from_secs(10).as_micros() as u64,
        ..Call::default()
    };
    frames::send(&mut link, frame::Body::Call(call)).await;
    fleet.wait_for_start("keys", "slow").await;
    stop_and_pause(&fleet.nodes[0]).await;
    let answer = loop {
        match frames::receive(&mut link).await {
            Some(frame::Body::Answer(answer)) => break answer,
            Some(_) => {}
            None => panic!("the answer is cut"),
        }
    };
    assert!(answer.body.len() > LARGE_ANSWER_BYTES);
    assert_eq!(fleet.nodes[0].process.exit_code().await, Some(0));
}

/// A caller is half-way through its upload when the node is stopped. The node
/// takes nothing new by the time the rest comes, but says so with a whole
/// answer; the caller is not left with a cut connection.
#[tokio::test(flavor = "multi_thread")]
async fn an_upload_that_is_under_way_gets_an_answer() {
    let mut fleet = Fleet::start(&[Plan::new("diaries", 1)]).await;
    let node = &fleet.nodes[0];
    let mut upload = TcpStream::connect(node.callers).await.unwrap();
    let half = "x".repeat(UPLOAD_BYTES / 2);
    let head = format!(
        "POST /diaries/appointments HTTP/1.1\r\nHost: diaries\r\n\
         Content-Length: {UPLOAD_BYTES}\r\nConnection: close\r\n\r\n{half}"
    );
    upload.write_all(head.as_bytes()).await.unwrap();
    wait_until("the upload is counted", || async {
        let in_flight = node.metric("hemlocktack_in_flight_calls").await;
        in_flight.is_some_and(|count| count == "1")
    })
    .await;
    stop_and_pause(node).await;
    upload.write_all(half.as_bytes()).await.unwrap();
    let mut answer = String::new();
    upload.read_to_string(&mut answer).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("hemlocktack-outcome: not-run"), "{answer}");
    assert!(answer.contains("hemlocktack-reason: draining"), "{answer}");
    assert_eq!(fleet.nodes[0].process.exit_code().await, Some(0));
}
