//! Links that other nodes opened: their calls, cancellations and queries.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use hemlocktack_fleet::calls::Resolution;
use hemlocktack_protocol::{
    Answer, Call, CallId, CallResolution, EchoReply, EchoRequest, Frame, frame,
};
use hemlocktack_telemetry::{Event, log_event};
use tokio::net::{TcpListener, TcpStream};

use super::codec::log_malformed;
use super::connection::Connection;
use super::handshake::{self, OpenLink, Reader};
use super::senders::{Cancelled, CancelledCall, Sender};
use crate::calls;
use crate::handover;
use crate::node::Node;
use crate::sockets;

const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// How long calls are kept for a sender whose link has ended. It resolves idempotent calls over the
/// next link within 150 ms, or gives them up; its process may also have ended.
const RETURN_LIMIT: Duration = Duration::from_millis(400);

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
    let (answers_echo, opened) = (open.answers_echo, open.opened);
    let (mut reader, writer) = open.split();
    let last_received = reader.codec().last_received().clone();
    let connection = Connection::start(
        peer.incarnation,
        writer,
        opened,
        last_received,
        answers_echo,
    );
    let sender = node.senders.connected(&peer);
    while let Some(next) = next_frame(&mut reader, &connection).await {
        let Ok(Frame { body }) = next.inspect_err(log_malformed) else {
            break;
        };
        // A body of a newer schema decodes to `None` and is ignored.
        let Some(body) = body else { continue };
        handle(&node, &sender, &connection, body).await;
    }
    connection.close();
    if node.senders.disconnected(&sender) {
        tokio::time::sleep(RETURN_LIMIT).await;
        for (call_id, cancelled) in sender.cancel_unresolved() {
            log_cancelled(&node, &sender, call_id, &cancelled);
        }
    }
}

async fn open_link(node: &Node, stream: TcpStream) -> Option<OpenLink> {
    let address = stream.peer_addr().ok()?;
    let opening = handshake::accept(stream, &node.identity, &node.keys);
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

async fn next_frame(
    reader: &mut Reader,
    connection: &Connection,
) -> Option<super::codec::Result<Frame>> {
    tokio::select! {
        next = reader.next() => next,
        () = connection.closed() => None,
    }
}

async fn handle(
    node: &Arc<Node>,
    sender: &Arc<Sender>,
    connection: &Connection,
    body: frame::Body,
) {
    match body {
        frame::Body::Call(call) => start_call(node, sender, connection, call),
        frame::Body::EchoRequest(EchoRequest {}) => {
            connection.send_if_room(frame::Body::EchoReply(EchoReply {}));
        }
        frame::Body::Cancel(cancel) => cancel_call(node, sender, connection, cancel.call_id),
        frame::Body::Resolve(resolve) => {
            resolve_call(node, sender, connection, resolve.call_id).await
        }
        frame::Body::Handover(part) => {
            let accepted = handover::receive_frame(node, &sender.identity, part);
            connection
                .send(frame::Body::HandoverAccepted(accepted))
                .await;
        }
        other => super::query_handler::answer_query(node, connection, other).await,
    }
}

fn start_call(node: &Arc<Node>, sender: &Arc<Sender>, connection: &Connection, call: Call) {
    let Some(awaited) = node.senders.begin_call(sender, &call, connection) else {
        return;
    };
    let in_flight = node.track_call();
    let node = node.clone();
    let sender = sender.clone();
    tokio::spawn(async move {
        let call_id = call.call_id;
        let request_id = call.request_id.clone();
        let mut answer = calls::receive(&node, call, &awaited).await;
        answer.call_id = call_id;
        if !finish_call(&node, &sender, answer).await {
            log_undelivered(&node, &sender, call_id, &request_id);
        }
        drop(in_flight);
    });
}

/// Cancels a call and confirms that: by the answer of a call that is open, and otherwise by what
/// is known of it.
fn cancel_call(node: &Node, sender: &Sender, connection: &Connection, call_id: CallId) {
    let cancelled = match node.senders.cancel(sender, call_id) {
        Cancelled::Open(cancelled) => cancelled,
        Cancelled::NotOpen(resolution) => {
            let progress = resolution.progress().into();
            let known = CallResolution { call_id, progress };
            return connection.send_if_room(frame::Body::Resolution(known));
        }
    };
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

/// Sends an answer and waits until it is written to the socket. Otherwise a stop of this node would
/// cut off a large answer that waits for a slow reader.
async fn send_and_flush(connection: &Connection, answer: Answer) -> bool {
    connection.send(frame::Body::Answer(answer)).await && connection.flushed().await
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
        connection
            .send(frame::Body::Answer(Arc::unwrap_or_clone(answer)))
            .await;
    }
    connection
        .send(frame::Body::Resolution(CallResolution {
            call_id,
            progress,
        }))
        .await;
}
