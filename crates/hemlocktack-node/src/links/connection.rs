//! Sending side of one TCP connection: a bounded buffer that senders write to the socket
//! themselves when it accepts bytes, and a close signal.

use std::collections::VecDeque;
use std::io::ErrorKind;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::{Buf, Bytes, BytesMut};
use hemlocktack_decide::{LinkAction, LinkMonitor, LinkMonitorPolicy};
use hemlocktack_protocol::{BootTime, CallId, EchoRequest, Frame, Incarnation, frame};
use hemlocktack_telemetry::{Event, log_event};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::{Notify, watch};
use tokio_util::codec::Encoder;

use super::FrameCodec;
use super::bodies::{ArrivingBody, OfferedBody};
use super::last_received::LastReceived;
use super::registry::Registry;
use crate::freshness::boot_time;
use crate::memory::{GaugedBytes, HeldFor, MemoryGauge};

/// Unsent bytes above which senders wait. A peer that reads slowly makes senders wait until their
/// own deadlines.
const OUTBOX_BYTES: usize = 256 << 10;
/// Bytes of waiting frames that are made ready for writing at once.
const WRITE_BYTES: usize = 16 << 10;

/// Sending side of a connection.
#[derive(Clone)]
pub(crate) struct Connection {
    pub(crate) peer_incarnation: Incarnation,
    shared: Arc<Shared>,
}

struct Shared {
    outbox: Mutex<Outbox>,
    /// There are unsent bytes for the writer task.
    has_unsent: Notify,
    /// The outbox has room again.
    has_room: Notify,
    /// The socket accepted bytes.
    progress: Notify,
    closed: watch::Sender<bool>,
    /// When the challenge of the handshake was sent or received.
    opened: BootTime,
    /// When the peer last sent bytes or read some of ours.
    last_received: LastReceived,
    peer_features: PeerFeatures,
    /// Bodies that the peer sends in parts.
    arriving: Registry<ArrivingBody>,
    /// Bodies of answers that the peer may ask for.
    offered: Registry<OfferedBody>,
    /// Number of replies to echo requests, which come in the order of the requests.
    echoes_received: watch::Sender<u64>,
}

/// What the peer's version can do.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PeerFeatures {
    /// It answers echo requests.
    pub(super) answers_echo: bool,
    /// It takes bodies that follow in parts.
    pub(super) takes_parts: bool,
}

struct Outbox {
    /// `None` once the connection is closed; dropping the socket notifies the peer.
    socket: Option<Arc<OwnedWriteHalf>>,
    codec: FrameCodec,
    /// Bytes that are being written, up to the end of a frame.
    bytes: BytesMut,
    /// Frames that go before the waiting ones.
    urgent: BytesMut,
    /// Frames that wait until the socket accepts bytes again.
    waiting: VecDeque<WaitingFrame>,
    waiting_bytes: usize,
    /// Bytes written to the socket since the connection was opened, and those of removed frames.
    written_bytes: u64,
    echoes_requested: u64,
    /// The writer task waits until the socket is writable; new frames are only appended.
    is_blocked: bool,
    /// Buffers of unsent frames.
    unsent: GaugedBytes,
}

/// An encoded frame of which nothing has been written.
struct WaitingFrame {
    /// `None` for a frame that is not a call.
    call_id: Option<CallId>,
    bytes: Bytes,
}

