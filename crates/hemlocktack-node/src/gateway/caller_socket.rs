//! A caller's socket that tracks whether its connection is idle.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A socket, with bytes already read from it that belong to an incomplete request.
pub(super) struct CallerSocket {
    stream: TcpStream,
    read_ahead: Bytes,
    activity: Activity,
}

/// Activity of one connection, shared by its socket and its requests.
#[derive(Clone)]
pub(super) struct Activity {
    state: Arc<Mutex<ActivityState>>,
}

struct ActivityState {
    open_requests: u32,
    /// Bytes have arrived since the last response, so a request may be arriving.
    is_receiving: bool,
    /// The last write of a response returned `Pending`.
    is_write_blocked: bool,
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
            stream,
            read_ahead: Bytes::new(),
            activity: Activity::new(),
        }
    }

    /// Returns the socket with bytes that are read before the rest of the stream.
    pub(super) fn with_read_ahead(self, read_ahead: Bytes) -> Self {
        // A copy, because even an empty slice keeps the buffer it was cut from alive.
        let read_ahead = Bytes::copy_from_slice(&read_ahead);
        Self { read_ahead, ..self }
    }

    pub(super) fn has_read_ahead(&self) -> bool {
        !self.read_ahead.is_empty()
    }

    pub(super) fn activity(&self) -> Activity {
        self.activity.clone()
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
            is_write_blocked: false,
            unsent_response: None,
            last_response: Instant::now(),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
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

    /// Records that the response to a request is about to be written.
    pub(super) fn response_ready(&self, request_id: String) {
        self.state().unsent_response = Some(request_id);
    }

    /// Returns the id of the request whose response is not yet written as a whole, once.
    pub(super) fn take_unsent_response(&self) -> Option<String> {
        self.state().unsent_response.take()
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
        let is_busy = self.open_requests > 0 || self.is_receiving || self.is_write_blocked;
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
        let read = if self.read_ahead.is_empty() {
            Pin::new(&mut self.stream).poll_read(context, buffer)
        } else {
            let length_bytes = self.read_ahead.len().min(buffer.remaining());
            buffer.put_slice(&self.read_ahead.split_to(length_bytes));
            Poll::Ready(Ok(()))
        };
        if buffer.filled().len() > before_bytes {
            self.activity.state().is_receiving = true;
        }
        read
    }
}

impl AsyncWrite for CallerSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.activity.state().is_write_blocked = written.is_pending();
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.activity.state().is_write_blocked = written.is_pending();
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// Hyper flushes once it has written all that it holds.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.activity.state().unsent_response = None;
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
