//! One TCP connection's sending end: a bounded buffer, written by whoever
//! finds the socket free, and a close signal.

use std::io::ErrorKind;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use bytes::{Buf, BytesMut};
use hemlocktack_decide::{LinkAction, LinkMonitor, LinkMonitorPolicy};
use hemlocktack_protocol::{EchoRequest, Frame, Incarnation, frame};
use hemlocktack_telemetry::{Event, log_event};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::{Notify, watch};
use tokio_util::codec::Encoder;

use super::FrameCodec;
use super::heard::Heard;

/// Bytes that may wait for the socket before senders have to. A peer that
/// reads slowly makes senders wait, and they give up at their own deadlines.
const OUTBOX_BYTES: usize = 1 << 20;

/// Sending end of a connection.
#[derive(Clone)]
pub(crate) struct Connection {
    pub(crate) peer_incarnation: Incarnation,
    shared: Arc<Shared>,
}

struct Shared {
    outbox: Mutex<Outbox>,
    /// Something is left for the writer task.
    left_over: Notify,
    /// There is room in the outbox again.
    has_room: Notify,
    /// The socket took bytes.
    progress: Notify,
    closed: watch::Sender<bool>,
    /// When the far end gave a sign of life.
    heard: Heard,
    /// It answers echo requests.
    answers_echo: bool,
}

struct Outbox {
    /// Gone once the connection is closed: dropping it tells the peer.
    socket: Option<Arc<OwnedWriteHalf>>,
    codec: FrameCodec,
    bytes: BytesMut,
    /// What the socket has taken since the start.
    written_bytes: u64,
    /// The writer task waits for the socket; what is added goes behind.
    is_blocked: bool,
}

impl Connection {
    pub(super) fn start(
        peer_incarnation: Incarnation,
        socket: OwnedWriteHalf,
        heard: Heard,
        answers_echo: bool,
    ) -> Self {
        let outbox = Outbox {
            socket: Some(Arc::new(socket)),
            codec: FrameCodec::new(),
            bytes: BytesMut::new(),
            written_bytes: 0,
            is_blocked: false,
        };
        let shared = Arc::new(Shared {
            outbox: Mutex::new(outbox),
            left_over: Notify::new(),
            has_room: Notify::new(),
            progress: Notify::new(),
            closed: watch::Sender::new(false),
            heard,
            answers_echo,
        });
        tokio::spawn(write_left_overs(shared.clone()));
        Self {
            peer_incarnation,
            shared,
        }
    }

    /// Whether the frame was taken; if not, no byte of it left.
    ///
    /// The sender writes to the socket itself if that is free. A task between
    /// them would cost every frame a wake-up, which on an idle machine takes
    /// longer than the rest of the hop.
    ///
    /// Waits while the peer reads too slowly. A sender that goes away while it
    /// waits has sent nothing.
    pub(crate) async fn send(&self, body: frame::Body) -> bool {
        self.send_built(|| body).await
    }

    /// As [`Connection::send`], with a frame that is built when its place in the
    /// order of frames is certain.
    pub(crate) async fn send_built(&self, build: impl FnOnce() -> frame::Body) -> bool {
        loop {
            let room = self.shared.has_room.notified();
            tokio::pin!(room);
            room.as_mut().enable();
            if self.is_closed() {
                return false;
            }
            if self.shared.outbox().bytes.len() < OUTBOX_BYTES {
                return self.shared.take(build);
            }
            tokio::select! {
                () = room => {}
                () = self.closed() => return false,
            }
        }
    }

    /// Sends a frame that helps but may be left out, if that needs no waiting.
    pub(crate) fn send_if_room(&self, body: frame::Body) {
        if !self.is_closed() && self.shared.outbox().bytes.len() < OUTBOX_BYTES {
            self.shared.take(|| body);
        }
    }

    /// Waits until all that was sent so far is with the socket, or until the
    /// connection is closed; whether the socket has it.
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

    /// Ends when the far end, or the way to it, counts as lost for a call that
    /// was sent at `sent`; see [`LinkMonitor`].
    pub(crate) async fn lost(&self, sent: Instant) {
        if !self.shared.answers_echo {
            return std::future::pending().await;
        }
        let mut watch = LinkMonitor::new(LinkMonitorPolicy::default());
        loop {
            let heard = self.shared.heard.last().max(sent);
            let until = match watch.check(heard, Instant::now()) {
                LinkAction::Lost => {
                    let peer_incarnation = self.peer_incarnation;
                    let silent_ms = heard.elapsed().as_millis() as u64;
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

    /// Ends when the connection is lost or closed.
    pub(crate) async fn closed(&self) {
        self.shared.until_closed().await;
    }
}

impl Outbox {
    /// Whether the frame was taken; one over the limit is not.
    fn push(&mut self, frame: Frame) -> bool {
        self.codec.encode(frame, &mut self.bytes).is_ok()
    }

    /// Position behind the last frame, counted as `written_bytes` is.
    fn end_bytes(&self) -> u64 {
        self.written_bytes + self.bytes.len() as u64
    }

    fn write(&mut self) -> std::io::Result<()> {
        let Some(socket) = &self.socket else {
            return Err(ErrorKind::NotConnected.into());
        };
        while !self.bytes.is_empty() {
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

    /// Puts a frame behind what waits and writes what the socket takes.
    fn take(&self, build: impl FnOnce() -> frame::Body) -> bool {
        let mut outbox = self.outbox();
        if outbox.socket.is_none() {
            return false;
        }
        let body = Some(build());
        if !outbox.push(Frame { body }) {
            return false;
        }
        if !outbox.is_blocked {
            self.write(&mut outbox);
        }
        true
    }

    /// Writes until the outbox is empty or the socket takes no more.
    fn write(&self, outbox: &mut Outbox) {
        let was_blocked = outbox.is_blocked;
        let before_bytes = outbox.written_bytes;
        let written = outbox.write();
        if was_blocked && outbox.written_bytes > before_bytes {
            // The far end has made room: it reads what was sent before.
            self.heard.note();
        }
        self.progress.notify_waiters();
        match written {
            Ok(()) if outbox.is_blocked => self.left_over.notify_one(),
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

    async fn until_closed(&self) {
        let mut closed = self.closed.subscribe();
        let _ = closed.wait_for(|is_closed| *is_closed).await;
    }
}

/// Writes what senders could not, once the socket takes bytes again.
async fn write_left_overs(shared: Arc<Shared>) {
    loop {
        tokio::select! {
            () = shared.left_over.notified() => {}
            () = shared.until_closed() => return,
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
            () = shared.until_closed() => return,
        }
        drop(socket);
        let mut outbox = shared.outbox();
        shared.write(&mut outbox);
    }
}