impl Connection {
    pub(super) fn start(
        peer_incarnation: Incarnation,
        socket: OwnedWriteHalf,
        opened: BootTime,
        last_received: LastReceived,
        peer_features: PeerFeatures,
        memory: &MemoryGauge,
    ) -> Self {
        let outbox = Outbox {
            socket: Some(Arc::new(socket)),
            codec: FrameCodec::new(memory),
            bytes: BytesMut::new(),
            urgent: BytesMut::new(),
            waiting: VecDeque::new(),
            waiting_bytes: 0,
            written_bytes: 0,
            echoes_requested: 0,
            is_blocked: false,
            unsent: memory.hold(HeldFor::UnsentFrames),
        };
        let shared = Arc::new(Shared {
            outbox: Mutex::new(outbox),
            has_unsent: Notify::new(),
            has_room: Notify::new(),
            progress: Notify::new(),
            closed: watch::Sender::new(false),
            opened,
            last_received,
            peer_features,
            arriving: Registry::default(),
            offered: Registry::default(),
            echoes_received: watch::Sender::new(0),
        });
        tokio::spawn(write_unsent(shared.clone()));
        Self {
            peer_incarnation,
            shared,
        }
    }

    /// Sends a frame; returns `false` if no byte of it was sent.
    ///
    /// The sender writes to the socket itself if the socket accepts bytes. Passing every frame
    /// to a writer task would cost a wake-up, which on an idle machine takes longer than the rest
    /// of the hop.
    ///
    /// Waits while the peer reads too slowly. If the future is dropped during that wait, nothing
    /// was sent.
    pub(crate) async fn send(&self, body: frame::Body) -> bool {
        self.send_built(|| body).await
    }

    /// Like [`Connection::send`], but builds the frame once its position in the order of frames is
    /// fixed.
    pub(crate) async fn send_built(&self, build: impl FnOnce() -> frame::Body) -> bool {
        loop {
            let room = self.shared.has_room.notified();
            tokio::pin!(room);
            room.as_mut().enable();
            if self.is_closed() {
                return false;
            }
            if self.shared.outbox().unsent_bytes() < OUTBOX_BYTES {
                return self.shared.take(build);
            }
            tokio::select! {
                () = room => {}
                () = self.closed() => return false,
            }
        }
    }

    /// Sends an optional frame if that needs no waiting; drops it otherwise.
    pub(crate) fn send_if_room(&self, body: frame::Body) {
        if !self.is_closed() && self.shared.outbox().unsent_bytes() < OUTBOX_BYTES {
            self.shared.take(|| body);
        }
    }

    /// Sends a small frame before the calls that wait for room; returns `false` if the connection
    /// is closed. Takes no part in the limit of unsent bytes: a caller's leaving must not be lost
    /// because the peer reads slowly.
    pub(crate) fn send_urgent(&self, body: frame::Body) -> bool {
        self.shared.take_urgent(&mut self.shared.outbox(), body)
    }

    pub(super) fn takes_parts(&self) -> bool {
        self.shared.peer_features.takes_parts
    }

    pub(super) fn arriving(&self) -> &Registry<ArrivingBody> {
        &self.shared.arriving
    }

    pub(super) fn offered(&self) -> &Registry<OfferedBody> {
        &self.shared.offered
    }

    /// Removes a call of which nothing has been written; returns whether it was found.
    pub(crate) fn remove_unsent(&self, call_id: CallId) -> bool {
        let mut outbox = self.shared.outbox();
        let is_removed = outbox.remove(call_id);
        if is_removed {
            self.shared.has_room.notify_waiters();
        }
        is_removed
    }

    /// Returns the time since this connection was opened.
    pub(crate) fn age(&self) -> Duration {
        boot_time().saturating_since(self.shared.opened)
    }

    /// Requests an echo and returns once it has arrived; `false` if the connection is closed before.
    /// What the peer had sent before its reply has arrived too.
    pub(crate) async fn echoed(&self) -> bool {
        let mut received = self.shared.echoes_received.subscribe();
        let Some(number) = self.shared.request_echo() else {
            return false;
        };
        tokio::select! {
            reached = received.wait_for(|received| *received >= number) => reached.is_ok(),
            () = self.closed() => false,
        }
    }

    /// Records that the peer has replied to an echo request.
    pub(crate) fn echo_received(&self) {
        self.shared
            .echoes_received
            .send_modify(|received| *received += 1);
    }

