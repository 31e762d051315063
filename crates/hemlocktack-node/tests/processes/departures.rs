//! What a node does with calls that their senders no longer wait for.

use std::time::Duration;

use bytes::Bytes;
use futures::SinkExt;
use hemlocktack_protocol::{
    Call, CallId, CancelCall, EchoReply, EchoRequest, Frame, Header, Outcome, ResolveCall, frame,
};
use prost::Message;

use crate::frames::{Link, is_answered, open, page, receive, send};
use crate::harness::{FLEET_KEY, Fleet, Plan};

const SERVICE: &str = "diaries";
const SERVICE_MS: u64 = 2_500;
/// Time for which the node stands still.
const PAUSE: Duration = Duration::from_millis(1_600);
/// Longer than calls are kept for a sender that may return, and than a run takes.
const WATCH_TIME: Duration = Duration::from_millis(4_000);
const CALLS: u64 = 40;
/// Calls that are not cancelled, sent before and after those that are.
const AWAITED: &str = "awaited";
const CANCELLED: &str = "cancelled";

async fn start_fleet() -> Fleet {
    let fleet = Fleet::start(&[Plan::new(SERVICE, 1)]).await;
    fleet.set_service_time_ms(SERVICE, SERVICE_MS).await;
    fleet
}

async fn open_link(fleet: &Fleet) -> Link {
    let mut link = open(&fleet.nodes[0], FLEET_KEY).await;
    assert!(is_answered(&mut link).await);
    link
}

/// Suspends the node and waits until all its threads stand still.
async fn suspend(fleet: &Fleet) {
    fleet.nodes[0].process.signal("STOP");
    tokio::time::sleep(Duration::from_millis(100)).await;
}

fn call(call_id: u64, marker: &str) -> frame::Body {
    let value = Bytes::copy_from_slice(marker.as_bytes());
    let marker = Header {
        name: "x-marker".to_owned(),
        value,
    };
    frame::Body::Call(Call {
        headers: vec![marker],
        time_left_us: 8_000_000,
        ..page(call_id)
    })
}

fn cancel(call_id: u64) -> frame::Body {
    frame::Body::Cancel(CancelCall {
        call_id,
        ..CancelCall::default()
    })
}

/// Sends frames in as few segments as possible.
async fn send_together(link: &mut Link, bodies: impl IntoIterator<Item = frame::Body>) {
    for body in bodies {
        let frame = Frame { body: Some(body) };
        link.feed(Bytes::from(frame.encode_to_vec())).await.unwrap();
    }
    SinkExt::<Bytes>::flush(link).await.unwrap();
}

async fn running_count(fleet: &Fleet) -> Option<String> {
    let name = "hemlocktack_upstream_in_flight_calls";
    fleet.nodes[0].metric(name).await
}

/// Failure: the process of an entry ends, and what it had sent runs on, although nobody can get
/// the answers.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_whose_sender_does_not_return_is_stopped() {
    let fleet = start_fleet().await;
    let mut link = open_link(&fleet).await;
    send(&mut link, call(1, CANCELLED)).await;
    fleet.wait_for_start(SERVICE, CANCELLED).await;
    assert_eq!(running_count(&fleet).await.as_deref(), Some("1"));
    drop(link);
    tokio::time::sleep(Duration::from_millis(SERVICE_MS / 2)).await;
    assert_eq!(running_count(&fleet).await.as_deref(), Some("0"));
}

/// Failure: a call is held up on a link that is lost, its cancellation comes over the next link
/// and is ignored, and then the call runs.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_arrives_after_its_cancellation_does_not_run() {
    let fleet = start_fleet().await;
    let mut lost = open_link(&fleet).await;
    let mut next = open_link(&fleet).await;
    send(&mut next, cancel(1)).await;
    assert!(is_answered(&mut next).await);
    send(&mut lost, call(1, CANCELLED)).await;
    send(&mut lost, call(2, AWAITED)).await;
    fleet.wait_for_start(SERVICE, AWAITED).await;
    assert_eq!(fleet.starts(SERVICE, CANCELLED).await, 0);
}

/// Failure: a node that stood still finds calls and behind them their cancellations, and starts
/// the calls.
#[tokio::test(flavor = "multi_thread")]
async fn calls_found_together_with_their_cancellations_are_not_started() {
    let fleet = start_fleet().await;
    let mut link = open_link(&fleet).await;
    suspend(&fleet).await;
    send(&mut link, call(1, AWAITED)).await;
    send_together(&mut link, (2..CALLS).map(|id| call(id, CANCELLED))).await;
    send_together(&mut link, (2..CALLS).map(cancel)).await;
    send(&mut link, call(CALLS, AWAITED)).await;
    tokio::time::sleep(PAUSE).await;
    fleet.nodes[0].process.signal("CONT");
    fleet.wait_for_start(SERVICE, AWAITED).await;
    tokio::time::sleep(WATCH_TIME).await;
    assert_eq!(fleet.starts(SERVICE, CANCELLED).await, 0);
    assert_eq!(fleet.starts(SERVICE, AWAITED).await, 2);
}

