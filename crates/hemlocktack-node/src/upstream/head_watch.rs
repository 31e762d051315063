//! Watches the head of an answer while it is received, so that one without end is given up.

use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;

/// Longest time from the first byte of a head to its last one. The upstream runs on this machine
/// and writes a head at once.
const MAX_HEAD_TIME: Duration = Duration::from_secs(1);
/// Time for reading what arrived while this node stood still.
const RECHECK_TIME: Duration = Duration::from_millis(50);
/// Most interim answers (1xx) before the answer to one request.
const MAX_INTERIM_ANSWERS: u32 = 16;

/// The head that is received on one connection.
#[derive(Default)]
pub(super) struct HeadWatch {
    head: Mutex<Head>,
    changed: Notify,
}

#[derive(Default)]
struct Head {
    /// When the first byte of a head arrived that is not complete.
    begun_at: Option<Instant>,
    interim_answers: u32,
}

impl HeadWatch {
    /// Begins to watch for the answer to a request that is about to be sent.
    pub(super) fn begin(&self) {
        *self.head() = Head::default();
    }

    /// Records that an interim answer is complete.
    pub(super) fn record_interim_answer(&self) {
        let mut head = self.head();
        head.begun_at = None;
        head.interim_answers += 1;
        self.changed.notify_one();
    }

    /// Completes once the head has taken too long, or too many interim answers have come.
    pub(super) async fn exceeded(&self) {
        loop {
            let (begun_at, has_too_many) = {
                let head = self.head();
                (head.begun_at, head.has_too_many())
            };
            if has_too_many {
                return;
            }
            let Some(begun_at) = begun_at else {
                self.changed.notified().await;
                continue;
            };
            let limit = begun_at + MAX_HEAD_TIME;
            let changed = tokio::time::timeout_at(limit.into(), self.changed.notified()).await;
            if changed.is_ok() {
                continue;
            }
            tokio::time::sleep(RECHECK_TIME).await;
            if self.head().begun_at == Some(begun_at) {
                return;
            }
        }
    }

    fn record_bytes(&self) {
        let mut head = self.head();
        if head.begun_at.is_none() {
            head.begun_at = Some(Instant::now());
            self.changed.notify_one();
        }
    }

    fn head(&self) -> MutexGuard<'_, Head> {
        self.head.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Head {
    fn has_too_many(&self) -> bool {
        self.interim_answers > MAX_INTERIM_ANSWERS
    }
}

/// A connection to the upstream whose received bytes are watched.
pub(super) struct WatchedStream<S> {
    stream: S,
    watch: Arc<HeadWatch>,
}

impl<S> WatchedStream<S> {
    pub(super) fn new(stream: S, watch: Arc<HeadWatch>) -> Self {
        Self { stream, watch }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for WatchedStream<S> {
    /// Fails after too many interim answers: the HTTP library would go on reading them before the
    /// request's own task runs.
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        if self.watch.head().has_too_many() {
            return Poll::Ready(Err(std::io::ErrorKind::InvalidData.into()));
        }
        let filled_before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > filled_before {
            self.watch.record_bytes();
        }
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for WatchedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
