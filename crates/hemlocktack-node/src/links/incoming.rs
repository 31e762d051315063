//! Links that other nodes opened: their calls, cancellations and queries.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::{FutureExt, StreamExt};
use hemlocktack_fleet::calls::{CallAges, Resolution};
use hemlocktack_protocol::{
    Answer, Call, CallId, CallResolution, CancelCall, EchoReply, EchoRequest, Frame, frame,
};
use hemlocktack_telemetry::{Event, log_event};
use tokio::net::{TcpListener, TcpStream};

use super::bodies::{add_part, complete_call, send_answer, send_offered};
use super::call_times::take_off_time;
use super::codec::log_malformed;
use super::connection::Connection;
use super::handshake::{self, OpenLink, Reader};
use super::senders::{Cancelled, CancelledCall, Sender};
use crate::calls::{self, Awaited};
use crate::counters::InFlightGuard;
use crate::handover;
use crate::node::Node;
use crate::sockets;

const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// How long calls are kept for a sender whose link has ended. It resolves idempotent calls over the
/// next link within 150 ms, or gives them up; its process may also have ended.
const RETURN_LIMIT: Duration = Duration::from_millis(350);
/// After this node stood still, the limit may have passed before the sender's next link is read.
const RETURN_RECHECK: Duration = Duration::from_millis(50);
/// Frames that are read before the calls among them are started.
const MAX_BATCH_FRAMES: usize = 4096;
/// Bytes of bodies after which no further frame is read before the calls are started.
const MAX_BATCH_BODY_BYTES: usize = 4 << 20;
/// Age from which the sender is asked whether a call is still waited for. Calls arrive within a
/// few milliseconds in a region, and a few dozen between regions.
const OLD_CALL_AGE: Duration = Duration::from_millis(150);
/// Longest wait for the sender's word about old calls. They are then refused, which a sender that
/// still waits is told.
const CONFIRM_LIMIT: Duration = Duration::from_millis(500);
/// Time before its deadline at which a call is refused whose sender has not confirmed it.
const UNCONFIRMED_REFUSAL_MARGIN: Duration = Duration::from_millis(20);

/// Accepts links; if accepting fails, retries after a pause.
pub(crate) async fn serve_links(node: Arc<Node>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // For example out of file descriptors: retrying at once would be a busy loop.
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        tokio::spawn(serve_link(node.clone(), stream));
    }
}

async fn serve_link(node: Arc<Node>, stream: TcpStream) {
    if sockets::configure(&stream).is_err() {
        return;
    }
    let Some(open) = open_link(&node, stream).await else {
        return;
    };
    let peer = open.peer.clone();
    let (mut reader, connection) = open.start();
    let sender = node.senders.connected(&peer);
    let mut ages = CallAges::default();
    let mut batch = Batch::default();
    while !batch.is_last {
        batch.read(&mut reader, &connection).await;
        let calls = register(&node, &sender, &connection, &mut ages, &mut batch);
        if batch.is_last {
            // Calls of a sender that has gone are not started.
            connection.close();
            node.senders.mark_without_link(&sender);
        }
        start_calls(&node, &sender, &connection, &mut ages, calls);
        for body in batch.bodies.drain(..) {
            handle(&node, &sender, &connection, body).await;
        }
    }
    if node.senders.disconnected(&sender) {
        tokio::time::sleep(RETURN_LIMIT).await;
        tokio::time::sleep(RETURN_RECHECK).await;
        for (call_id, cancelled) in sender.cancel_unresolved(RETURN_LIMIT) {
            log_cancelled(&node, &sender, call_id, &cancelled);
        }
    }
}

