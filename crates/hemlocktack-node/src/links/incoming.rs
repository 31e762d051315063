//! Links that other nodes opened: their calls, cancellations and questions.

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
use super::senders::Sender;
use crate::calls;
use crate::handover;
use crate::node::Node;
use crate::sockets;

const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts links until the listener fails for good or the node stops.
pub(crate) async fn serve_links(node: Arc<Node>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Out of file descriptors, say: asking again at once would spin.
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
    let answers_echo = open.answers_echo;
    let (mut reader, writer) = open.split();
    let heard = reader.codec().heard().clone();
    let connection = Connection::start(peer.incarnation, writer, heard, answers_echo);
    let sender = node.senders.connected(&peer);
    while let Some(next) = next_frame(&mut reader, &connection).await {
        let Ok(Frame { body }) = next.inspect_err(log_malformed) else {
            break;
        };
        // A body of a newer schema decodes to nothing and is passed over.
        let Some(body) = body else { continue };
        handle(&node, &sender, &connection, body).await;
    }
    connection.close();
    node.senders.disconnected(&sender);
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
        frame::Body::Call(call) => take_call(node, sender, connection, call),
        frame::Body::EchoRequest(EchoRequest {}) => {
            connection.send_if_room(frame::Body::EchoReply(EchoReply {}));
        }
        frame::Body::Cancel(cancel) => sender.cancel(cancel.call_id),
        frame::Body::Resolve(resolve) => {
            resolve_call(node, sender, connection, resolve.call_id).await
        }
        frame::Body::Handover(part) => {
            let accepted = handover::receive_frame(node, &sender.identity, part);
            connection
                .send(frame::Body::HandoverAccepted(accepted))
                .await;
        }
        other => super::questions::answer(node, connection, other).await,
    }
}

fn take_call(node: &Arc<Node>, sender: &Arc<Sender>, connection: &Connection, call: Call) {
    let Some(cancelled) = node.senders.begin_call(sender, call.call_id, connection) else {
        return;
    };
    let in_flight = node.track_call();
    let node = node.clone();
    let sender = sender.clone();
    tokio::spawn(async move {
        let call_id = call.call_id;
        let request_id = call.request_id.clone();
        let mut answer = calls::receive(&node, call, &cancelled).await;
        answer.call_id = call_id;
        if !finish_call(&node, &sender, answer).await {
            log_undelivered(&node, &sender, call_id, &request_id);
        }
        drop(in_flight);
    });
}

/// Gives an answer to the links where its call is waited for; whether it has left.
///
/// Failure: one sender has two links here, because it knows this process under two
/// names or opened a later one. Symptom: the answer goes over the other link, which
/// knows nothing of the call or is closed, and the sender, whose own link is well,
/// waits to its deadline. The link that the call came over, or was asked for over,
/// is the one whose loss the sender notices, and then it asks again.
async fn finish_call(node: &Node, sender: &Sender, answer: Answer) -> bool {
    let mut connections = node.senders.finish(sender, &answer);
    let Some(last) = connections.pop() else {
        return false;
    };
    let others = connections
        .iter()
        .map(|connection| send_out(connection, answer.clone()));
    let others = futures::future::join_all(others);
    let (has_left, others) = futures::join!(send_out(&last, answer), others);
    has_left || others.contains(&true)
}

/// Waits until the answer is with the socket: a stop would end a large one that waits
/// for a slow reader.
async fn send_out(connection: &Connection, answer: Answer) -> bool {
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

/// Says what became of a call whose link was lost; see `Links::ask_again`.
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
