//! Observes the bytes of one connection and starts the requests in them early.

use std::convert::Infallible;
use std::io::ErrorKind;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::{Buf, Bytes, BytesMut};
use hemlocktack_interface::Interface;
use http::request;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::sync::Notify;

use super::early::{EarlyRequest, HeldBytes};
use super::heads::SplitHead;
use super::pipeline::{MAX_HELD_RESPONSE_BYTES, Pipeline};
use crate::calls::CallerWatch;
use crate::gateway::caller_socket::{Activity, CallerSocket};
use crate::gateway::classify::has_idempotent_route;
use crate::node::Node;

/// Look-ahead of one connection while hyper serves it.
pub(in crate::gateway) struct LookAhead {
    node: Arc<Node>,
    interface: Interface,
    watch: CallerWatch,
    activity: Activity,
    state: Mutex<State>,
    held: HeldBytes,
    /// Notified when bytes wait behind a request and a request may have become startable, and
    /// when a started request has been taken or discarded.
    changed: Notify,
}

struct State {
    pipeline: Pipeline<EarlyRequest>,
    /// Bytes read ahead that hyper has not been given.
    read_ahead: BytesMut,
    /// The caller has sent its last byte.
    is_at_end: bool,
}

/// Extension of a request whose handler finds its route: tells the look-ahead that the requests
/// behind it may be run beside it.
#[derive(Clone)]
pub(in crate::gateway) struct RouteGate(Arc<LookAhead>);

impl RouteGate {
    pub(in crate::gateway) fn open(&self) {
        let mut state = self.0.state();
        state.pipeline.open();
        self.0.notify_if_waiting(&state);
    }
}

impl LookAhead {
    pub(in crate::gateway) fn new(
        node: &Arc<Node>,
        interface: Interface,
        socket: &CallerSocket,
    ) -> Self {
        let header_limit_bytes = node.client_limits().header_limit_bytes;
        Self {
            node: node.clone(),
            interface,
            watch: socket.watch(),
            activity: socket.activity(),
            state: Mutex::new(State {
                pipeline: Pipeline::new(header_limit_bytes),
                read_ahead: BytesMut::new(),
                is_at_end: false,
            }),
            held: HeldBytes::default(),
            changed: Notify::new(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// An ordinary connection has no bytes behind its request and is never woken for them.
    fn notify_if_waiting(&self, state: &State) {
        if state.pipeline.waiting_bytes() > 0 {
            self.changed.notify_one();
        }
    }

    /// Takes note of bytes that hyper has read from the socket.
    pub(in crate::gateway) fn observe(&self, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        let mut state = self.state();
        state.pipeline.observe(bytes);
        if self.activity.is_serving() {
            self.notify_if_waiting(&state);
        }
    }

    /// Adds bytes that have been read from the socket and that hyper has not been given.
    pub(in crate::gateway) fn push_read_ahead(&self, bytes: &[u8]) {
        let mut state = self.state();
        state.read_ahead.extend_from_slice(bytes);
        state.pipeline.observe(bytes);
    }

    /// Gives hyper bytes that were read ahead; returns whether there were any.
    pub(in crate::gateway) fn deliver(&self, buffer: &mut ReadBuf<'_>) -> bool {
        let mut state = self.state();
        let length_bytes = state.read_ahead.len().min(buffer.remaining());
        if length_bytes == 0 {
            return false;
        }
        buffer.put_slice(&state.read_ahead[..length_bytes]);
        state.read_ahead.advance(length_bytes);
        true
    }

    /// Returns the bytes that were read ahead and that hyper has not been given.
    pub(in crate::gateway) fn take_read_ahead(&self) -> Bytes {
        std::mem::take(&mut self.state().read_ahead).freeze()
    }

    /// Takes note of the request that hyper has read; returns its early start, if it has one.
    pub(in crate::gateway) fn begin(
        self: &Arc<Self>,
        head: &mut request::Parts,
        has_body: bool,
    ) -> Option<EarlyRequest> {
        let mut state = self.state();
        let had_started = state.pipeline.started_count() > 0;
        let early = state.pipeline.begin(head, has_body);
        if had_started {
            self.changed.notify_one();
        }
        if early.is_none() {
            head.extensions.insert(RouteGate(self.clone()));
        }
        early
    }

    /// Starts requests and reads further ones while hyper serves the connection.
    pub(in crate::gateway) async fn run(&self, stream: &TcpStream) -> Infallible {
        loop {
            self.start_requests();
            tokio::select! {
                biased;
                () = self.changed.notified() => {}
                () = self.read_more(stream), if self.room_bytes() > 0 => {}
            }
        }
    }

    fn start_requests(&self) {
        let mut state = self.state();
        while self.may_start()
            && let Some(head) = state.pipeline.next_head()
        {
            self.start_request(&mut state.pipeline, head);
        }
    }

    fn may_start(&self) -> bool {
        self.activity.is_serving()
            && !self.node.is_stopping()
            && self.held.total() <= MAX_HELD_RESPONSE_BYTES
    }

    fn start_request(&self, pipeline: &mut Pipeline<EarlyRequest>, head: SplitHead) {
        if !self.is_idempotent(&head.parts) {
            return pipeline.push_waiting(head);
        }
        let parts = head.parts.clone();
        let early = EarlyRequest::start(&self.node, self.interface, parts, &self.watch, &self.held);
        pipeline.push_started(head, early);
    }

    fn is_idempotent(&self, head: &request::Parts) -> bool {
        let incoming = (self.interface.callers.read)(head);
        incoming.is_ok_and(|incoming| has_idempotent_route(&self.node, &incoming, head.uri.path()))
    }

    fn room_bytes(&self) -> usize {
        let state = self.state();
        if state.is_at_end || !self.activity.is_serving() || self.node.is_stopping() {
            return 0;
        }
        state.pipeline.read_ahead_room_bytes()
    }

    /// Waits for bytes and reads them, unless the request has been answered meanwhile.
    async fn read_more(&self, stream: &TcpStream) {
        let is_readable = stream.readable().await.is_ok();
        let mut bytes = vec![0; self.room_bytes()];
        if bytes.is_empty() {
            return;
        }
        match stream.try_read(&mut bytes) {
            Ok(length_bytes) if length_bytes > 0 => self.push_read_ahead(&bytes[..length_bytes]),
            Err(error) if is_readable && error.kind() == ErrorKind::WouldBlock => {}
            // Hyper meets the end or the error itself when it reads.
            _ => self.state().is_at_end = true,
        }
    }

    /// Ends the look-ahead. Requests that were started are still answered.
    pub(in crate::gateway) fn end(&self) {
        self.state().pipeline.end();
    }

    /// Ends the look-ahead if no further request has been started, so that the connection may
    /// close; returns whether it did.
    pub(in crate::gateway) fn end_if_none_started(&self) -> bool {
        self.state().pipeline.end_if_none_started()
    }

    /// Completes once hyper has read all requests that were started.
    pub(in crate::gateway) async fn all_taken(&self) {
        while self.state().pipeline.started_count() > 0 {
            self.changed.notified().await;
        }
    }
}
