//! A caller's socket that tracks whether its connection is idle.

use std::io::{self, ErrorKind};
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use bytes::Bytes;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;

use super::look_ahead::LookAhead;
use crate::calls::CallerWatch;

/// A socket, with bytes already read from it that belong to an incomplete request.
pub(super) struct CallerSocket {
    stream: Arc<TcpStream>,
    read_ahead: Bytes,
    activity: Activity,
    /// Look-ahead that sees all bytes read from the socket.
    look_ahead: Option<Arc<LookAhead>>,
}

/// Activity of one connection, shared by its socket and its requests.
#[derive(Clone)]
pub(super) struct Activity {
    state: Arc<Mutex<ActivityState>>,
    /// A write has returned `Pending`.
    write_blocked: Arc<Notify>,
}

struct ActivityState {
    open_requests: u32,
    /// Bytes have arrived since the last response, so a request may be arriving.
    is_receiving: bool,
    /// Since when writes of a response return `Pending`.
    write_blocked_since: Option<Instant>,
    /// Id of the request whose response is not yet written as a whole.
    unsent_response: Option<String>,
    last_response: Instant,
}

/// Guard that marks a request as open until its response is ready.
pub(super) struct OpenRequest {
    activity: Activity,
}

impl CallerSocket {
    pub(super) fn new(stream: TcpStream) -> Self {
        Self {
            stream: Arc::new(stream),
            read_ahead: Bytes::new(),
            activity: Activity::new(),
            look_ahead: None,
        }
    }

    /// Returns the socket with a look-ahead, if there is one, that sees all bytes from here on.
    pub(super) fn with_look_ahead(mut self, look_ahead: Option<Arc<LookAhead>>) -> Self {
        if let Some(look_ahead) = &look_ahead {
            look_ahead.push_read_ahead(&std::mem::take(&mut self.read_ahead));
        }
        Self { look_ahead, ..self }
    }

    /// Returns the socket without its look-ahead. `unparsed` and what the look-ahead has read
    /// are read before the rest of the stream.
    pub(super) fn with_read_ahead(self, unparsed: Bytes) -> Self {
        let behind = self.look_ahead.map(|ahead| ahead.take_read_ahead());
        // A copy, because even an empty slice keeps the buffer it was cut from alive.
        let read_ahead = [unparsed, behind.unwrap_or_default()].concat();
        Self {
            read_ahead: read_ahead.into(),
            look_ahead: None,
            ..self
        }
    }

    pub(super) fn stream(&self) -> Arc<TcpStream> {
        self.stream.clone()
    }

    pub(super) fn has_read_ahead(&self) -> bool {
        !self.read_ahead.is_empty()
    }

    pub(super) fn activity(&self) -> Activity {
        self.activity.clone()
    }

    pub(super) fn watch(&self) -> CallerWatch {
        CallerWatch::new(&self.stream)
    }

    /// Moves bytes that were read earlier to the buffer; returns whether there were any.
    fn deliver_read_ahead(&mut self, buffer: &mut ReadBuf<'_>) -> bool {
        if let Some(look_ahead) = &self.look_ahead {
            return look_ahead.deliver(buffer);
        }
        let length_bytes = self.read_ahead.len().min(buffer.remaining());
        buffer.put_slice(&self.read_ahead.split_to(length_bytes));
        length_bytes > 0
    }

    /// Completes when data has arrived or the peer has closed the connection.
    pub(super) async fn readable(&self) -> io::Result<()> {
        self.stream.readable().await
    }
}

impl Activity {
    fn new() -> Self {
        let state = ActivityState {
            open_requests: 0,
            is_receiving: false,
            write_blocked_since: None,
            unsent_response: None,
            last_response: Instant::now(),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            write_blocked: Arc::default(),
        }
    }

