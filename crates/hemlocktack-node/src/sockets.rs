//! Options of the sockets that carry calls.

use std::io::Result;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Idle time before the first keep-alive probe, and the interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered keep-alive probes after which the connection is closed.
const KEEPALIVE_PROBES: u32 = 2;
/// The connection is closed if sent bytes stay unacknowledged for this long. Instances
/// acknowledge within a few milliseconds, and a lost packet is retransmitted three times
/// within this time.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Bytes of responses that the system accepts for a caller beyond those that it has sent.
const MAX_UNSENT_RESPONSE_BYTES: u32 = 128 << 10;

/// Bytes that the system receives for a connection on this machine before they are read.
const RECEIVE_BUFFER_BYTES: usize = 128 << 10;

/// Limits the bytes that arrive while this process reads nothing.
///
/// A body that waits for memory is not read, but the system would go on receiving some megabytes
/// of it, which count as memory of this process. Only for connections on this machine: on a long
/// path so small a buffer would limit the throughput. Without it the connection works as well.
pub(crate) fn limit_received(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
}

/// Turns off Nagle's algorithm and turns on TCP keep-alive.
///
/// After a network partition, a power loss of the peer or the loss of a NAT entry, packets
/// disappear without an error. Without probes, every call on the connection would wait
/// until its timeout, one after the other, although a new connection would work. With
/// them, the system closes the connection, and calls are resolved over the next one.
pub(crate) fn configure(stream: &TcpStream) -> Result<()> {
    stream.set_nodelay(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    SockRef::from(stream).set_tcp_keepalive(&keepalive)
}

/// Configures the end of a connection that sends calls: also limits the time that sent
/// bytes may stay unacknowledged, during which no keep-alive probes are sent. Not for the
/// answering end, because a peer that reads a large answer slowly would lose it.
pub(crate) fn configure_sender(stream: &TcpStream) -> Result<()> {
    configure(stream)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}

/// Configures a caller's connection, and limits the response bytes that wait in the system.
///
/// The system accepts up to four megabytes for a caller that reads nothing. Responses would
/// count as sent, and a caller that disconnects then would leave no trace in the log.
pub(crate) fn configure_caller(stream: &TcpStream) -> Result<()> {
    stream.set_nodelay(true)?;
    limit_received(stream);
    SockRef::from(stream).set_tcp_notsent_lowat(MAX_UNSENT_RESPONSE_BYTES)
}
