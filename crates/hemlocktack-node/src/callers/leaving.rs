//! The body of an answer on its way to the caller.

use std::io::{Cursor, Result, SeekFrom};
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use rocket::tokio::io::{AsyncRead, AsyncSeek, ReadBuf};

use crate::counters::InFlightGuard;

/// Body that keeps its call in flight until the HTTP server has read it to its
/// end, or has dropped it because the caller is gone.
///
/// Failure: a phone reads a large page slowly while its node stops. With the
/// page ready nothing was in flight any more, the drain ended, and the listener
/// cut the connection seconds later. The server reads a piece only when the
/// one before it is on its way, so what it still holds at the end fits into
/// the listener's own grace.
pub(super) struct TrackedBody {
    body: Cursor<Bytes>,
    _in_flight: InFlightGuard,
}

impl TrackedBody {
    pub(super) fn new(body: Bytes, in_flight: InFlightGuard) -> Self {
        Self {
            body: Cursor::new(body),
            _in_flight: in_flight,
        }
    }
}

impl AsyncRead for TrackedBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        Pin::new(&mut self.body).poll_read(context, buffer)
    }
}

impl AsyncSeek for TrackedBody {
    fn start_seek(mut self: Pin<&mut Self>, position: SeekFrom) -> Result<()> {
        Pin::new(&mut self.body).start_seek(position)
    }

    fn poll_complete(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<u64>> {
        Pin::new(&mut self.body).poll_complete(context)
    }
}
