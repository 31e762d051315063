//! Options of the sockets that calls go over.

use std::io::Result;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// A connection that carries nothing is probed after this, and again as often.
const PROBED_AFTER: Duration = Duration::from_secs(1);
/// Probes without an answer after which it is given up.
const PROBES: u32 = 2;
/// Bytes that the peer has not acknowledged for this long end the connection.
/// Instances answer within a few milliseconds; a packet that is lost is sent
/// again three times within this.
const UNACKNOWLEDGED_FOR: Duration = Duration::from_millis(1_500);

/// Sends at once, and notices a silent connection while it carries nothing.
///
/// Failure: a cut, a peer that lost power or a path that forgot the connection
/// swallows all packets without a word. Symptom: every call on it waits for its
/// whole patience, one after the other, while a new connection would work. The
/// system closes it after some probes, and calls are resolved over the next one.
pub(crate) fn configure(stream: &TcpStream) -> Result<()> {
    stream.set_nodelay(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(PROBED_AFTER)
        .with_interval(PROBED_AFTER)
        .with_retries(PROBES);
    SockRef::from(stream).set_tcp_keepalive(&keepalive)
}

/// The same for the end that sends calls, also while they lie unacknowledged,
/// when no probes are sent. Not for the end that answers: a peer that reads a
/// large answer slowly would lose it.
pub(crate) fn configure_sender(stream: &TcpStream) -> Result<()> {
    configure(stream)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_FOR))
}
