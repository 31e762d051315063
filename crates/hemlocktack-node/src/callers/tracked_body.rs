//! Response body that keeps its call in flight.

use std::io::{Cursor, Result, SeekFrom};
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use rocket::tokio::io::{AsyncRead, AsyncSeek, ReadBuf};

use crate::counters::InFlightGuard;

/// Response body that keeps its call in flight until the HTTP server has read it completely, or has
/// dropped it because the caller has disconnected.
///
/// If a call ended when its answer was ready, the drain of a stopping node could finish while a
/// slow client, such as a phone, still reads a large page, and the listener would close the
/// connection seconds later. The server reads a chunk only after it has sent the previous one, so
/// what it still holds at the end is sent within the listener's grace period.
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