/// Failure: a node that stood still finds calls and behind them the end of their link, and starts
/// the calls of a process that is gone.
#[tokio::test(flavor = "multi_thread")]
async fn calls_found_together_with_the_end_of_their_link_are_not_started() {
    let fleet = start_fleet().await;
    let mut link = open_link(&fleet).await;
    suspend(&fleet).await;
    send_together(&mut link, (1..CALLS).map(|id| call(id, CANCELLED))).await;
    SinkExt::<Bytes>::close(&mut link).await.unwrap();
    drop(link);
    tokio::time::sleep(PAUSE).await;
    fleet.nodes[0].process.signal("CONT");
    tokio::time::sleep(WATCH_TIME).await;
    assert_eq!(fleet.starts(SERVICE, CANCELLED).await, 0);
}

/// Failure: a node that stood still finds calls whose cancellations are still on their way, and
/// starts the calls.
#[tokio::test(flavor = "multi_thread")]
async fn old_calls_are_started_only_after_their_sender_could_cancel_them() {
    let fleet = start_fleet().await;
    let mut link = open_link(&fleet).await;
    suspend(&fleet).await;
    let bodies = (1..=CALLS).map(|id| match id == CALLS {
        true => queued_call(id, AWAITED),
        false => queued_call(id, CANCELLED),
    });
    send_together(&mut link, bodies).await;
    tokio::time::sleep(PAUSE).await;
    fleet.nodes[0].process.signal("CONT");
    let asked = tokio::time::timeout(WATCH_TIME, receive(&mut link)).await;
    let asked = asked.expect("the node asks before it starts old calls");
    assert_eq!(asked, Some(frame::Body::EchoRequest(EchoRequest {})));
    send_together(&mut link, (1..CALLS).map(cancel)).await;
    send(&mut link, frame::Body::EchoReply(EchoReply {})).await;
    fleet.wait_for_start(SERVICE, AWAITED).await;
    tokio::time::sleep(WATCH_TIME).await;
    assert_eq!(fleet.starts(SERVICE, CANCELLED).await, 0);
}

/// Returns a call that was queued when the link was opened.
fn queued_call(call_id: u64, marker: &str) -> frame::Body {
    match call(call_id, marker) {
        frame::Body::Call(call) => frame::Body::Call(Call {
            queued_at_us: 1,
            ..call
        }),
        other => other,
    }
}

/// Failure: a sender whose link was lost returns for its call, and the call has been stopped.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_whose_sender_returns_is_answered() {
    let fleet = start_fleet().await;
    let mut lost = open_link(&fleet).await;
    send(&mut lost, call(1, AWAITED)).await;
    fleet.wait_for_start(SERVICE, AWAITED).await;
    drop(lost);
    let mut next = open_link(&fleet).await;
    resolve(&mut next, 1).await;
    assert_eq!(answered_call(&mut next).await, Some((1, Outcome::Answered)));
}

/// Failure: a sender returns for its call, its next link is lost too, and the time for its return
/// counts from the first loss.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_whose_sender_loses_its_links_in_series_is_answered() {
    let fleet = start_fleet().await;
    let mut first = open_link(&fleet).await;
    let mut second = open_link(&fleet).await;
    let mut third = open_link(&fleet).await;
    send(&mut first, call(1, AWAITED)).await;
    fleet.wait_for_start(SERVICE, AWAITED).await;
    drop(first);
    tokio::time::sleep(Duration::from_millis(200)).await;
    resolve(&mut second, 1).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    drop(second);
    tokio::time::sleep(Duration::from_millis(200)).await;
    resolve(&mut third, 1).await;
    assert_eq!(
        answered_call(&mut third).await,
        Some((1, Outcome::Answered))
    );
}

async fn resolve(link: &mut Link, call_id: CallId) {
    send(link, frame::Body::Resolve(ResolveCall { call_id })).await;
}

/// Returns the first call that is answered over this link, and its outcome.
async fn answered_call(link: &mut Link) -> Option<(CallId, Outcome)> {
    let answered = async {
        loop {
            if let frame::Body::Answer(answer) = receive(link).await? {
                return Some((answer.call_id, answer.outcome()));
            }
        }
    };
    tokio::time::timeout(WATCH_TIME, answered).await.ok()?
}
