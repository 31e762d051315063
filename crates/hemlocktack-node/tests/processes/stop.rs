//! Planned stops of nodes and draining upstreams, under load.

use std::time::Duration;

use hemlocktack_protocol::{Call, CallPurpose, frame};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::frames;
use crate::harness::{
    Booking, FLEET_KEY, Fleet, Load, Node, Plan, Reply, assert_outcomes_are_true, book, wait_until,
};

const PATH: &str = "diaries/appointments";
const BROWSERS: usize = 3;
const BOOKERS: usize = 3;
const SERVICE_MS: u64 = 50;
/// Time after which a draining upstream must get no new calls. It is shorter than the documented
/// few seconds, and shorter than the lifetime of the announcement, whose expiry would stop new
/// calls as well.
const UPSTREAM_DRAIN_TIME: Duration = Duration::from_secs(1);
/// Longer than the HTTP listener's own grace period, within which calls would end as well.
const LONG_SERVICE_MS: u64 = 7_000;
/// More than the socket buffers of both sides hold.
const LARGE_ANSWER_BYTES: usize = 12_000_000;
/// The HTTP server passes a request on when the first few bytes of its body have arrived.
const UPLOAD_BYTES: usize = 2_000;
/// Pause of a slow reader: longer than the drain of an idle node plus the HTTP listener's own grace
/// period, and shorter than the drain limit.
const READER_PAUSE: Duration = Duration::from_secs(8);

/// Tells the node to stop and waits until an idle node would have ended.
async fn stop_and_pause(node: &Node) {
    node.process.signal("TERM");
    tokio::time::sleep(READER_PAUSE).await;
}

fn assert_nothing_cut(requests: &[Booking]) {
    let is_cut = |reply: &Reply| ["cut", "unknown", "not-sent"].contains(&reply.outcome.as_str());
    let cut: Vec<&Booking> = requests
        .iter()
        .filter(|requests| requests.replies.iter().any(is_cut))
        .collect();
    assert!(
        cut.is_empty(),
        "{} of {}: {cut:#?}",
        cut.len(),
        requests.len()
    );
}

/// A node is stopped under load with SIGTERM, as for an upgrade, while callers enter at other
/// nodes. No request is cut or unknown, each booking runs once, and the node ends with exit code 0.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_is_stopped_under_load() {
    let mut fleet = Fleet::start(&[Plan::new("listings", 2), Plan::new("diaries", 2)]).await;
    fleet.set_service_time_ms("diaries", SERVICE_MS).await;
    let load = Load::start(BROWSERS, BOOKERS, &[fleet.caller(0), fleet.caller(1)]);
    load.wait_for_more(60).await;
    let leaving = fleet.positions_of("diaries")[0];
    fleet.nodes[leaving].process.signal("TERM");
    assert_eq!(fleet.nodes[leaving].process.exit_code().await, Some(0));
    load.wait_for_more(60).await;
    let requests = load.end().await;
    assert_nothing_cut(&requests);
    let bookings: Vec<Booking> = requests
        .into_iter()
        .filter(|requests| !requests.ticket.is_empty())
        .collect();
    assert_outcomes_are_true(&fleet, "diaries", &bookings).await;
}

/// A node is stopped while it is the entry of pages that it also runs, and runs bookings that
/// entered at another node. All are answered on their first send before the node ends.
#[tokio::test(flavor = "multi_thread")]
async fn calls_at_the_stopping_node_itself_are_answered() {
    let mut fleet = Fleet::start(&[Plan::new("listings", 1), Plan::new("diaries", 1)]).await;
    let stopping = fleet.positions_of("diaries")[0];
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
        let stopping_entry = fleet.caller(stopping);
        pending.push(tokio::spawn(async move {
            match ticket {
                Some(ticket) => entry.post_with(PATH, &marker, &ticket).await,
                None => stopping_entry.get("diaries/slots", &marker).await,
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

/// A node answers a booking and is then stopped. The caller lost the answer and sends the booking
/// again through another node: it gets the same answer from the successor to which the tickets
/// were handed over.
#[tokio::test(flavor = "multi_thread")]
async fn a_booking_of_a_stopped_node_is_answered_by_its_successor() {
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
    assert_outcomes_are_true(&fleet, "diaries", &bookings).await;
    for booking in &bookings {
        assert!(booking.last().is_answered(), "{booking:#?}");
    }
}

/// An upstream tells its node that it is draining. The calls that it runs are answered; a few
/// seconds later it gets no new calls, whichever node they enter at.
#[tokio::test(flavor = "multi_thread")]
async fn a_draining_upstream_gets_no_new_calls() {
    let fleet = Fleet::start(&[Plan::new("listings", 2), Plan::new("diaries", 2)]).await;
    fleet.set_service_time_ms("diaries", SERVICE_MS).await;
    let leaving = fleet.positions_of("diaries")[0];
    let load = Load::start(
        BROWSERS,
        BOOKERS,
        &[fleet.caller(0), fleet.caller(1), fleet.caller(leaving)],
    );
    load.wait_for_more(60).await;
    let upstream = &fleet.nodes[leaving].upstream;
    upstream.drain().await;
    tokio::time::sleep(UPSTREAM_DRAIN_TIME).await;
    let starts_before = upstream.counts().await.all_starts();
    load.wait_for_more(60).await;
    let requests = load.end().await;
    assert_nothing_cut(&requests);
    assert_eq!(upstream.counts().await.all_starts(), starts_before);
}

/// A caller reads a large answer slowly. When the node is stopped, no call runs any more but most
/// of the answer has not been sent. The caller gets the whole answer before the node ends.
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

/// Another node sends a call and reads its link slowly. The answer waits in the link's buffer when
/// the node that ran the call is stopped; it must arrive whole.
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

/// A node is stopped while a caller uploads a request body. When the rest arrives the node accepts
/// no new calls, but it must answer with a complete refusal rather than close the connection.
#[tokio::test(flavor = "multi_thread")]
async fn an_upload_in_progress_gets_an_answer() {
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
