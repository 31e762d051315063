//! Opening outgoing links and reading the answers from them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::{ArcSwap, ArcSwapOption};
use futures::StreamExt;
use hemlocktack_fleet::NodeIncarnation;
use hemlocktack_protocol::{CancelCall, EchoReply, EchoRequest, Frame, NodeId, frame};
use hemlocktack_telemetry::{Event, log_event};
use tokio::net::TcpStream;
use tokio::sync::Notify;

use super::bodies::add_part;
use super::cancellations::LinkCancellations;
use super::codec::log_malformed;
use super::connection::Connection;
use super::handshake::{self, Reader};
use super::outgoing::{Links, Peer};
use super::pending::{CallEvent, Pending, deliver};
use super::queries::{self, PendingQueries};
use crate::sockets;

/// Longest time for opening a link. It takes one millisecond within a data centre and a few dozen
/// between regions, so a peer that has not answered by then counts as unreachable.
pub(super) const DIAL_TIMEOUT: Duration = Duration::from_millis(500);

/// The link to one node, which outlives individual connections.
pub(super) struct Link {
    node_id: NodeId,
    address: ArcSwap<SocketAddr>,
    connection: ArcSwapOption<Connection>,
    dial_lock: tokio::sync::Mutex<()>,
    pub(super) pending: Pending,
    pub(super) cancellations: LinkCancellations,
}

impl Links {
    /// Returns the open connection, or a new one.
    pub(super) async fn connect(&self, link: &Link, deadline: Instant) -> Option<Connection> {
        if let Some(connection) = link.open_connection() {
            return Some(connection);
        }
        let dial_deadline = deadline.min(Instant::now() + DIAL_TIMEOUT);
        tokio::time::timeout_at(dial_deadline.into(), self.dial(link))
            .await
            .ok()
            .flatten()
    }

    async fn dial(&self, link: &Link) -> Option<Connection> {
        let _dial_guard = link.dial_lock.lock().await;
        if let Some(connection) = link.open_connection() {
            return Some(connection);
        }
        let stream = TcpStream::connect(**link.address.load()).await.ok()?;
        sockets::configure_sender(&stream).ok()?;
        let opened = handshake::dial(
            stream,
            &self.own,
            &link.node_id,
            &self.keys,
            self.memory.gauge(),
        )
        .await;
        if let Err(handshake::Error::OtherNode(found)) = &opened {
            self.log_other_node(link, found);
        }
        let open = opened.ok()?;
        let (reader, connection) = open.start();
        let answers = read_answers(
            reader,
            connection.clone(),
            link.pending.clone(),
            link.cancellations.clone(),
            self.queries.clone(),
        );
        tokio::spawn(answers);
        link.cancellations.send_over(&connection);
        link.connection.store(Some(Arc::new(connection.clone())));
        Some(connection)
    }

    fn log_other_node(&self, link: &Link, found: &NodeIncarnation) {
        let Some(found_count) = self.address_mismatches.record() else {
            return;
        };
        log_event!(
            Event::OtherNodeAtAddress,
            node = %link.node_id,
            address = %**link.address.load(),
            found = %found.node_id,
            found_incarnation = found.incarnation,
            found_count
        );
    }
}

impl Link {
    pub(super) fn new(peer: &Peer, cancellations_waiting: Arc<Notify>) -> Self {
        Self {
            node_id: peer.node_id.clone(),
            address: ArcSwap::from_pointee(peer.link_address),
            connection: ArcSwapOption::empty(),
            dial_lock: tokio::sync::Mutex::new(()),
            pending: Pending::default(),
            cancellations: LinkCancellations::new(cancellations_waiting),
        }
    }

    /// Sets the address that the next connection is opened to.
    pub(super) fn set_address(&self, address: SocketAddr) {
        if **self.address.load() != address {
            self.address.store(Arc::new(address));
        }
    }

    fn open_connection(&self) -> Option<Connection> {
        let connection = self.connection.load_full()?;
        (!connection.is_closed()).then(|| Connection::clone(&connection))
    }
}

async fn read_answers(
    mut reader: Reader,
    connection: Connection,
    pending: Pending,
    cancellations: LinkCancellations,
    queries: PendingQueries,
) {
    loop {
        let next = tokio::select! {
            next = reader.next() => next,
            () = connection.closed() => None,
        };
        let next = next.map(|next| next.inspect_err(log_malformed));
        let Some(Ok(Frame { body })) = next else {
            break;
        };
        match body {
            Some(frame::Body::Answer(answer)) => {
                let (call_id, is_complete) = (answer.call_id, answer.body_length == 0);
                cancellations.confirm(call_id);
                let is_awaited = deliver(&pending, call_id, CallEvent::Answer(answer));
                if !is_awaited && !is_complete {
                    // The sender need not keep the body any longer.
                    connection.send_urgent(frame::Body::Cancel(CancelCall {
                        call_id,
                        ..CancelCall::default()
                    }));
                }
            }
            Some(frame::Body::EchoRequest(EchoRequest {})) => {
                connection.send_urgent(frame::Body::EchoReply(EchoReply {}));
            }
            Some(frame::Body::Resolution(resolution)) => {
                cancellations.confirm(resolution.call_id);
                deliver(
                    &pending,
                    resolution.call_id,
                    CallEvent::Resolution(resolution.progress()),
                );
            }
            Some(frame::Body::BodyRequest(request)) => {
                deliver(&pending, request.call_id, CallEvent::BodyRequested);
            }
            Some(frame::Body::BodyPart(part)) => add_part(&connection, &part),
            Some(other) => queries::deliver(&queries, other),
            None => {}
        }
    }
    connection.close();
    cancellations.link_lost();
    let peer_incarnation = connection.peer_incarnation;
    log_event!(Event::LinkLost, peer_incarnation);
}
