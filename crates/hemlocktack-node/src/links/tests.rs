//! Concurrent calls and queries on two links of one sender, and cancellations that their link does
//! not deliver.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Barrier};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::StreamExt;
use hemlocktack_fleet::NodeIncarnation;
use hemlocktack_fleet::calls::Resolution;
use hemlocktack_fleet::keys::FleetKeys;
use hemlocktack_protocol::{Answer, Call, CallId, CallPurpose, Outcome, Reason, frame};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

use super::connection::{Connection, PeerFeatures};
use super::handshake::{self, Reader};
use super::last_received::LastReceived;
use super::outgoing::{Links, Peer, SendOutcome};
use super::senders::Senders;
use crate::calls::{SendProgress, not_run_answer};
use crate::freshness::boot_time;
use crate::memory::MemoryGauge;
use crate::memory::tests::body_memory;

const ROUNDS: u64 = 100_000;

/// Returns an open connection and its peer's stream, which keeps it open.
async fn connection() -> (Connection, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let near = TcpStream::connect(listener.local_addr().unwrap()).await;
    let (far, _) = listener.accept().await.unwrap();
    let (_, writer) = near.unwrap().into_split();
    (start_sending(writer), far)
}

/// Returns the sending side of a connection.
pub(super) fn start_sending(writer: OwnedWriteHalf) -> Connection {
    Connection::start(
        1,
        writer,
        boot_time(),
        LastReceived::new(),
        PeerFeatures::default(),
        &MemoryGauge::default(),
    )
}

/// Guards against an answer that is sent over a lost link only. This happens when a query over the
/// next link arrives at the same moment as its call or its answer, and the sender is told that the
/// call runs.
#[tokio::test]
async fn a_sender_that_is_told_its_call_is_running_gets_the_answer() {
    let (lost, _far) = connection().await;
    let (next, _far) = connection().await;
    lost.close();
    let senders = Senders::default();
    let sender = senders.connected(&NodeIncarnation::new("sender", 1));
    let start = Barrier::new(2);
    let answered = Barrier::new(2);
    std::thread::scope(|scope| {
        let asking = scope.spawn(|| {
            let mut told_running = Vec::new();
            for call_id in 1..=ROUNDS {
                start.wait();
                let resolution = senders.resolve(&sender, call_id, &next);
                told_running.push(resolution == Resolution::Running);
                answered.wait();
            }
            told_running
        });
        let mut came_through = Vec::new();
        for call_id in 1..=ROUNDS {
            start.wait();
            let call = Call {
                call_id,
                ..Call::default()
            };
            let taken = senders.begin_call(&sender, &call, &lost);
            if call_id % 2 == 0 {
                answered.wait();
            }
            let answer = Answer {
                call_id,
                ..Answer::default()
            };
            let reply_to = senders.finish(&sender, &answer);
            came_through.push(reply_to.iter().any(|reply_to| !reply_to.is_closed()));
            if call_id % 2 == 1 {
                answered.wait();
            }
            drop(taken);
        }
        let told_running = asking.join().unwrap();
        let lost_count = told_running
            .iter()
            .zip(&came_through)
            .filter(|(told_running, came_through)| **told_running && !**came_through)
            .count();
        assert_eq!(lost_count, 0, "of {ROUNDS}");
    });
}

const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// With [`LARGE_BODY_BYTES`], more than sockets and the buffer of unsent frames hold together.
const CALLS_TO_FILL_A_LINK: u64 = 300;
const LARGE_BODY_BYTES: usize = 60_000;

fn keys() -> FleetKeys {
    FleetKeys::new(b"a fleet key for tests, long enough", None).unwrap()
}

/// A node that sends calls, with the task that sends its cancellations.
pub(super) fn sender() -> Arc<Links> {
    let links = Arc::new(Links::new(
        NodeIncarnation::new("sender", 1),
        keys(),
        body_memory(),
    ));
    let served = links.clone();
    tokio::spawn(async move { served.send_cancellations().await });
    links
}

/// A node that only reads.
pub(super) struct Receiver {
    listener: TcpListener,
}

impl Receiver {
    pub(super) async fn listen(address: SocketAddr) -> Self {
        let listener = TcpListener::bind(address).await.unwrap();
        Self { listener }
    }

    pub(super) fn peer(&self) -> Peer {
        Peer {
            node_id: "receiver".into(),
            link_address: self.listener.local_addr().unwrap(),
        }
    }

    /// Accepts a link and reads the call that comes over it first.
    async fn accept_with_call(&self) -> ((Reader, OwnedWriteHalf), CallId) {
        let (mut reader, writer) = self.accept().await;
        let Some(frame::Body::Call(call)) = next_body(&mut reader).await else {
            panic!("no call");
        };
        ((reader, writer), call.call_id)
    }