async fn open_link(node: &Node, stream: TcpStream) -> Option<OpenLink> {
    let address = stream.peer_addr().ok()?;
    let opening = handshake::accept(stream, &node.identity, &node.keys, node.memory.gauge());
    let opened = tokio::time::timeout(handshake::OPENING_TIMEOUT, opening).await;
    let error = match opened {
        Ok(Ok(open)) => return Some(open),
        Ok(Err(error)) => error,
        Err(_) => handshake::Error::Timeout,
    };
    if let Some(refused_count) = node.link_refusals.record() {
        log_event!(Event::LinkRefused, %address, %error, refused_count);
    }
    None
}

/// Frames that have arrived together.
///
/// A node that stood still, or reads too slowly, finds calls and behind them their cancellations
/// or the end of their link. All of them are read before any call is started.
#[derive(Default)]
struct Batch {
    bodies: Vec<frame::Body>,
    /// Bytes of the bodies of its calls.
    body_bytes: usize,
    /// The link has ended.
    is_last: bool,
}

impl Batch {
    /// Waits for a frame and reads what else has arrived.
    async fn read(&mut self, reader: &mut Reader, connection: &Connection) {
        self.body_bytes = 0;
        let first = tokio::select! {
            next = reader.next() => next,
            () = connection.closed() => None,
        };
        self.add(first, connection);
        while !self.is_last && !self.is_full() {
            let Some(next) = reader.next().now_or_never() else {
                break;
            };
            self.add(next, connection);
        }
    }

    fn is_full(&self) -> bool {
        self.bodies.len() >= MAX_BATCH_FRAMES || self.body_bytes >= MAX_BATCH_BODY_BYTES
    }

    fn add(&mut self, next: Option<super::codec::Result<Frame>>, connection: &Connection) {
        match next.map(|next| next.inspect_err(log_malformed)) {
            Some(Ok(Frame {
                body: Some(frame::Body::BodyPart(part)),
            })) => add_part(connection, &part),
            // A body of a newer schema decodes to `None` and is ignored.
            Some(Ok(Frame { body })) => {
                if let Some(frame::Body::Call(call)) = &body {
                    self.body_bytes += call.body.len();
                }
                self.bodies.extend(body);
            }
            Some(Err(_)) | None => self.is_last = true,
        }
    }
}

/// A call that has arrived and is not started.
struct ArrivedCall {
    call: Call,
    awaited: Awaited,
    in_flight: InFlightGuard,
    arrived_at: Instant,
}

/// Registers the calls of a batch, and applies what says whether they are waited for. Returns the
/// calls and leaves the other frames in the batch.
fn register(
    node: &Node,
    sender: &Arc<Sender>,
    connection: &Connection,
    ages: &mut CallAges,
    batch: &mut Batch,
) -> Vec<ArrivedCall> {
    let mut calls = Vec::new();
    let mut others = Vec::new();
    for body in batch.bodies.drain(..) {
        match body {
            frame::Body::Call(call) => {
                let awaited = node.senders.begin_call(sender, &call, connection);
                calls.extend(awaited.map(|awaited| ArrivedCall {
                    call,
                    awaited,
                    in_flight: node.track_call(),
                    arrived_at: Instant::now(),
                }));
            }
            frame::Body::Cancel(cancel) => {
                // Nobody waits for the body of its answer any longer.
                connection.offered().remove(cancel.call_id);
                let age = age_of(cancel.queued_at_us, ages, connection);
                cancel_call(node, sender, connection, &cancel, age);
            }
            frame::Body::EchoReply(EchoReply {}) => connection.echo_received(),
            other => others.push(other),
        }
    }
    batch.bodies = others;
    calls
}

/// Starts calls; first asks the sender about those that have been on their way for long.
fn start_calls(
    node: &Arc<Node>,
    sender: &Arc<Sender>,
    connection: &Connection,
    ages: &mut CallAges,
    calls: Vec<ArrivedCall>,
) {
    let mut old_calls = Vec::new();
    for mut arrived in calls {
        let age = age_of(arrived.call.queued_at_us, ages, connection);
        // A late call has less time left, and its sender gives it up that much earlier.
        take_off_time(&mut arrived.call, age);
        if age < OLD_CALL_AGE {
            start_call(node, sender, connection, arrived);
            continue;
        }
        old_calls.push(arrived);
    }
    if old_calls.is_empty() {
        return;
    }
    let (node, sender, connection) = (node.clone(), sender.clone(), connection.clone());
    tokio::spawn(async move { start_confirmed(&node, &sender, &connection, old_calls).await });
}