    /// Waits until everything sent so far is written to the socket, or the connection is closed.
    /// Returns whether it was written.
    pub(crate) async fn flushed(&self) -> bool {
        let end_bytes = self.shared.outbox().end_bytes();
        loop {
            let progress = self.shared.progress.notified();
            tokio::pin!(progress);
            progress.as_mut().enable();
            if self.shared.outbox().written_bytes >= end_bytes {
                return true;
            }
            if self.is_closed() {
                return false;
            }
            tokio::select! {
                () = progress => {}
                () = self.closed() => return self.shared.outbox().written_bytes >= end_bytes,
            }
        }
    }

    pub(crate) fn is_closed(&self) -> bool {
        *self.shared.closed.borrow()
    }

    pub(crate) fn close(&self) {
        self.shared.close();
    }

    /// Returns when the peer, or the path to it, counts as lost for a call that was sent at `sent`;
    /// see [`LinkMonitor`].
    pub(crate) async fn lost(&self, sent: Instant) {
        if !self.shared.peer_features.answers_echo {
            return std::future::pending().await;
        }
        let mut watch = LinkMonitor::new(LinkMonitorPolicy::default());
        loop {
            let last_received = self.shared.last_received.get().max(sent);
            let until = match watch.check(last_received, Instant::now()) {
                LinkAction::Lost => {
                    let peer_incarnation = self.peer_incarnation;
                    let silent_ms = last_received.elapsed().as_millis() as u64;
                    log_event!(Event::LinkSilent, peer_incarnation, silent_ms);
                    return;
                }
                LinkAction::Wait(until) => until,
                LinkAction::RequestEcho(until) => {
                    self.send_if_room(frame::Body::EchoRequest(EchoRequest {}));
                    until
                }
            };
            tokio::time::sleep_until(until.into()).await;
        }
    }

    /// Returns when the connection is lost or closed.
    pub(crate) async fn closed(&self) {
        self.shared.wait_closed().await;
    }
}

impl Outbox {
    /// Appends a frame; returns `false` for one over the size limit.
    fn encode_frame(&mut self, frame: Frame) -> bool {
        if !self.is_blocked {
            return self.codec.encode(frame, &mut self.bytes).is_ok();
        }
        let call_id = match &frame.body {
            Some(frame::Body::Call(call)) => Some(call.call_id),
            _ => None,
        };
        let mut bytes = BytesMut::new();
        if self.codec.encode(frame, &mut bytes).is_err() {
            return false;
        }
        let bytes = bytes.freeze();
        self.waiting_bytes += bytes.len();
        self.waiting.push_back(WaitingFrame { call_id, bytes });
        true
    }

    fn encode_urgent(&mut self, frame: Frame) -> bool {
        let target = match self.is_blocked {
            true => &mut self.urgent,
            false => &mut self.bytes,
        };
        self.codec.encode(frame, target).is_ok()
    }

    fn remove(&mut self, call_id: CallId) -> bool {
        let is_call = |frame: &WaitingFrame| frame.call_id == Some(call_id);
        let Some(position) = self.waiting.iter().position(is_call) else {
            return false;
        };
        if let Some(frame) = self.waiting.remove(position) {
            self.waiting_bytes -= frame.bytes.len();
            self.written_bytes += frame.bytes.len() as u64;
        }
        true
    }

    /// Counts the memory of the buffers.
    fn count_buffers(&mut self) {
        let bytes = self.bytes.capacity() + self.urgent.capacity() + self.waiting_bytes;
        self.unsent.set(bytes);
    }

    fn unsent_bytes(&self) -> usize {
        self.bytes.len() + self.urgent.len() + self.waiting_bytes
    }

    /// Returns the stream position after the last frame, comparable to `written_bytes`.
    fn end_bytes(&self) -> u64 {
        self.written_bytes + self.unsent_bytes() as u64
    }