    pub(super) async fn accept(&self) -> (Reader, OwnedWriteHalf) {
        let accepted = tokio::time::timeout(CALL_TIMEOUT, self.listener.accept()).await;
        let (stream, _) = accepted.expect("a link is opened").unwrap();
        let own = NodeIncarnation::new("receiver", 1);
        let open = handshake::accept(stream, &own, &keys(), &MemoryGauge::default())
            .await
            .unwrap();
        open.split()
    }
}

fn send_call(links: &Arc<Links>, peer: &Peer, body: Bytes) -> JoinHandle<()> {
    let (links, peer) = (links.clone(), peer.clone());
    tokio::spawn(async move {
        let call = Call {
            purpose: CallPurpose::PlacedOnce.into(),
            body,
            ..Call::default()
        };
        let _ = links
            .call(
                &peer,
                call,
                Instant::now() + CALL_TIMEOUT,
                &SendProgress::default(),
            )
            .await;
    })
}

pub(super) async fn next_body(reader: &mut Reader) -> Option<frame::Body> {
    let next = tokio::time::timeout(CALL_TIMEOUT, reader.next()).await;
    next.ok()??.ok()?.body
}

async fn next_cancelled(reader: &mut Reader) -> Option<CallId> {
    loop {
        if let frame::Body::Cancel(cancel) = next_body(reader).await? {
            return Some(cancel.call_id);
        }
    }
}

/// Failure: a caller leaves while the link is down, its cancellation can't be sent, and the call
/// runs although its entry knew.
#[tokio::test]
async fn a_call_that_is_cancelled_while_its_link_is_down_is_cancelled_over_the_next() {
    let links = sender();
    let receiver = Receiver::listen("127.0.0.1:0".parse().unwrap()).await;
    let peer = receiver.peer();
    let call = send_call(&links, &peer, Bytes::new());
    let (connection, call_id) = receiver.accept_with_call().await;
    drop((connection, receiver));
    tokio::time::sleep(Duration::from_millis(200)).await;
    call.abort();
    let receiver = Receiver::listen(peer.link_address).await;
    let (mut reader, _writer) = receiver.accept().await;
    assert_eq!(next_cancelled(&mut reader).await, Some(call_id));
}

/// Failure: a cancellation is written to a link that is reset before the receiver reads it.
#[tokio::test]
async fn a_cancellation_that_is_lost_with_its_link_is_sent_over_the_next() {
    let links = sender();
    let receiver = Receiver::listen("127.0.0.1:0".parse().unwrap()).await;
    let peer = receiver.peer();
    let call = send_call(&links, &peer, Bytes::new());
    let (connection, call_id) = receiver.accept_with_call().await;
    call.abort();
    let _ = call.await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    drop(connection);
    let (mut reader, _writer) = receiver.accept().await;
    assert_eq!(next_cancelled(&mut reader).await, Some(call_id));
}

/// Failure: the receiver reads nothing for a while, cancellations find no room, and calls that
/// were still to be sent are sent although nobody waits for them.
#[tokio::test]
async fn calls_that_wait_for_a_slow_receiver_are_cancelled_or_not_sent() {
    let links = sender();
    let receiver = Receiver::listen("127.0.0.1:0".parse().unwrap()).await;
    let body = Bytes::from(vec![b'x'; LARGE_BODY_BYTES]);
    let calls: Vec<_> = (0..CALLS_TO_FILL_A_LINK)
        .map(|_| send_call(&links, &receiver.peer(), body.clone()))
        .collect();
    let (mut reader, _writer) = receiver.accept().await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    for call in calls {
        call.abort();
        let _ = call.await;
    }
    let mut sent = BTreeSet::new();
    let mut cancelled = BTreeSet::new();
    let last = send_call(&links, &receiver.peer(), Bytes::new());
    while let Some(body) = next_body(&mut reader).await {
        match body {
            frame::Body::Call(call) if call.body.is_empty() => break,
            frame::Body::Call(call) => {
                sent.insert(call.call_id);
            }
            frame::Body::Cancel(cancel) => {
                cancelled.insert(cancel.call_id);
            }
            _ => {}
        }
    }
    last.abort();
    assert_eq!(sent, cancelled);
    let unsent_limit = CALLS_TO_FILL_A_LINK as usize;
    assert!(sent.len() < unsent_limit, "{} were sent", sent.len());
}

const SHORT_TIMEOUT: Duration = Duration::from_millis(300);

/// Longer than a silent link is waited for.
const UNTIL_LOST: Duration = Duration::from_millis(800);

/// How many of the calls that fill a link ended with each outcome.
#[derive(Debug, Default)]
struct Ends {
    never_arrived: usize,
    unknown: usize,
}

