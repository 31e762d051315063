//! Announcements of upstreams and readiness probes.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Response, request};

/// Decodes upstreams' announcements and recognises readiness probes.
#[derive(Clone, Copy)]
pub struct AnnouncementCodec {
    /// Decodes an announcement; the error is sent to the upstream and logged.
    pub read: fn(&request::Parts, &[u8]) -> Result<UpstreamMessage, String>,
    /// Encodes the acknowledgement of an announcement.
    pub write_acknowledgement: fn() -> Response<Bytes>,
    /// Returns whether a request is a readiness probe.
    pub asks_readiness: fn(&request::Parts) -> bool,
}

/// A message of an upstream to its node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpstreamMessage {
    /// The upstream reports its state.
    Report(UpstreamReport),
    /// The upstream accepts no new work and is about to stop.
    Leaving {
        /// Id of the upstream instance; a later instance may reuse it.
        upstream_start: String,
        /// Start time of the instance in Unix milliseconds, if the upstream reports it.
        started_unix_ms: Option<u64>,
    },
}

/// An upstream's report of its state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamReport {
    /// Id of the upstream instance; a later instance may reuse it.
    pub upstream_start: String,
    /// Service that the upstream belongs to.
    pub service: String,
    /// Address that the upstream listens on.
    pub address: SocketAddr,
    /// Number of requests that the upstream runs concurrently.
    pub slots: u32,
    /// Whether the upstream accepts new work.
    pub state: AnnouncedState,
    /// Remaining time of the upstream's slow start.
    pub slow_start_left: Duration,
    /// Sequence number; increases with each message of one instance, so a lower one is stale.
    pub sequence: u64,
    /// Start time of the instance in Unix milliseconds, if the upstream reports it. Of two
    /// instances with the same id, the one with the higher value is the later one.
    pub started_unix_ms: Option<u64>,
}

/// State that an upstream announces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnouncedState {
    /// Accepts new work.
    Ready,
    /// Finishes its running requests and stops.
    Draining,
}
