//! A caller's socket that knows whether anything is under way on it.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A socket, and what was read from it for a request that is not whole yet.
pub(super) struct CallerSocket {
    stream: TcpStream,
    read_ahead: Bytes,
    traffic: Traffic,
}

/// What is under way on one connection, shared by its socket and its requests.
#[derive(Clone)]
pub(super) struct Traffic {
    state: Arc<Mutex<TrafficState>>,
}

struct TrafficState {
    open_requests: u32,
    /// Bytes have come since the last answer: a request may be arriving.
    is_receiving: bool,
    /// The socket took no more of an answer.
    is_write_blocked: bool,
    last_end: Instant,
}

/// A request that has no answer yet.
pub(super) struct OpenRequest {
    traffic: Traffic,
}

impl CallerSocket {
    pub(super) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            read_ahead: Bytes::new(),
            traffic: Traffic::new(),
        }
    }

    /// The same with bytes that come before all that the stream still brings.
    pub(super) fn with_read_ahead(self, read_ahead: Bytes) -> Self {
        // An empty piece would keep the whole buffer that it was cut from.
        let read_ahead = Bytes::copy_from_slice(&read_ahead);
        Self { read_ahead, ..self }
    }

    pub(super) fn has_read_ahead(&self) -> bool {
        !self.read_ahead.is_empty()
    }

    pub(super) fn traffic(&self) -> Traffic {
        self.traffic.clone()
    }

    /// Ends when bytes or the far end's close have come.
    pub(super) async fn readable(&self) -> io::Result<()> {
        self.stream.readable().await
    }
}

impl Traffic {
    fn new() -> Self {
        let state = TrafficState {
            open_requests: 0,
            is_receiving: false,
            is_write_blocked: false,
            last_end: Instant::now(),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }

    fn state(&self) -> MutexGuard<'_, TrafficState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn begin_request(&self) -> OpenRequest {
        self.state().open_requests += 1;
        OpenRequest {
            traffic: self.clone(),
        }
    }

    /// Ends when nothing has been under way for this long.
    pub(super) async fn quiet_for(&self, time: Duration) {
        loop {
            let quiet_at = self.state().quiet_since() + time;
            if quiet_at <= Instant::now() {
                return;
            }
            tokio::time::sleep_until(quiet_at.into()).await;
        }
    }
}

impl TrafficState {
    fn quiet_since(&self) -> Instant {
        let is_busy = self.open_requests > 0 || self.is_receiving || self.is_write_blocked;
        if is_busy {
            Instant::now()
        } else {
            self.last_end
        }
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let mut state = self.traffic.state();
        state.open_requests -= 1;
        state.is_receiving = false;
        state.last_end = Instant::now();
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
            self.traffic.state().is_receiving = true;
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
        self.traffic.state().is_write_blocked = written.is_pending();
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.traffic.state().is_write_blocked = written.is_pending();
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