    /// Takes the next frames once the last ones are written; returns whether there are any.
    fn refill(&mut self) -> bool {
        if !self.bytes.is_empty() {
            return true;
        }
        if self.bytes.capacity() > OUTBOX_BYTES {
            self.bytes = BytesMut::new();
        }
        std::mem::swap(&mut self.bytes, &mut self.urgent);
        while self.bytes.len() < WRITE_BYTES {
            let Some(frame) = self.waiting.pop_front() else {
                break;
            };
            self.waiting_bytes -= frame.bytes.len();
            self.bytes.extend_from_slice(&frame.bytes);
        }
        !self.bytes.is_empty()
    }

    fn write(&mut self) -> std::io::Result<()> {
        while self.refill() {
            let Some(socket) = &self.socket else {
                return Err(ErrorKind::NotConnected.into());
            };
            match socket.try_write(&self.bytes) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(written) => {
                    self.bytes.advance(written);
                    self.written_bytes += written as u64;
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    self.is_blocked = true;
                    return Ok(());
                }
                Err(error) => return Err(error),
            }
        }
        self.is_blocked = false;
        Ok(())
    }
}

impl Shared {
    fn outbox(&self) -> MutexGuard<'_, Outbox> {
        self.outbox.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Appends a frame to the outbox and writes what the socket accepts.
    fn take(&self, build: impl FnOnce() -> frame::Body) -> bool {
        let mut outbox = self.outbox();
        if outbox.socket.is_none() {
            return false;
        }
        let body = Some(build());
        if !outbox.encode_frame(Frame { body }) {
            return false;
        }
        self.write_unless_blocked(&mut outbox);
        true
    }

    fn take_urgent(&self, outbox: &mut Outbox, body: frame::Body) -> bool {
        if outbox.socket.is_none() || !outbox.encode_urgent(Frame { body: Some(body) }) {
            return false;
        }
        self.write_unless_blocked(outbox);
        true
    }

    /// Sends an echo request and returns its number; `None` if the connection is closed.
    fn request_echo(&self) -> Option<u64> {
        let mut outbox = self.outbox();
        let request = frame::Body::EchoRequest(EchoRequest {});
        let is_sent = self.take_urgent(&mut outbox, request);
        outbox.echoes_requested += u64::from(is_sent);
        is_sent.then_some(outbox.echoes_requested)
    }

    fn write_unless_blocked(&self, outbox: &mut Outbox) {
        if !outbox.is_blocked {
            self.write(outbox);
        }
    }

    /// Writes until the outbox is empty or the socket accepts no more bytes.
    fn write(&self, outbox: &mut Outbox) {
        let was_blocked = outbox.is_blocked;
        let before_bytes = outbox.written_bytes;
        outbox.count_buffers();
        let written = outbox.write();
        if was_blocked && outbox.written_bytes > before_bytes {
            // The peer has made room, so it is reading what was sent before.
            self.last_received.update();
        }
        self.progress.notify_waiters();
        match written {
            Ok(()) if outbox.is_blocked => self.has_unsent.notify_one(),
            Ok(()) => self.has_room.notify_waiters(),
            Err(_) => self.close_with(outbox),
        }
    }

    fn close(&self) {
        self.close_with(&mut self.outbox());
    }

    fn close_with(&self, outbox: &mut Outbox) {
        outbox.socket = None;
        self.closed.send_replace(true);
    }

    async fn wait_closed(&self) {
        let mut closed = self.closed.subscribe();
        let _ = closed.wait_for(|is_closed| *is_closed).await;
    }
}

/// Writer task: writes unsent bytes once the socket accepts bytes again.
async fn write_unsent(shared: Arc<Shared>) {
    loop {
        tokio::select! {
            () = shared.has_unsent.notified() => {}
            () = shared.wait_closed() => return,
        }
        let Some(socket) = shared.outbox().socket.clone() else {
            return;
        };
        tokio::select! {
            ready = socket.writable() => {
                if ready.is_err() {
                    return shared.close();
                }
            }
            () = shared.wait_closed() => return,
        }
        drop(socket);
        let mut outbox = shared.outbox();
        shared.write(&mut outbox);
    }
}