/// Returns how long a frame has been on its way; zero for one of an older version.
fn age_of(queued_at_us: u64, ages: &mut CallAges, connection: &Connection) -> Duration {
    if queued_at_us == 0 {
        return Duration::ZERO;
    }
    let queued_at = Duration::from_micros(queued_at_us);
    ages.age(queued_at, connection.age())
}

/// Starts calls that are old once their sender has had the chance to cancel them.
///
/// Their cancellations may still be on their way: behind them in the sender's buffer, or in the
/// network. The reply to an echo request comes behind all that were sent before it. If the link
/// has ended, calls are started only for a sender that returns.
async fn start_confirmed(
    node: &Arc<Node>,
    sender: &Arc<Sender>,
    connection: &Connection,
    mut calls: Vec<ArrivedCall>,
) {
    let confirm_until = Instant::now() + CONFIRM_LIMIT;
    let mut is_confirmed = false;
    let echoed = connection.echoed();
    tokio::pin!(echoed);
    calls.sort_by_key(|arrived| arrived.call.time_left_us);
    for arrived in calls {
        if !is_confirmed {
            let until = confirm_until.min(refuse_at(&arrived));
            let echoed = tokio::time::timeout_at(until.into(), echoed.as_mut()).await;
            is_confirmed = echoed.is_ok();
        }
        if !is_confirmed {
            arrived.awaited.cancel();
        }
        start_call(node, sender, connection, arrived);
    }
}

/// Returns when the sender of an unconfirmed call has to be told that the call will not run, so
/// that it learns of that before it gives the call up.
fn refuse_at(arrived: &ArrivedCall) -> Instant {
    let time_left = Duration::from_micros(arrived.call.time_left_us);
    arrived.arrived_at + time_left.saturating_sub(UNCONFIRMED_REFUSAL_MARGIN)
}

async fn handle(
    node: &Arc<Node>,
    sender: &Arc<Sender>,
    connection: &Connection,
    body: frame::Body,
) {
    match body {
        frame::Body::EchoRequest(EchoRequest {}) => {
            connection.send_if_room(frame::Body::EchoReply(EchoReply {}));
        }
        frame::Body::Resolve(resolve) => {
            resolve_call(node, sender, connection, resolve.call_id).await
        }
        frame::Body::BodyRequest(request) => send_offered(connection, request.call_id),
        frame::Body::Handover(part) => {
            let accepted = handover::receive_frame(node, &sender.identity, part);
            connection
                .send(frame::Body::HandoverAccepted(accepted))
                .await;
        }
        other => super::query_handler::answer_query(node, connection, other).await,
    }
}

fn start_call(
    node: &Arc<Node>,
    sender: &Arc<Sender>,
    connection: &Connection,
    arrived: ArrivedCall,
) {
    let ArrivedCall {
        mut call,
        awaited,
        in_flight,
        ..
    } = arrived;
    let node = node.clone();
    let (sender, connection) = (sender.clone(), connection.clone());
    tokio::spawn(async move {
        let call_id = call.call_id;
        let request_id = call.request_id.clone();
        let completed = complete_call(&node, &connection, &mut call, &awaited).await;
        let mut answer = match completed {
            Ok(()) => calls::receive(&node, call, &awaited).await,
            Err(reason) => calls::refused_by_link(&node, &call, reason),
        };
        answer.call_id = call_id;
        if !finish_call(&node, &sender, answer).await {
            log_undelivered(&node, &sender, call_id, &request_id);
        }
        drop(in_flight);
    });
}