/// Sends calls that fill a link and returns how they ended.
async fn fill_link(links: &Arc<Links>, peer: &Peer, timeout: Duration) -> JoinHandle<Ends> {
    let deadline = Instant::now() + timeout;
    let body = Bytes::from(vec![b'x'; LARGE_BODY_BYTES]);
    let send = |_| {
        let (links, peer, body) = (links.clone(), peer.clone(), body.clone());
        tokio::spawn(async move {
            let call = Call {
                purpose: CallPurpose::PlacedOnce.into(),
                body,
                ..Call::default()
            };
            links
                .call(&peer, call, deadline, &SendProgress::default())
                .await
        })
    };
    let calls: Vec<_> = (0..CALLS_TO_FILL_A_LINK).map(send).collect();
    tokio::spawn(async move {
        let mut ends = Ends::default();
        for call in calls {
            match call.await.unwrap() {
                SendOutcome::NeverArrived(_) => ends.never_arrived += 1,
                SendOutcome::Unknown(_) => ends.unknown += 1,
                SendOutcome::Answer(_) => panic!("nothing answers"),
            }
        }
        ends
    })
}

/// Reads all calls that were written to a link; returns their number.
async fn count_calls(mut reader: Reader) -> usize {
    let mut count = 0;
    while let Ok(Some(Ok(frame))) =
        tokio::time::timeout(Duration::from_millis(500), reader.next()).await
    {
        count += usize::from(matches!(frame.body, Some(frame::Body::Call(_))));
    }
    count
}

/// Failure: the receiver reads nothing until the deadline, and calls whose frames have not left
/// this node are reported as possibly run.
#[tokio::test]
async fn a_call_that_was_not_written_by_its_deadline_never_arrived() {
    let links = sender();
    let receiver = Receiver::listen("127.0.0.1:0".parse().unwrap()).await;
    let ends = fill_link(&links, &receiver.peer(), SHORT_TIMEOUT).await;
    let (reader, _writer) = receiver.accept().await;
    let ends = ends.await.unwrap();
    let arrived = count_calls(reader).await;
    assert_eq!(ends.unknown, arrived, "{ends:?}");
    assert!(ends.never_arrived > 0, "{ends:?}");
}

/// Failure: a receiver stands still, its link counts as lost while calls wait to be written to it,
/// and these are reported as possibly run.
#[tokio::test]
async fn a_call_that_was_not_written_to_a_lost_link_never_arrived() {
    let links = sender();
    let receiver = Receiver::listen("127.0.0.1:0".parse().unwrap()).await;
    let ends = fill_link(&links, &receiver.peer(), CALL_TIMEOUT).await;
    let (reader, _writer) = receiver.accept().await;
    tokio::time::sleep(UNTIL_LOST).await;
    let arrived = count_calls(reader).await;
    let ends = ends.await.unwrap();
    // The frame that was being written counts as sent.
    let sent = arrived..=arrived + 1;
    assert!(sent.contains(&ends.unknown), "{ends:?}, {arrived} arrived");
    assert!(ends.never_arrived > 0, "{ends:?}");
}

/// Failure: a receiver refuses a call that waited in its queue, the refusal is lost with the link,
/// and the call is reported as possibly run, although the receiver is reachable again before the
/// deadline and can say that it did not run.
#[tokio::test]
async fn a_refusal_that_is_lost_with_its_link_is_asked_for() {
    for unreachable_ms in [0, 1_500] {
        let links = sender();
        let receiver = Receiver::listen("127.0.0.1:0".parse().unwrap()).await;
        let peer = receiver.peer();
        let called = peer.clone();
        let call = tokio::spawn(async move {
            let call = Call {
                purpose: CallPurpose::PlacedOnce.into(),
                ..Call::default()
            };
            let deadline = Instant::now() + CALL_TIMEOUT;
            links
                .call(&called, call, deadline, &SendProgress::default())
                .await
        });
        let (connection, call_id) = receiver.accept_with_call().await;
        drop((connection, receiver));
        tokio::time::sleep(Duration::from_millis(unreachable_ms)).await;
        let receiver = Receiver::listen(peer.link_address).await;
        let (mut reader, writer) = receiver.accept().await;
        let asked = next_body(&mut reader).await;
        let is_asked =
            matches!(asked, Some(frame::Body::Resolve(asked)) if asked.call_id == call_id);
        assert!(is_asked, "{unreachable_ms} ms");
        let connection = start_sending(writer);
        let refusal = Answer {
            call_id,
            ..not_run_answer(Reason::QueueTimeout, None)
        };
        assert!(connection.send(frame::Body::Answer(refusal)).await);
        let outcome = call.await.unwrap();
        let SendOutcome::Answer(answer) = outcome else {
            panic!("{unreachable_ms} ms: {outcome:?}");
        };
        assert_eq!(answer.outcome(), Outcome::NotRun);
    }
}