    fn state(&self) -> MutexGuard<'_, ActivityState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn begin_request(&self) -> OpenRequest {
        self.state().open_requests += 1;
        OpenRequest {
            activity: self.clone(),
        }
    }

    /// Returns whether a request is being served.
    pub(super) fn is_serving(&self) -> bool {
        self.state().open_requests > 0
    }

    /// Records that the response to a request is about to be written.
    pub(super) fn response_ready(&self, request_id: String) {
        self.state().unsent_response = Some(request_id);
    }

    /// Returns the id of the request whose response is not yet written as a whole, once.
    pub(super) fn take_unsent_response(&self) -> Option<String> {
        self.state().unsent_response.take()
    }

    fn record_write(&self, is_blocked: bool) {
        let mut state = self.state();
        if !is_blocked {
            state.write_blocked_since = None;
        } else if state.write_blocked_since.is_none() {
            state.write_blocked_since = Some(Instant::now());
            self.write_blocked.notify_one();
        }
    }

    /// Completes when the caller has read nothing of a response for `time`.
    pub(super) async fn unread_for(&self, time: Duration) {
        loop {
            let since = self.state().write_blocked_since;
            match since.map(|since| since + time) {
                None => self.write_blocked.notified().await,
                Some(unread_at) if unread_at <= Instant::now() => return,
                Some(unread_at) => tokio::time::sleep_until(unread_at.into()).await,
            }
        }
    }

    /// Completes when the connection has been idle for `time`.
    pub(super) async fn idle_for(&self, time: Duration) {
        loop {
            let idle_at = self.state().idle_since() + time;
            if idle_at <= Instant::now() {
                return;
            }
            tokio::time::sleep_until(idle_at.into()).await;
        }
    }
}

impl ActivityState {
    fn idle_since(&self) -> Instant {
        let is_busy =
            self.open_requests > 0 || self.is_receiving || self.write_blocked_since.is_some();
        if is_busy {
            Instant::now()
        } else {
            self.last_response
        }
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let mut state = self.activity.state();
        state.open_requests -= 1;
        state.is_receiving = false;
        state.last_response = Instant::now();
    }
}

impl AsyncRead for CallerSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before_bytes = buffer.filled().len();
        let read = if self.deliver_read_ahead(buffer) {
            Poll::Ready(Ok(()))
        } else {
            let read = read_from(&self.stream, context, buffer);
            if let Some(look_ahead) = &self.look_ahead {
                look_ahead.observe(&buffer.filled()[before_bytes..]);
            }
            read
        };
        if buffer.filled().len() > before_bytes {
            self.activity.state().is_receiving = true;
        }
        read
    }
}

impl AsyncWrite for CallerSocket {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = write_to(&self.stream, context, |stream| stream.try_write(bytes));
        self.activity.record_write(written.is_pending());
        written
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let write = |stream: &TcpStream| stream.try_write_vectored(slices);
        let written = write_to(&self.stream, context, write);
        self.activity.record_write(written.is_pending());
        written
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    /// Hyper flushes once it has written all that it holds.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.activity.state().unsent_response = None;
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        let shut = SockRef::from(&*self.stream).shutdown(Shutdown::Write);
        Poll::Ready(match shut {
            Err(error) if error.kind() == ErrorKind::NotConnected => Ok(()),
            shut => shut,
        })
    }
}

fn read_from(
    stream: &TcpStream,
    context: &mut Context<'_>,
    buffer: &mut ReadBuf<'_>,
) -> Poll<io::Result<()>> {
    loop {
        ready!(stream.poll_read_ready(context))?;
        match read_available(stream, buffer) {
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            read => return Poll::Ready(read),
        }
    }
}

/// Reads what has arrived. A read that does not fill its buffer has emptied the socket, which spares
/// the next read the question to the system.
///
/// Reports that to the runtime as if the read had blocked, from within `try_io`: only the readiness
/// that was seen before the read is cleared then. Cleared after it, the readiness of bytes that
/// have arrived meanwhile would be lost, and they would not be read until more come.
fn read_available(stream: &TcpStream, buffer: &mut ReadBuf<'_>) -> io::Result<()> {
    let would_block = || io::Error::from(ErrorKind::WouldBlock);
    let room_bytes = buffer.remaining();
    let mut read = Err(would_block());
    let _ = stream.try_io(Interest::READABLE, || {
        read = stream.try_read_buf(buffer);
        match &read {
            Ok(length_bytes) if (1..room_bytes).contains(length_bytes) => Err(would_block()),
            _ => Ok(()),
        }
    });
    read.map(|_| ())
}

fn write_to(
    stream: &TcpStream,
    context: &mut Context<'_>,
    write: impl Fn(&TcpStream) -> io::Result<usize>,
) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_write_ready(context))?;
        match write(stream) {
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            written => return Poll::Ready(written),
        }
    }
}