/// Cancels a call and confirms that: by the answer of a call that is open, and otherwise by what
/// is known of it.
fn cancel_call(
    node: &Node,
    sender: &Sender,
    connection: &Connection,
    cancel: &CancelCall,
    age: Duration,
) {
    let call_id = cancel.call_id;
    let now = Instant::now();
    let left_ago = Duration::from_micros(cancel.left_ago_us).saturating_add(age);
    let left_at = now.checked_sub(left_ago).unwrap_or(now);
    let cancelled = match node.senders.cancel(sender, call_id, left_at) {
        Cancelled::Open(cancelled) => cancelled,
        Cancelled::NotOpen(resolution) => {
            let progress = resolution.progress().into();
            let known = CallResolution { call_id, progress };
            return connection.send_if_room(frame::Body::Resolution(known));
        }
    };
    if cancelled.was_started_late {
        node.counters.record_late_start();
    }
    log_cancelled(node, sender, call_id, &cancelled);
}

fn log_cancelled(node: &Node, sender: &Sender, call_id: CallId, cancelled: &CancelledCall) {
    let Some(left_out) = node.call_log_limiter.try_acquire() else {
        return;
    };
    let phase: &'static str = cancelled.phase.into();
    log_event!(
        Event::CallCancelled,
        request_id = cancelled.request_id,
        call_id,
        sender = %sender.identity.node_id,
        sender_incarnation = sender.identity.incarnation,
        phase,
        was_started_late = cancelled.was_started_late,
        elapsed_ms = cancelled.elapsed.as_millis() as u64,
        left_out
    );
}

/// Sends an answer over every link on which its call is waited for; returns whether it was sent.
///
/// One sender may have two links here, because it knows this process under two names or opened
/// another one later. If the answer went over the wrong one, which is closed or does not know the
/// call, the sender would wait until its deadline although its own link works. The answer
/// therefore goes to the links that the call or a query for it arrived on: the sender notices if
/// one of those is lost, and queries again.
async fn finish_call(node: &Node, sender: &Sender, answer: Answer) -> bool {
    let mut connections = node.senders.finish(sender, &answer);
    let Some(last) = connections.pop() else {
        return false;
    };
    let others = connections
        .iter()
        .map(|connection| send_and_flush(connection, answer.clone()));
    let others = futures::future::join_all(others);
    let (has_left, others) = futures::join!(send_and_flush(&last, answer), others);
    has_left || others.contains(&true)
}

/// Sends an answer and waits until it is written to the socket.
async fn send_and_flush(connection: &Connection, answer: Answer) -> bool {
    match send_answer(connection, answer).await {
        Some(sent) => sent.written().await,
        None => false,
    }
}

fn log_undelivered(node: &Node, sender: &Sender, call_id: CallId, request_id: &str) {
    let Some(left_out) = node.call_log_limiter.try_acquire() else {
        return;
    };
    log_event!(
        Event::AnswerUndelivered,
        request_id,
        call_id,
        sender = %sender.identity.node_id,
        sender_incarnation = sender.identity.incarnation,
        left_out
    );
}

/// Reports the outcome of a call whose link was lost; see `Links::resolve_after_reconnect`.
async fn resolve_call(node: &Node, sender: &Sender, connection: &Connection, call_id: CallId) {
    let resolution = node.senders.resolve(sender, call_id, connection);
    let progress = resolution.progress().into();
    if let Resolution::Finished(answer) = resolution {
        let sent = send_answer(connection, Arc::unwrap_or_clone(answer)).await;
        // The request for its body comes over this link, which is not read meanwhile.
        tokio::spawn(async move {
            if let Some(sent) = sent {
                sent.written().await;
            }
        });
    }
    connection
        .send(frame::Body::Resolution(CallResolution {
            call_id,
            progress,
        }))
        .await;
}
