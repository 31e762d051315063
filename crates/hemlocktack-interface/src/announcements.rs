//! What upstreams say of themselves.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Response, request};

/// How upstreams announce themselves, and how a node is asked whether it is ready.
#[derive(Clone, Copy)]
pub struct AnnouncementCodec {
    /// Reads an announcement; the error is told to the upstream and logged.
    pub read: fn(&request::Parts, &[u8]) -> Result<UpstreamMessage, String>,
    /// Acknowledges what [`AnnouncementCodec::read`] has read.
    pub write_acknowledgement: fn() -> Response<Bytes>,
    /// Whether a request asks if this node is ready.
    pub asks_readiness: fn(&request::Parts) -> bool,
}

/// One message of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpstreamMessage {
    /// It is there.
    Report(UpstreamReport),
    /// It takes no new work from now on and ends soon.
    Leaving {
        /// Names the upstream; a later start of it may have the same name.
        upstream_start: String,
        /// Unix milliseconds of the start, where it says.
        started_unix_ms: Option<u64>,
    },
}

/// An upstream's report of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamReport {
    /// Names the upstream; a later start of it may have the same name.
    pub upstream_start: String,
    /// Service that it is an upstream of.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: AnnouncedState,
    /// How much longer it is slow after its start.
    pub slow_start_left: Duration,
    /// Rises with each message of one start: a lower one was overtaken.
    pub sequence: u64,
    /// Unix milliseconds of the start, where it says. Of two starts of one name
    /// the higher one is the later one.
    pub started_unix_ms: Option<u64>,
}

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnouncedState {
    /// It does.
    Ready,
    /// It finishes what it has and ends.
    Draining,
}
