//! Loopback addresses that no other process uses.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU16, Ordering};

/// Below the range of ephemeral ports that the system assigns to outgoing connections.
const FIRST_PORT: u16 = 7_000;

static NEXT_PORT: AtomicU16 = AtomicU16::new(FIRST_PORT);

/// Returns a loopback address for a listener of a test.
///
/// Each test process has its own IP address, derived from its process id. A port that is free when it
/// is chosen is therefore still free when a child process listens on it, however many tests run
/// concurrently.
pub fn next_address() -> SocketAddr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, 1 + high % 120, middle, low);
    let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
    SocketAddr::new(IpAddr::V4(ip), port)
}
