//! A response body that keeps its call in flight until it is sent.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};

use crate::counters::InFlightGuard;

/// Body of a response. Its call counts as in flight until hyper has read the whole
/// body, or has dropped it because the caller disconnected.
pub(super) struct TrackedBody {
    body: Full<Bytes>,
    _in_flight: Option<InFlightGuard>,
}

impl TrackedBody {
    pub(super) fn new(body: Full<Bytes>, in_flight: Option<InFlightGuard>) -> Self {
        Self {
            body,
            _in_flight: in_flight,
        }
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
